package option

import (
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Each check takes a pointer to a value and returns a description of the allowed values, or "" if the value is valid.

func checkName(value any) string {
	if namePattern.MatchString(*value.(*string)) {
		return ""
	}
	return "must be 1 to 63 lowercase letters, digits, dots and hyphens"
}

func checkFilePath(value any) string {
	if *value.(*string) == "" {
		return "must name a file"
	}
	return ""
}

func checkAddress(value any) string {
	if _, err := netip.ParseAddrPort(*value.(*string)); err != nil {
		return `must be an IP address and port, such as "10.0.0.1:8080"`
	}
	return ""
}

// checkReachable rejects unspecified addresses such as 0.0.0.0, which other hosts can't dial.
func checkReachable(value any) string {
	address, err := netip.ParseAddrPort(*value.(*string))
	if err != nil || address.Addr().IsUnspecified() {
		return `must be an IP address and port that other instances can reach, such as "10.0.0.1:8080"`
	}
	return ""
}

func checkPeers(value any) string {
	for _, address := range *value.(*[]string) {
		if checkReachable(&address) != "" {
			return `must be a list of IP addresses and ports, such as ["10.0.0.2:7200"]`
		}
	}
	return ""
}

func checkRegions(value any) string {
	for _, entry := range *value.(*[]string) {
		zone, region, ok := strings.Cut(entry, regionSeparator)
		if !ok || checkName(&zone) != "" || checkName(&region) != "" {
			return `must be a list of zones and their regions, such as ["ala-a=almaty"]`
		}
	}
	return ""
}

func checkURL(value any) string {
	u, err := url.Parse(*value.(*string))
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return `must be a URL such as "http://10.0.0.9:7000"`
	}
	return ""
}

func checkCount(value any) string {
	var n int64
	switch v := value.(type) {
	case *int:
		n = int64(*v)
	case *int64:
		n = *v
	}
	if n < 1 {
		return "must be a whole number above zero"
	}
	return ""
}

func checkFraction(value any) string {
	if v := *value.(*float64); v < 0 || v > 1 {
		return "must be a number from 0 to 1"
	}
	return ""
}

// acceptAny is the check of settings for which every value of the type is valid.
func acceptAny(any) string { return "" }

func checkOneOf(allowed ...string) func(any) string {
	return func(value any) string {
		if slices.Contains(allowed, *value.(*string)) {
			return ""
		}
		return "must be one of " + strings.Join(allowed, ", ")
	}
}

package forward

import (
	"net/http"
	"slices"

	"teaselgate/rule"
)

// setHomes sets the availability zones whose servers may get the request: those in the regions that its route and its
// account name. Where both name regions, both bind. It returns false after it has refused a request for which there is no
// such zone. The body of a request goes to no other instance, so its memory stays where its servers are.
func (q *request) setHomes() bool {
	if len(q.route.Homes) == 0 && len(q.account.Homes) == 0 {
		return true
	}
	q.zones = make([]string, 0, len(q.handler.Regions))
	for zone, region := range q.handler.Regions {
		if isHome(q.route.Homes, region) && isHome(q.account.Homes, region) {
			q.zones = append(q.zones, zone)
		}
	}
	if len(q.zones) == 0 {
		q.refuse(http.StatusServiceUnavailable, noServerRetryAfter, "no availability zone in the regions of the route and the account")
		return false
	}
	slices.Sort(q.zones)
	return true
}

// isHome reports whether a region is among the given ones; no regions stand for all.
func isHome(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// isAtHome reports whether a server may get the request, by its availability zone.
func (q *request) isAtHome(s rule.Server) bool {
	return q.zones == nil || slices.Contains(q.zones, s.Zone)
}

// liveServers returns the live servers of a pool that may get the request.
func (q *request) liveServers(pool string) []rule.Server {
	return slices.DeleteFunc(q.view.Rules.Servers(pool), func(s rule.Server) bool {
		return s.State != rule.ServerLive || !q.isAtHome(s)
	})
}

package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Thresholds of the verdicts. They answer requests that crash each engine that begins their answers, in the midst of
// crashes with other causes, which also end sound requests before their answers have begun.
const (
	// sameCrash is the time within which reports of one engine's end are about the same crash. Restarts take longer.
	sameCrash = time.Second
	// sameCause is the time within which the ends of several engines count once, unless one request was sent to one engine
	// after the other: they may have one cause, such as a lost rack.
	sameCause     = 100 * time.Millisecond
	minCrashes    = 2 // crashes that convict a part of which no success is known
	minRecent     = 4 // crashes that convict a part that has recently succeeded
	recentSuccess = 30 * time.Second
	// minAccounts is the number of client accounts whose own requests must have crashed engines before the parts are
	// refused to all accounts. One account alone can't have requests of others refused.
	minAccounts = 3
	firstTerm   = 30 * time.Second // time for which parts are refused after the crashes that convict them
	recentTerm  = 5 * time.Second  // the same for parts that have recently succeeded
	maxTerm     = 10 * time.Minute // the term doubles with each further crash up to this
)

// verdict is the finding that requests crash engines if they have all of the given parts. These are several if the
// crashes don't tell them apart.
type verdict struct {
	parts    []string        // sorted
	accounts map[string]bool // accounts whose requests crashed engines
	crashes  int
	requests []string // requests that crashed engines, with the engines
	until    time.Time
}

// covers reports whether a request of an account is among those that the verdict is about.
func (v verdict) covers(account string, parts []string) bool {
	if !v.accounts[account] && len(v.accounts) < minAccounts {
		return false
	}
	return !slices.ContainsFunc(v.parts, func(part string) bool { return !slices.Contains(parts, part) })
}

// key identifies the verdict by its parts.
func (v verdict) key() string { return strings.Join(v.parts, " ") }

// describe describes the verdict and its evidence for the log.
func (v verdict) describe(now time.Time) string {
	const maxListed = 6 // requests
	return fmt.Sprintf("parts %v, refused to accounts %v for %v, %d crashes: %v",
		v.parts, slices.Sorted(maps.Keys(v.accounts)), v.until.Sub(now).Round(time.Millisecond), v.crashes,
		v.requests[max(len(v.requests)-maxListed, 0):])
}

// judge finds the fewest parts that account for the crashes: of all parts, that with the most crashes is found guilty, and
// the crashes in which it occurs need no other cause, until no part has enough crashes left. A part is no cause of the
// crashes before its newest success.
func judge(crashes []Crash, successes map[string]time.Time) []verdict {
	groups := groupByEngine(crashes)
	all := collectCharges(groups, successes)
	var out []verdict
	for {
		best, v := strongest(collectCharges(groups, successes))
		if best == nil {
			return out
		}
		// A crash under requests with two deadly parts counts for the terms of both.
		v.until = v.until.Add(all[best.part].term())
		out = append(out, v)
		groups = slices.DeleteFunc(groups, func(group []Crash) bool {
			return slices.ContainsFunc(group, func(c Crash) bool { return hasAnyPart(c, v.parts, successes) })
		})
	}
}

// groupByEngine returns the crashes in groups, one for each end of an engine.
func groupByEngine(crashes []Crash) [][]Crash {
	var groups [][]Crash
	for _, c := range crashes {
		at := slices.IndexFunc(groups, func(group []Crash) bool {
			return group[0].Server == c.Server && c.At.Sub(group[0].At) < sameCrash
		})
		if at < 0 {
			groups = append(groups, nil)
			at = len(groups) - 1
		}
		groups[at] = append(groups[at], c)
	}
	return groups
}

// mayCause reports whether a part has not succeeded since a crash.
func mayCause(part string, c Crash, successes map[string]time.Time) bool {
	at, ok := successes[part]
	return !ok || at.Before(c.At)
}

func hasAnyPart(c Crash, parts []string, successes map[string]time.Time) bool {
	return slices.ContainsFunc(c.Parts, func(part string) bool {
		return slices.Contains(parts, part) && mayCause(part, c, successes)
	})
}

// charge is the evidence against one part.
type charge struct {
	part    string
	crashes []Crash // of one request each
	ends    int     // number of engines that ended
	causes  int     // number of these ends that can't have had one cause
	recent  bool    // whether the part succeeded shortly before the first crash
}

// hasRequest reports whether a request is among those that crashed engines.
func (c *charge) hasRequest(request string) bool {
	return slices.ContainsFunc(c.crashes, func(other Crash) bool { return other.Request == request })
}

// convicts reports whether the evidence is enough.
func (c *charge) convicts() bool {
	if c.recent {
		return c.causes >= minRecent
	}
	return c.causes >= minCrashes
}

// strongest returns the evidence against the part with the most crashes, or nil, and the verdict on it and on those that
// have crashed the same requests. The verdict lasts until the last crash as yet.
func strongest(charges map[string]*charge) (*charge, verdict) {
	var best *charge
	for _, part := range slices.Sorted(maps.Keys(charges)) {
		c := charges[part]
		if c.convicts() && (best == nil || isStronger(c, best)) {
			best = c
		}
	}
	if best == nil {
		return nil, verdict{}
	}
	v := verdict{accounts: make(map[string]bool), crashes: best.ends}
	for part, c := range charges {
		if c.convicts() && c.recent == best.recent && sameRequests(c.crashes, best.crashes) {
			v.parts = append(v.parts, part)
		}
	}
	slices.Sort(v.parts)
	for _, c := range best.crashes {
		v.accounts[c.Account] = true
		v.requests = append(v.requests, c.Request+" at "+c.Server)
		v.until = c.At
	}
	return best, v
}

// isStronger reports whether the evidence a weighs more than b. Of parts that account for the same crashes, the one that
// fewer requests have is the more likely cause.
func isStronger(a, b *charge) bool {
	if a.recent != b.recent {
		return b.recent
	}
	return cmp.Or(cmp.Compare(a.ends, b.ends), cmp.Compare(len(b.crashes), len(a.crashes))) > 0
}

func sameRequests(a, b []Crash) bool {
	return slices.EqualFunc(a, b, func(a, b Crash) bool { return a.Request == b.Request && a.Server == b.Server })
}

// collectCharges returns the evidence against each part.
func collectCharges(groups [][]Crash, successes map[string]time.Time) map[string]*charge {
	charges := make(map[string]*charge)
	lastCause := make(map[string]time.Time)
	for _, group := range groups {
		counted := make(map[string]bool)
		for _, c := range group {
			for _, part := range c.Parts {
				if !mayCause(part, c, successes) {
					continue
				}
				charge := chargeOf(charges, part, c, successes)
				sentAgain := charge.hasRequest(c.Request)
				charge.crashes = append(charge.crashes, c)
				if counted[part] {
					continue
				}
				counted[part] = true
				charge.ends++
				if last, ok := lastCause[part]; !ok || sentAgain || c.At.Sub(last) >= sameCause {
					charge.causes++
					lastCause[part] = c.At
				}
			}
		}
	}
	return charges
}

// chargeOf returns the evidence against a part, and starts it with its first crash.
func chargeOf(charges map[string]*charge, part string, first Crash, successes map[string]time.Time) *charge {
	c, ok := charges[part]
	if !ok {
		at, succeeded := successes[part]
		c = &charge{part: part, recent: succeeded && first.At.Sub(at) < recentSuccess}
		charges[part] = c
	}
	return c
}

// term returns for how long the parts are refused after the last crash.
func (c *charge) term() time.Duration {
	term, least := firstTerm, minCrashes
	if c.recent {
		term, least = recentTerm, minRecent
	}
	for range c.causes - least {
		term = min(2*term, maxTerm)
	}
	return term
}

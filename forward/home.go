package forward

import (
	"net/http"
	"slices"

	"teaselgate/platform"
	"teaselgate/rule"
)

// setHomes sets the availability zones whose servers may get the request: those in the regions that its route and its
// account name. Where both name regions, both bind. It returns false after it has refused a request for which there is no
// such zone. The body of a request goes to no other instance, so its memory stays where its servers are.
func (q *request) setHomes() bool {
	q.zones = q.handler.homeZones(q.route, q.account)
	if q.zones != nil && len(q.zones) == 0 {
		q.refuse(http.StatusServiceUnavailable, noServerRetryAfter, "no availability zone in the regions of the route and the account")
		return false
	}
	return true
}

// homeZones returns the availability zones in the regions of a route and an account by name, or nil if neither names any.
func (h *Handler) homeZones(route platform.Route, account platform.Account) []string {
	if len(route.Homes) == 0 && len(account.Homes) == 0 {
		return nil
	}
	zones := make([]string, 0, len(h.Regions))
	for zone, region := range h.Regions {
		if isHome(route.Homes, region) && isHome(account.Homes, region) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
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

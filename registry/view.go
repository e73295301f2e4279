package registry

import (
	"cmp"
	"math"
	"strings"
	"time"

	"teaselgate/account"
	"teaselgate/platform"
	"teaselgate/rule"
)

// Suffixes that are appended to the name of a service with model engines to form the names of its pools.
const (
	prefillSuffix = "/prefill"
	decodeSuffix  = "/decode"
)

// BlockTokens is the number of tokens in one block of a model engine's KV cache, as specified by the platform.
const BlockTokens = 16

// memoryOvercommit is the share of an engine's memory that may be reserved. It can exceed 1, since few requests reach
// their expected length at the same time.
const memoryOvercommit = 1.06

// maxWaitFactor is the longest wait of a model request in a queue, in multiples of its target time to the first event.
// Callers give up after four times the target; the rest is left for computing the prompt and transferring its KV cache.
const maxWaitFactor = 3.0

// View is a configuration with the backend servers that are registered. It is immutable.
type View struct {
	Configuration *platform.Configuration
	Rules         *rule.Set

	routes   map[string][]platform.Route // by host name
	services map[string]platform.Service // by name
	accounts map[string]platform.Account // by name
	servers  map[string]platform.Server  // by id

	coldUntil    time.Time // end of the last cold period of a server; zero if there is none
	hasEvacuated bool      // whether a server is in an evacuated availability zone

	priorities map[string][]int // distinct priorities of the routes to a service with model engines, ascending
	ordered    map[string]bool  // whether these routes differ in priority or target, by service
}

// EngineSettings are the settings of model engines.
type EngineSettings struct {
	Fenced bool                 // whether engines reject orders with a stale fencing number
	Place  rule.PlacementPolicy // how requests are placed on engines; empty means by the dispatchers of the cells
}

// NewView returns a view of a configuration and servers.
func NewView(c *platform.Configuration, servers []platform.Server, engines EngineSettings) *View {
	v := &View{
		Configuration: c,
		routes:        make(map[string][]platform.Route),
		services:      make(map[string]platform.Service, len(c.Services)),
		accounts:      make(map[string]platform.Account, len(c.Accounts)),
		servers:       make(map[string]platform.Server, len(servers)),
	}
	for _, r := range c.Routes {
		v.routes[r.Host] = append(v.routes[r.Host], r)
	}
	for _, s := range c.Services {
		v.services[s.Name] = s
	}
	for _, a := range c.Accounts {
		v.accounts[a.Name] = a
	}
	for _, s := range servers {
		v.servers[s.ID] = s
		v.coldUntil = later(v.coldUntil, s.ColdUntil)
		v.hasEvacuated = v.hasEvacuated || s.Evacuated
	}
	v.indexRoutes()
	v.Rules = v.buildRules(servers, engines)
	return v
}

// Route returns the route of a host whose prefix is the longest that matches a path. It ignores a port of the host.
func (v *View) Route(host, path string) (platform.Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	var best platform.Route
	found := false
	for _, r := range v.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(best.Prefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// Account returns the client account of a key.
func (v *View) Account(secret string) (platform.Account, bool) {
	name, ok := v.Rules.KeyAccount(account.Hash(secret))
	if !ok {
		return platform.Account{}, false
	}
	a, ok := v.accounts[name]
	return a, ok
}

// AccountNamed returns a client account by name.
func (v *View) AccountNamed(name string) (platform.Account, bool) {
	a, ok := v.accounts[name]
	return a, ok
}

// HasAccounts reports whether there are client accounts, so that requests need a key.
func (v *View) HasAccounts() bool { return len(v.accounts) > 0 }

// Service returns a service by name.
func (v *View) Service(name string) (platform.Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Server returns a registered backend server by id.
func (v *View) Server(id string) (platform.Server, bool) {
	s, ok := v.servers[id]
	return s, ok
}

// HasEvacuated reports whether any registered backend server is in an evacuated availability zone.
func (v *View) HasEvacuated() bool { return v.hasEvacuated }

// IsEvacuated reports whether a registered backend server is in an evacuated availability zone.
func (v *View) IsEvacuated(id string) bool { return v.servers[id].Evacuated }

// ServerRule returns the rule of a registered backend server with an id and an address.
func (v *View) ServerRule(id, address string) (rule.Server, bool) {
	s, ok := v.servers[id]
	return serverRule(s), ok && s.Address == address
}

// ServerAt returns the backend server at an address, if exactly one is registered there.
func (v *View) ServerAt(address string) (platform.Server, bool) {
	var found platform.Server
	count := 0
	for _, s := range v.servers {
		if s.Address == address {
			found = s
			count++
		}
	}
	return found, count == 1
}

// buildRules returns the rules for placement, made from the services, servers and client accounts.
func (v *View) buildRules(servers []platform.Server, engines EngineSettings) *rule.Set {
	var c rule.Contents
	for _, s := range v.services {
		if s.Engine == nil {
			c.Pools = append(c.Pools, rule.Pool{Pool: s.Name, Duty: rule.Plain})
			continue
		}
		blocks := int(float64(s.Engine.KVCapacityTokens) * memoryOvercommit / BlockTokens)
		pool := rule.Pool{Slots: s.Engine.Slots, Pieces: blocks, Block: BlockTokens, Strict: true, Fenced: engines.Fenced}
		prefill, decode := pool, pool
		prefill.Pool, prefill.Duty = s.Name+prefillSuffix, rule.Prefill
		decode.Pool, decode.Duty = s.Name+decodeSuffix, rule.Decode
		c.Pools = append(c.Pools, prefill, decode)
		c.Models = append(c.Models, v.modelRule(s, engines.Place))
	}
	for _, s := range servers {
		c.Servers = append(c.Servers, serverRule(s))
	}
	for _, a := range v.accounts {
		c.Accounts = append(c.Accounts, rule.Account{
			Account: a.Name, Rate: int64(a.Rate), Burst: int64(a.Burst), Weight: 1,
		})
		for _, secret := range a.Secrets {
			c.Keys = append(c.Keys, rule.Key{Key: account.Hash(secret), Account: a.Name})
		}
	}
	return rule.NewSet(c)
}

// modelRule returns the rule of a service with model engines. Its targets are the tightest of all routes to the
// service.
func (v *View) modelRule(s platform.Service, place rule.PlacementPolicy) rule.Model {
	first, eventGap := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, r := range v.Configuration.Routes {
		for _, t := range r.Targets {
			if t.Service != s.Name {
				continue
			}
			if r.TargetLatency > 0 {
				first = min(first, r.TargetLatency)
			}
			if r.TargetEventGap > 0 {
				eventGap = min(eventGap, r.TargetEventGap)
			}
		}
	}
	if first == math.MaxInt64 {
		first = rule.DefaultFirstTokenTarget
	}
	between := rule.DefaultTokenIntervalTarget
	if eventGap < math.MaxInt64 {
		between = eventGap / time.Duration(max(s.Engine.TokensPerEvent, 1))
	}
	return rule.Model{
		Model: s.Name, Prefill: s.Name + prefillSuffix, Decode: s.Name + decodeSuffix, Place: cmp.Or(place, rule.PlacementCell),
		First: first, Between: between, Wait: time.Duration(float64(first) * maxWaitFactor),
	}
}

// serverRule returns the rule of a server, in the pool of its stage.
func serverRule(s platform.Server) rule.Server {
	out := rule.Server{
		Server: s.ID, Pool: s.Service, Zone: s.Zone, At: s.Address, State: rule.ServerLive, Slots: s.Slots,
	}
	switch s.Stage {
	case platform.Prefill:
		out.Pool += prefillSuffix
	case platform.Decode:
		out.Pool += decodeSuffix
	case platform.NoStage:
	}
	if !s.ColdSince.IsZero() {
		out.ColdPeriod = s.ColdSince.UnixMilli()
	}
	switch {
	case s.Leaving:
		out.State = rule.ServerLeaving
	case s.Evacuated:
		out.State = rule.ServerEvacuated
	}
	return out
}

// RouteName returns the name of the route whose prefix is the longest that matches a path on any host, or an empty
// string.
func (v *View) RouteName(path string) string {
	best, length := "", -1
	for _, r := range v.Configuration.Routes {
		if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > length {
			best, length = r.Name, len(r.Prefix)
		}
	}
	return best
}

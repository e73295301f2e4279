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

// Parts of a service's name for the pools of its model engines.
const (
	prefillPool = "/prefill"
	decodePool  = "/decode"
)

// BlockTokens is the number of tokens in one block of a model engine's memory, as the users' pages give it.
const BlockTokens = 16

// memoryShare is the part of an engine's memory that is given out: few requests reach their expected end together.
const memoryShare = 1.06

// waitShare bounds the wait of a model request by its aim. Callers of the users' sites leave when four times the aim has
// passed without a first event; the rest is for the prompt and its transfer.
const waitShare = 3.0

// View is a configuration with the servers that were registered with it. It is not changed once made.
type View struct {
	Configuration *platform.Configuration
	Rules         *rule.Set

	routes   map[string][]platform.Route // by host
	services map[string]platform.Service
	accounts map[string]platform.Account
	servers  map[string]platform.Server
}

// EngineSettings is what the settings say of model engines.
type EngineSettings struct {
	Fenced bool                 // whether they refuse orders with an old fencing number
	Place  rule.PlacementPolicy // how requests are placed on them; empty for the cells' dispatchers
}

// NewView joins a configuration with the servers.
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
	}
	v.Rules = v.rules(servers, engines)
	return v
}

// Route finds the route of a host with the longest prefix that begins a path.
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

// Account finds the client account that holds a key.
func (v *View) Account(secret string) (platform.Account, bool) {
	name, ok := v.Rules.KeyAccount(account.Hash(secret))
	if !ok {
		return platform.Account{}, false
	}
	a, ok := v.accounts[name]
	return a, ok
}

// HasAccounts tells whether requests must show a key.
func (v *View) HasAccounts() bool { return len(v.accounts) > 0 }

// Service finds a service by name.
func (v *View) Service(name string) (platform.Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Server finds a registered server by id.
func (v *View) Server(id string) (platform.Server, bool) {
	s, ok := v.servers[id]
	return s, ok
}

// rules states services, servers and client accounts as the rules that placement works by.
func (v *View) rules(servers []platform.Server, engines EngineSettings) *rule.Set {
	var c rule.Contents
	for _, s := range v.services {
		if s.Engine == nil {
			c.Pools = append(c.Pools, rule.Pool{Pool: s.Name, Duty: rule.Plain})
			continue
		}
		memory := int(float64(s.Engine.KVCapacityTokens) * memoryShare / BlockTokens)
		pool := rule.Pool{Slots: s.Engine.Slots, Pieces: memory, Block: BlockTokens, Strict: true, Fenced: engines.Fenced}
		prefill, decode := pool, pool
		prefill.Pool, prefill.Duty = s.Name+prefillPool, rule.Prefill
		decode.Pool, decode.Duty = s.Name+decodePool, rule.Decode
		c.Pools = append(c.Pools, prefill, decode)
		c.Models = append(c.Models, v.model(s, engines.Place))
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

// model states the targets of a service's engines: the tightest of the routes that lead to it.
func (v *View) model(s platform.Service, place rule.PlacementPolicy) rule.Model {
	first, pause := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, r := range v.Configuration.Routes {
		for _, t := range r.Targets {
			if t.Service != s.Name {
				continue
			}
			if r.TargetLatency > 0 {
				first = min(first, r.TargetLatency)
			}
			if r.TargetEventGap > 0 {
				pause = min(pause, r.TargetEventGap)
			}
		}
	}
	if first == math.MaxInt64 {
		first = rule.DefaultFirstTokenTarget
	}
	between := rule.DefaultTokenIntervalTarget
	if pause < math.MaxInt64 {
		between = pause / time.Duration(max(s.Engine.TokensPerEvent, 1))
	}
	return rule.Model{
		Model: s.Name, Prefill: s.Name + prefillPool, Decode: s.Name + decodePool, Place: cmp.Or(place, rule.PlacementCell),
		First: first, Between: between, Wait: time.Duration(float64(first) * waitShare),
	}
}

func serverRule(s platform.Server) rule.Server {
	out := rule.Server{Server: s.ID, Pool: s.Service, Zone: s.Zone, At: s.Address, State: rule.ServerLive}
	switch s.Stage {
	case platform.Prefill:
		out.Pool += prefillPool
	case platform.Decode:
		out.Pool += decodePool
	case platform.NoStage:
	}
	if s.Leaving {
		out.State = rule.ServerLeaving
	}
	return out
}

// RouteName names the route of a path on any host; it is empty if there is none.
func (v *View) RouteName(path string) string {
	best, length := "", -1
	for _, r := range v.Configuration.Routes {
		if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > length {
			best, length = r.Name, len(r.Prefix)
		}
	}
	return best
}

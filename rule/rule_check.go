package rule

import (
	"encoding/hex"
	"math/bits"
	"net"
	"strings"
)

const (
	defaultShards = 16
	maxShards     = 4096
	keyPrefix     = "sha256:"
	keyDigits     = 64
)

// checkAll fills in defaults and reports references and values that don't hold.
func (p *parser) checkAll() {
	p.checkFleet()
	p.checkPools()
	p.checkModels()
	p.checkServers()
	p.checkRoutes()
	p.checkAccounts()
}

func (p *parser) lineOf(kind Kind, name string) int {
	return p.names[string(kind)+" "+name]
}

func (p *parser) checkFleet() {
	f := &p.set.fleet
	if f.Shards == 0 {
		f.Shards = defaultShards
	}
	if f.Shards < 1 || f.Shards > maxShards || bits.OnesCount(uint(f.Shards)) != 1 {
		p.fault(p.lineOf(KindFleet, f.Fleet), 1, "shards: %d is not a power of two from 1 to %d", f.Shards, maxShards)
	}
}

func (p *parser) checkPools() {
	for name, pool := range p.set.pools {
		at := p.lineOf(KindPool, name)
		switch pool.Duty {
		case Prefill, Decode, Plain:
		default:
			p.fault(at, 1, "duty: %q is not prefill, decode or plain", pool.Duty)
		}
		if pool.Slots <= 0 {
			p.fault(at, 1, "slots: %d is not above 0", pool.Slots)
		}
		if pool.Duty == Decode && pool.Pieces <= 0 {
			p.fault(at, 1, "pieces: %d is not above 0; a decode pool needs it", pool.Pieces)
		}
	}
}

func (p *parser) checkModels() {
	for name, m := range p.set.models {
		at := p.lineOf(KindModel, name)
		p.checkPoolDuty(at, "prefill", m.Prefill, Prefill)
		p.checkPoolDuty(at, "decode", m.Decode, Decode)
		if m.Place == "" {
			m.Place = PlaceCell
			p.set.models[name] = m
		}
		switch m.Place {
		case PlaceCell, PlaceRobin, PlaceLeast, PlaceEWMA:
		default:
			p.fault(at, 1, "place: %q is not cell, robin, least or ewma", m.Place)
		}
	}
}

func (p *parser) checkPoolDuty(line int, field, name string, duty Duty) {
	pool, ok := p.set.pools[name]
	if !ok {
		p.fault(line, 1, "%s: there is no pool %q", field, name)
		return
	}
	if pool.Duty != duty {
		p.fault(line, 1, "%s: pool %q has duty %s, not %s", field, name, pool.Duty, duty)
	}
}

func (p *parser) checkServers() {
	for i := range p.set.servers {
		s := &p.set.servers[i]
		at := p.lineOf(KindServer, s.Server)
		if _, ok := p.set.pools[s.Pool]; !ok {
			p.fault(at, 1, "pool: there is no pool %q", s.Pool)
		}
		if s.State == "" {
			s.State = Live
		}
		if s.State != Live && s.State != Leaving {
			p.fault(at, 1, "state: %q is not live or leaving", s.State)
		}
		host, _, err := net.SplitHostPort(s.At)
		if err != nil || net.ParseIP(host) == nil {
			p.fault(at, 1, "at: %q is not an IP number and port", s.At)
		}
	}
}

func (p *parser) checkRoutes() {
	paths := make(map[string]string)
	for i := range p.set.routes {
		r := &p.set.routes[i]
		at := p.lineOf(KindRoute, r.Route)
		p.checkRoute(at, r)
		if other, ok := paths[r.Path]; ok {
			p.fault(at, 1, "path: %q is already led by route %s", r.Path, other)
		}
		paths[r.Path] = r.Route
	}
}

func (p *parser) checkRoute(at int, r *Route) {
	if !strings.HasPrefix(r.Path, "/") {
		p.fault(at, 1, "path: %q does not start with /", r.Path)
	}
	p.checkRouteTarget(at, r)
	setDefault(&r.Calls, Idempotent)
	setDefault(&r.Open, OpenNo)
	setDefault(&r.Class, ClassInteractive)
	setDefault(&r.Outage, OutageRefuse)
	if r.Calls != Idempotent && r.Calls != Once {
		p.fault(at, 1, "calls: %q is not idempotent or once", r.Calls)
	}
	if r.Open != OpenNo && r.Open != OpenYes {
		p.fault(at, 1, "open: %q is not yes or no", r.Open)
	}
	if r.Class != ClassOrder && r.Class != ClassInteractive && r.Class != ClassSummary {
		p.fault(at, 1, "class: %q is not order, interactive or summary", r.Class)
	}
	if r.Outage != OutageRefuse && r.Outage != OutagePass {
		p.fault(at, 1, "outage: %q is not refuse or pass", r.Outage)
	}
}

func (p *parser) checkRouteTarget(at int, r *Route) {
	if (r.Pool == "") == (r.Model == "") {
		p.fault(at, 1, "a route has either a pool or a model")
		return
	}
	if r.Pool != "" {
		p.checkPoolDuty(at, "pool", r.Pool, Plain)
		return
	}
	if _, ok := p.set.models[r.Model]; !ok {
		p.fault(at, 1, "model: there is no model %q", r.Model)
	}
}

func (p *parser) checkAccounts() {
	for name, a := range p.set.accounts {
		at := p.lineOf(KindAccount, name)
		if a.Rate <= 0 {
			p.fault(at, 1, "rate: %d is not above 0 tokens per second", a.Rate)
		}
		if a.Burst <= 0 {
			p.fault(at, 1, "burst: %d is not above 0 tokens", a.Burst)
		}
		if a.Weight == 0 {
			a.Weight = 1
			p.set.accounts[name] = a
		}
		if a.Weight < 0 {
			p.fault(at, 1, "weight: %d is not above 0", a.Weight)
		}
	}
	for hash, k := range p.set.keys {
		p.checkKey(p.lineOf(KindKey, hash), k)
	}
}

func (p *parser) checkKey(at int, k Key) {
	digits, ok := strings.CutPrefix(k.Key, keyPrefix)
	if _, err := hex.DecodeString(digits); !ok || err != nil || len(digits) != keyDigits {
		p.fault(at, 1, "key: not \"sha256:\" and %d hexadecimal digits; make one with teaselgate key new", keyDigits)
	}
	if _, ok := p.set.accounts[k.Account]; !ok {
		p.fault(at, 1, "account: there is no account %q", k.Account)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

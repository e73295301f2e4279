package rule

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"math/bits"
	"net"
	"slices"
	"strings"
	"time"
)

// Formats of hashed keys and public keys.
const (
	keyPrefix       = "sha256:"
	keyHexDigits    = 64
	publicKeyPrefix = "ed25519:"
)

func (c *checker) checkFleet(line Line, earlier *Line) {
	if earlier != nil {
		c.addProblem(line, "fleet", "a fleet rule is already defined in line %d", earlier.Number)
	}
	shards := c.set.fleet.Shards
	if shards < 1 || shards > maxShards || bits.OnesCount(uint(shards)) != 1 {
		c.addProblem(line, "shards", "shards: %d is not a power of two from 1 to %d", shards, maxShards)
	}
}

func (c *checker) checkOperator(line Line, o *Operator) {
	if _, err := o.PublicKey(); err != nil {
		c.addProblem(line, "key", "key: not \"ed25519:\" and a public key in base64; make one with teaselgate key operator")
	}
}

// PublicKey returns the key that verifies the operator's signatures.
func (o Operator) PublicKey() (ed25519.PublicKey, error) {
	text, ok := strings.CutPrefix(o.Key, publicKeyPrefix)
	raw, err := base64.StdEncoding.DecodeString(text)
	if !ok || err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("rule: operator %s has no valid public key", o.Operator)
	}
	return raw, nil
}

func (c *checker) checkChange(line Line, change *Change) {
	if newValue(change.Change) == nil {
		c.addProblem(line, "change", "change: there is no kind of rule %q; allowed are %s", change.Change, kindList())
	}
	if len(change.By) == 0 {
		c.addProblem(line, "by", "by: missing; name the operators who may change the kind")
	}
	seen := make(map[string]bool)
	for _, name := range change.By {
		if _, ok := c.set.operators[name]; !ok {
			c.addProblem(line, "by", "by: there is no operator %q", name)
		}
		if seen[name] {
			c.addProblem(line, "by", "by: operator %q is named twice", name)
		}
		seen[name] = true
	}
	if change.Approvals < 0 || len(change.By) > 0 && change.Approvals > len(change.By)-1 {
		c.addProblem(line, "approvals", "approvals: %d is not from 0 to %d, the number of others in by",
			change.Approvals, len(change.By)-1)
	}
}

// checkChangeRulesComplete requires change rules for the kinds change and operator if there are any change rules.
// Without them anybody could replace the other change rules or the public keys of operators.
func (c *checker) checkChangeRulesComplete() {
	if len(c.set.changes) == 0 {
		return
	}
	first := c.firstLineOfKind(KindChange)
	for _, kind := range []Kind{KindChange, KindOperator} {
		if _, ok := c.set.changes[kind]; !ok {
			c.addProblem(first, "change",
				"a file with change rules needs one for kind %s too, or anybody could remove the others", kind)
		}
	}
}

// firstLineOfKind returns the line of a kind with the lowest number.
func (c *checker) firstLineOfKind(kind Kind) Line {
	var first Line
	for _, line := range c.set.lines {
		if line.Kind == kind && (first.value == nil || line.Number < first.Number) {
			first = line
		}
	}
	return first
}

func (c *checker) checkPool(line Line, p *Pool) {
	if p.Duty != Prefill && p.Duty != Decode && p.Duty != Plain {
		c.addProblem(line, "duty", "duty: %q is not prefill, decode or plain", p.Duty)
	}
	if p.Slots <= 0 {
		c.addProblem(line, "slots", "slots: %d is not above 0", p.Slots)
	}
	if p.Duty == Decode && p.Pieces <= 0 {
		c.addProblem(line, "pieces", "pieces: %d is not above 0; a decode pool needs it", p.Pieces)
	}
}

func (c *checker) checkModel(line Line, m Model) {
	c.checkPoolDuty(line, "prefill", m.Prefill, Prefill)
	c.checkPoolDuty(line, "decode", m.Decode, Decode)
	switch m.Place {
	case PlacementCell, PlacementRoundRobin, PlacementLeastLoaded, PlacementEWMA:
	default:
		c.addProblem(line, "place", "place: %q is not cell, robin, least or ewma", m.Place)
	}
	for _, field := range []struct {
		name  string
		value time.Duration
	}{{"first", m.First}, {"between", m.Between}, {"wait", m.Wait}} {
		if field.value <= 0 {
			c.addProblem(line, field.name, "%s: %s is not above 0", field.name, field.value)
		}
	}
	if m.Roles != "" && m.Roles != RolesMove && m.Roles != RolesKeep {
		c.addProblem(line, "roles", "roles: %q is not move or keep", m.Roles)
	}
}

func (c *checker) checkPoolDuty(line Line, field, name string, duty Duty) {
	pool, ok := c.set.pools[name]
	if !ok {
		c.addProblem(line, field, "%s: there is no pool %q", field, name)
		return
	}
	if pool.Duty != duty {
		c.addProblem(line, field, "%s: pool %q has duty %s, not %s", field, name, pool.Duty, duty)
	}
}

func (c *checker) checkServer(line Line, s Server) {
	if _, ok := c.set.pools[s.Pool]; !ok {
		c.addProblem(line, "pool", "pool: there is no pool %q", s.Pool)
	}
	if s.State != ServerLive && s.State != ServerLeaving {
		c.addProblem(line, "state", "state: %q is not live or leaving", s.State)
	}
	host, _, err := net.SplitHostPort(s.At)
	if err != nil || net.ParseIP(host) == nil {
		c.addProblem(line, "at", "at: %q is not an IP address and port", s.At)
	}
}

func (c *checker) checkRoute(line Line, r Route, paths map[string]Line) {
	if !strings.HasPrefix(r.Path, "/") {
		c.addProblem(line, "path", "path: %q does not start with /", r.Path)
	}
	if other, ok := paths[r.Path]; ok {
		c.addProblem(line, "path", "path: %q already belongs to route %s in line %d", r.Path, other.Name, other.Number)
	}
	paths[r.Path] = line
	c.checkRouteTarget(line, r)
	if r.Calls != Idempotent && r.Calls != AtMostOnce {
		c.addProblem(line, "calls", "calls: %q is not idempotent or once", r.Calls)
	}
	if r.Open != OpenNo && r.Open != OpenYes {
		c.addProblem(line, "open", "open: %q is not yes or no", r.Open)
	}
	if r.Class != ClassOrder && r.Class != ClassInteractive && r.Class != ClassSummary {
		c.addProblem(line, "class", "class: %q is not order, interactive or summary", r.Class)
	}
	if r.Outage != OutageRefuse && r.Outage != OutagePass {
		c.addProblem(line, "outage", "outage: %q is not refuse or pass", r.Outage)
	}
}

func (c *checker) checkRouteTarget(line Line, r Route) {
	if (r.Pool == "") == (r.Model == "") {
		c.addProblem(line, "route", "a route has either a pool or a model")
		return
	}
	if r.Pool != "" {
		c.checkPoolDuty(line, "pool", r.Pool, Plain)
		return
	}
	if _, ok := c.set.models[r.Model]; !ok {
		c.addProblem(line, "model", "model: there is no model %q", r.Model)
	}
}

func (c *checker) checkAccount(line Line, a Account) {
	if a.Rate <= 0 {
		c.addProblem(line, "rate", "rate: %d is not above 0 tokens per second", a.Rate)
	}
	if a.Burst <= 0 {
		c.addProblem(line, "burst", "burst: %d is not above 0 tokens", a.Burst)
	}
	if a.Weight < 0 {
		c.addProblem(line, "weight", "weight: %d is not above 0", a.Weight)
	}
}

func (c *checker) checkEvacuation(line Line, e *Evacuation) {
	if !slices.ContainsFunc(c.set.servers, func(s Server) bool { return s.Zone == e.Evacuate }) {
		c.addProblem(line, "evacuate", "evacuate: there is no server in availability zone %q", e.Evacuate)
	}
}

func (c *checker) checkKey(line Line, k *Key) {
	digits, ok := strings.CutPrefix(k.Key, keyPrefix)
	if _, err := hex.DecodeString(digits); !ok || err != nil || len(digits) != keyHexDigits || digits != strings.ToLower(digits) {
		c.addProblem(line, "key",
			"key: not \"sha256:\" and %d hexadecimal digits in lower case; make one with teaselgate key new", keyHexDigits)
	}
	c.checkKeyAccount(line, k)
}

func (c *checker) checkKeyAccount(line Line, k *Key) {
	if _, ok := c.set.accounts[k.Account]; !ok {
		c.addProblem(line, "account", "account: there is no account %q", k.Account)
	}
}

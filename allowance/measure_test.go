package allowance

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"teaselgate/rule"
)

// Shape of the measured load: one large account and several small ones, each at 90% of its rate, most of it through
// one entry.
const (
	measuredNodes     = 6
	measuredShards    = 16
	measuredTime      = time.Minute
	warmUpTime        = 10 * time.Second
	loadShare         = 0.9
	smallAccounts     = 20
	requestTokens     = 1000
	firstNodeShare    = 0.7
	maxSteadyRefusals = 0.001 // target: below 0.1%
	maxFaultRefusals  = 0.01  // target: below 1% of the minute's requests
	overloadFactor    = 4.0
	reserveShare      = 0.25
	faultDelay        = 10 * time.Second
	restartInterval   = 8 * time.Second
	restartLeaveTime  = 2 * time.Second
)

// admitter is a way of admitting requests that is measured.
type admitFunc func(s *sim, n *simNode, account rule.Account, tokens int64)

// counts are the results of one account group.
type counts struct{ sent, refused int }

func (c counts) share() float64 { return float64(c.refused) / math.Max(float64(c.sent), 1) }

// measurement sends load to a sim for a minute and counts.
type measurement struct {
	sim        *sim
	loadFactor float64 // of the rate
	admit      admitFunc
	sent       map[string]int
}

func measureRules() []rule.Account {
	rules := make([]rule.Account, 0, 1+smallAccounts)
	rules = append(rules, rule.Account{Account: "large", Rate: 40000, Burst: 120000})
	for i := range smallAccounts {
		rules = append(rules, rule.Account{Account: fmt.Sprintf("small-%d", i), Rate: 2000, Burst: 6000})
	}
	return rules
}

func newMeasurement(seed uint64, loadFactor float64, admit admitFunc) *measurement {
	m := &measurement{sim: newSim(seed, measuredNodes, measuredShards, measureRules()...), loadFactor: loadFactor, admit: admit}
	m.sent = make(map[string]int)
	m.sim.advance(warmUpTime)
	m.startLoad()
	m.sim.advance(warmUpTime)
	m.sent = make(map[string]int)
	clear(m.sim.refused)
	m.sim.admitted, m.sim.waitTime, m.sim.requests = 0, 0, 0
	return m
}

// start sends requests with random intervals. A caller within its rate keeps to its burst too, so that each refusal is
// a false one.
func (m *measurement) startLoad() {
	for _, r := range measureRules() {
		mean := requestTokens / (float64(r.Rate) * m.loadFactor)
		var next func()
		caller := tokenBucket{rate: float64(r.Rate), burst: float64(r.Burst), level: float64(r.Burst), updatedAt: m.sim.now}
		next = func() {
			caller.advance(m.sim.now)
			if m.loadFactor > 1 || caller.level >= requestTokens {
				caller.level -= requestTokens
				m.sent[r.Account]++
				m.admit(m.sim, m.pickNode(), r, requestTokens)
			}
			m.sim.schedule(time.Duration(m.sim.random.ExpFloat64()*mean*float64(time.Second)), next)
		}
		m.sim.schedule(time.Duration(m.sim.random.Float64()*mean*float64(time.Second)), next)
	}
}

// pickEntry returns the first live instance mostly, else any other: the balancer knows who is live.
func (m *measurement) pickNode() *simNode {
	var live []*simNode
	for _, n := range m.sim.nodes {
		if n.up && !n.leaving {
			live = append(live, n)
		}
	}
	if m.sim.random.Float64() < firstNodeShare {
		return live[0]
	}
	return live[m.sim.random.IntN(len(live))]
}

// result sums up the refusals of the large account and of the small ones.
func (m *measurement) result() (large, small counts) {
	for name, sent := range m.sent {
		c := &small
		if name == "large" {
			c = &large
		}
		c.sent += sent
		c.refused += m.sim.refused[name]
	}
	return large, small
}

// byKeepers admits through the entry and keepers of the sim; a request keeps all its tokens.
func admitByGrants(_ *sim, n *simNode, a rule.Account, tokens int64) {
	n.request(a.Account, tokens, tokens, time.Second)
}

// byStatic admits by a fixed share at each instance.
func newStaticAdmit() admitFunc {
	shares := make(map[string]*StaticLimiter)
	return func(s *sim, n *simNode, a rule.Account, tokens int64) {
		key := fmt.Sprint(n.name, n.incarnation)
		if shares[key] == nil {
			shares[key] = NewStaticLimiter(func() int { return len(s.listedNodes()) })
			shares[key].Now = func() time.Time { return s.now }
		}
		_, _, err := shares[key].Take(context.Background(), a, tokens)
		s.recordOutcome(a.Account, tokens, err == nil)
	}
}

// byGossip admits by counters that reach the other instances a second later.
func newGossipAdmit() admitFunc {
	type view struct {
		bucket tokenBucket
	}
	views := make(map[string]*view)
	viewAt := func(s *sim, n *simNode, a rule.Account) *view {
		key := fmt.Sprint(n.name, n.incarnation, a.Account)
		if views[key] == nil {
			views[key] = &view{tokenBucket{rate: float64(a.Rate), burst: float64(a.Burst), level: float64(a.Burst), updatedAt: s.now}}
		}
		views[key].bucket.advance(s.now)
		return views[key]
	}
	return func(s *sim, n *simNode, a rule.Account, tokens int64) {
		own := viewAt(s, n, a)
		ok := own.bucket.level >= float64(tokens)
		if ok {
			own.bucket.level -= float64(tokens)
			for _, other := range s.nodes {
				if other != n {
					s.schedule(time.Second, func() { viewAt(s, other, a).bucket.level -= float64(tokens) })
				}
			}
		}
		s.recordOutcome(a.Account, tokens, ok)
	}
}

func (s *sim) recordOutcome(account string, tokens int64, admitted bool) {
	if !admitted {
		s.refused[account]++
		return
	}
	s.admitted++
	s.oracle.recordAdmission(s.now, account, tokens)
}

func (s *sim) primaryAndSuccessor(account string) (primary, successor *simNode) {
	a := s.assignments[ShardForAccount(account, s.shards)].assignment
	return s.nodeByName(a.Primary.Name), s.nodeByName(a.Successor.Name)
}

// scenario is a fault during the measured minute.
type scenario struct {
	name   string
	target float64 // share of refusals; 0: only reported
	short  bool    // runs without -long
	fault  func(*sim)
}

func scenarios() []scenario {
	stopPrimary := func(silent bool) func(*sim) {
		return func(s *sim) {
			s.schedule(faultDelay, func() {
				primary, _ := s.primaryAndSuccessor("large")
				primary.stop(silent)
			})
		}
	}
	outage := func(s *sim) { s.platformOutage = true; s.schedule(measuredTime, func() { s.platformOutage = false }) }
	return []scenario{
		{"steady", maxSteadyRefusals, true, func(*sim) {}},
		{"keeper's process killed", maxFaultRefusals, true, stopPrimary(false)},
		{"keeper's host lost silently", maxFaultRefusals, false, stopPrimary(true)},
		{"successor's host lost silently", maxFaultRefusals, false, func(s *sim) {
			s.schedule(faultDelay, func() { _, successor := s.primaryAndSuccessor("large"); successor.stop(true) })
		}},
		{"rolling restart of all", maxFaultRefusals, false, rollingRestart},
		{"platform out for 60 s", maxFaultRefusals, false, outage},
		{"platform out, keeper killed", maxFaultRefusals, true, func(s *sim) { outage(s); stopPrimary(false)(s) }},
		{"platform out, keeper killed and restarted", maxFaultRefusals, false, func(s *sim) {
			outage(s)
			s.schedule(faultDelay, func() {
				primary, _ := s.primaryAndSuccessor("large")
				primary.stop(false)
				s.schedule(3*time.Second, primary.start)
			})
		}},
		{"platform out, keeper's host lost silently", 0, false, func(s *sim) { outage(s); stopPrimary(true)(s) }},
		{"the same, evicted after 10 s", 0, false, func(s *sim) {
			outage(s)
			s.schedule(faultDelay, func() {
				primary, _ := s.primaryAndSuccessor("large")
				gone := primary.instance()
				primary.stop(true)
				s.schedule(faultDelay, func() { s.evict(gone) })
			})
		}},
		{"reserve of a quarter: platform out, successor's host lost silently", 0, false, func(s *sim) {
			outage(s)
			s.schedule(faultDelay, func() {
				_, successor := s.primaryAndSuccessor("large")
				gone := successor.instance()
				successor.stop(true)
				s.schedule(leaseDuration/4, func() { s.evict(gone) })
				s.schedule(leaseDuration, func() { s.scaleLarge(reserveShare) })
			})
		}},
		{"reserve of a quarter: keeper's host lost silently", 0, false, func(s *sim) {
			stopPrimary(true)(s)
			s.schedule(faultDelay+leaseDuration, func() { s.scaleLarge(1 - reserveShare) })
		}},
	}
}

// evict is the word of an operator at all live instances.
func (s *sim) evict(instance Instance) {
	for _, n := range s.nodes {
		if n.up {
			n.manager.Evict(s.now, instance)
		}
	}
}

// scaleLarge gives the large account a part of its rate and burst, as a reserve would.
func (s *sim) scaleLarge(share float64) {
	old := s.rules["large"]
	r := old
	r.Rate, r.Burst = int64(float64(r.Rate)*share), int64(float64(r.Burst)*share)
	for _, n := range s.nodes {
		if n.up {
			n.manager.ApplyRateChanges(s.now, []RateChange{{old, r}})
		}
	}
	s.rules["large"] = r
}

func rollingRestart(s *sim) {
	for i, n := range s.nodes {
		s.schedule(time.Duration(i)*restartInterval, func() { n.leave(restartLeaveTime) })
		s.schedule(time.Duration(i)*restartInterval+restartLeaveTime+time.Second, n.start)
	}
}

func TestMeasureFalseRefusals(t *testing.T) {
	methods := []struct {
		name  string
		admit func() admitFunc
	}{
		{"keepers", func() admitFunc { return admitByGrants }},
		{"static", newStaticAdmit},
		{"gossip", newGossipAdmit},
	}
	for _, s := range scenarios() {
		for _, method := range methods {
			if !*runLong && (!s.short || method.name != "keepers") {
				continue
			}
			t.Run(s.name+"/"+method.name, func(t *testing.T) {
				measureRefusals(t, s, method.name == "keepers", method.admit())
			})
		}
	}
}

// measureRefusals runs a scenario; the targets bind the keepers, not the baselines.
func measureRefusals(t *testing.T, s scenario, enforceTargets bool, admit admitFunc) {
	m := newMeasurement(1, loadShare, admit)
	s.fault(m.sim)
	m.sim.advance(measuredTime)
	large, small := m.result()
	over := m.sim.oracle.worstOvershoot()
	t.Logf("large %d sent %.3f%% refused; small %d sent %.3f%% refused; overshoot %.0f tokens; mean wait %v; %.2f messages/request",
		large.sent, 100*large.share(), small.sent, 100*small.share(), over,
		(m.sim.waitTime / time.Duration(max(m.sim.admitted, 1))).Round(10*time.Microsecond),
		float64(m.sim.requests)/float64(large.sent+small.sent))
	if !enforceTargets {
		return
	}
	if s.target > 0 && (large.share() >= s.target || small.share() >= s.target) {
		t.Errorf("unexpected refusals, got %.3f%% of large and %.3f%% of small instead of less than %.1f%%",
			100*large.share(), 100*small.share(), 100*s.target)
	}
	if over > oracleTolerance {
		t.Errorf("unexpected overshoot, got %.3f tokens instead of 0", over)
	}
}

func TestMeasureOverload(t *testing.T) {
	if !*runLong {
		t.Skip("a measurement without a target: run it with -long")
	}
	for _, method := range []struct {
		name  string
		admit admitFunc
	}{{"keepers", admitByGrants}, {"static", newStaticAdmit()}, {"gossip", newGossipAdmit()}} {
		m := newMeasurement(1, overloadFactor, method.admit)
		m.sim.advance(measuredTime)
		large, _ := m.result()
		admitted := float64(large.sent-large.refused) * requestTokens / measuredTime.Seconds() / 40000
		t.Logf("large account at %.0f times its rate, %-8s %5.1f%% of the rate admitted, overshoot %.0f tokens, %d messages",
			overloadFactor, method.name, 100*admitted, m.sim.oracle.worstOvershoot(), m.sim.requests)
	}
}

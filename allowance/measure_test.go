package allowance

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"teaselgate/rule"
)

// Parameters of the measurements. The load comes from one large account and several small ones, each at 90% of its
// rate. One instance receives most of the requests.
const (
	measuredNodes     = 6
	measuredShards    = 16
	measuredTime      = time.Minute // duration of a measurement after the warm-up
	warmUpTime        = 10 * time.Second
	loadShare         = 0.9              // load, as a share of the rate
	smallAccounts     = 20               // number of small accounts
	requestTokens     = 1000             // tokens per request
	firstNodeShare    = 0.7              // share of requests sent to the first live instance; the rest goes to random ones
	maxSteadyRefusals = 0.001            // target without faults: below 0.1% of the requests
	maxFaultRefusals  = 0.01             // target with a fault: below 1% of the requests of the minute
	overloadFactor    = 4.0              // load, as a multiple of the rate
	reserveShare      = 0.25             // share of the large account's rate and burst that is held in reserve
	faultDelay        = 10 * time.Second // time from the start of a measurement to its fault
	restartInterval   = 8 * time.Second  // interval between restarts of a rolling restart
	restartLeaveTime  = 2 * time.Second  // time for an instance to hand over its shards
)

// admitFunc makes a request at an instance by the method of admission that is measured.
type admitFunc func(s *sim, n *simNode, account rule.Account, tokens int64)

// counts holds the numbers of requests of a group of accounts.
type counts struct{ sent, refused int }

func (c counts) refusedShare() float64 { return float64(c.refused) / math.Max(float64(c.sent), 1) }

// measurement sends load to a simulation and counts the requests and refusals.
type measurement struct {
	sim        *sim
	loadFactor float64 // load, as a multiple of the rate
	admit      admitFunc
	sent       map[string]int // requests sent, by account
}

func measureRules() []rule.Account {
	rules := make([]rule.Account, 0, 1+smallAccounts)
	rules = append(rules, rule.Account{Account: "large", Rate: 40000, Burst: 120000})
	for i := range smallAccounts {
		rules = append(rules, rule.Account{Account: fmt.Sprintf("small-%d", i), Rate: 2000, Burst: 6000})
	}
	return rules
}

// newMeasurement returns a measurement whose load has run for warmUpTime.
func newMeasurement(seed uint64, loadFactor float64, admit admitFunc) *measurement {
	m := &measurement{
		sim:        newSim(seed, measuredNodes, measuredShards, measureRules()...),
		loadFactor: loadFactor,
		admit:      admit,
	}
	m.sent = make(map[string]int)
	m.sim.advance(warmUpTime)
	m.startLoad()
	m.sim.advance(warmUpTime)
	m.sent = make(map[string]int)
	clear(m.sim.refused)
	m.sim.admitted, m.sim.waitTime, m.sim.calls = 0, 0, 0
	return m
}

// startLoad starts sending requests at random intervals. Unless the load exceeds the rate, callers stay within their
// accounts' rate and burst, so that each refusal is a false one.
func (m *measurement) startLoad() {
	for _, r := range measureRules() {
		mean := requestTokens / (float64(r.Rate) * m.loadFactor)
		var next func()
		caller := tokenBucket{
			rate: float64(r.Rate), burst: float64(r.Burst), level: float64(r.Burst), updatedAt: m.sim.now,
		}
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

// pickNode returns the instance that receives a request: mostly the first live one, otherwise a random live one. A load
// balancer in front of the fleet is assumed to know the live instances.
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

// result returns the counts of the large account and the sums over the small ones.
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

// admitByGrants admits requests by grants, as Limiter does. A request keeps all its tokens.
func admitByGrants(_ *sim, n *simNode, a rule.Account, tokens int64) {
	n.request(a.Account, tokens, tokens, time.Second)
}

// newStaticAdmit returns an admitFunc by which each instance admits requests within an equal share of the rate.
func newStaticAdmit() admitFunc {
	limiters := make(map[string]*StaticLimiter)
	return func(s *sim, n *simNode, a rule.Account, tokens int64) {
		key := fmt.Sprint(n.name, n.incarnation)
		if limiters[key] == nil {
			limiters[key] = NewStaticLimiter(func() int { return len(s.listedNodes()) })
			limiters[key].Now = func() time.Time { return s.now }
		}
		_, _, err := limiters[key].Take(context.Background(), a, tokens)
		s.recordOutcome(a.Account, tokens, err == nil)
	}
}

// newGossipAdmit returns an admitFunc by which each instance admits requests by its own counters, and the other
// instances count them a second later.
func newGossipAdmit() admitFunc {
	type gossipBucket struct {
		bucket tokenBucket
	}
	buckets := make(map[string]*gossipBucket)
	bucketAt := func(s *sim, n *simNode, a rule.Account) *gossipBucket {
		key := fmt.Sprint(n.name, n.incarnation, a.Account)
		if buckets[key] == nil {
			buckets[key] = &gossipBucket{tokenBucket{
				rate: float64(a.Rate), burst: float64(a.Burst), level: float64(a.Burst), updatedAt: s.now,
			}}
		}
		buckets[key].bucket.advance(s.now)
		return buckets[key]
	}
	return func(s *sim, n *simNode, a rule.Account, tokens int64) {
		own := bucketAt(s, n, a)
		ok := own.bucket.level >= float64(tokens)
		if ok {
			own.bucket.level -= float64(tokens)
			for _, other := range s.nodes {
				if other != n {
					s.schedule(time.Second, func() { bucketAt(s, other, a).bucket.level -= float64(tokens) })
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
	target float64 // share of refused requests that must not be reached; 0 if there is no target
	short  bool    // also runs without -long
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
		{"primary's process killed", maxFaultRefusals, true, stopPrimary(false)},
		{"primary's host lost silently", maxFaultRefusals, false, stopPrimary(true)},
		{"successor's host lost silently", maxFaultRefusals, false, func(s *sim) {
			s.schedule(faultDelay, func() { _, successor := s.primaryAndSuccessor("large"); successor.stop(true) })
		}},
		{"rolling restart of all", maxFaultRefusals, false, rollingRestart},
		{"platform outage of 60 s", maxFaultRefusals, false, outage},
		{"platform outage, primary killed", maxFaultRefusals, true, func(s *sim) { outage(s); stopPrimary(false)(s) }},
		{"platform outage, primary killed and restarted", maxFaultRefusals, false, func(s *sim) {
			outage(s)
			s.schedule(faultDelay, func() {
				primary, _ := s.primaryAndSuccessor("large")
				primary.stop(false)
				s.schedule(3*time.Second, primary.start)
			})
		}},
		{"platform outage, primary's host lost silently", 0, false, func(s *sim) { outage(s); stopPrimary(true)(s) }},
		{"platform outage, primary's host lost silently, evicted after 10 s", 0, false, func(s *sim) {
			outage(s)
			s.schedule(faultDelay, func() {
				primary, _ := s.primaryAndSuccessor("large")
				gone := primary.instance()
				primary.stop(true)
				s.schedule(faultDelay, func() { s.evict(gone) })
			})
		}},
		{"reserve of a quarter: platform outage, successor's host lost silently", 0, false, func(s *sim) {
			outage(s)
			s.schedule(faultDelay, func() {
				_, successor := s.primaryAndSuccessor("large")
				gone := successor.instance()
				successor.stop(true)
				s.schedule(leaseDuration/4, func() { s.evict(gone) })
				s.schedule(leaseDuration, func() { s.scaleLarge(reserveShare) })
			})
		}},
		{"reserve of a quarter: primary's host lost silently", 0, false, func(s *sim) {
			stopPrimary(true)(s)
			s.schedule(faultDelay+leaseDuration, func() { s.scaleLarge(1 - reserveShare) })
		}},
	}
}

// evict declares an instance gone at all running instances, as an operator would.
func (s *sim) evict(instance Instance) {
	for _, n := range s.nodes {
		if n.up {
			n.manager.Evict(s.now, instance)
		}
	}
}

// scaleLarge reduces the large account's rate and burst to a share, as a reserve would.
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
		{"grants", func() admitFunc { return admitByGrants }},
		{"static", newStaticAdmit},
		{"gossip", newGossipAdmit},
	}
	for _, s := range scenarios() {
		for _, method := range methods {
			if !*runLong && (!s.short || method.name != "grants") {
				continue
			}
			t.Run(s.name+"/"+method.name, func(t *testing.T) {
				measureRefusals(t, s, method.name == "grants", method.admit())
			})
		}
	}
}

// measureRefusals runs a scenario. Targets are enforced only for admission by grants, not for the baselines.
func measureRefusals(t *testing.T, s scenario, enforceTargets bool, admit admitFunc) {
	m := newMeasurement(1, loadShare, admit)
	s.fault(m.sim)
	m.sim.advance(measuredTime)
	large, small := m.result()
	over := m.sim.oracle.worstOvershoot()
	t.Logf(
		"large: %d sent, %.3f%% refused; small: %d sent, %.3f%% refused; overshoot %.0f tokens; wait %v; %.2f calls/request",
		large.sent, 100*large.refusedShare(), small.sent, 100*small.refusedShare(), over,
		(m.sim.waitTime / time.Duration(max(m.sim.admitted, 1))).Round(10*time.Microsecond),
		float64(m.sim.calls)/float64(large.sent+small.sent))
	if !enforceTargets {
		return
	}
	if s.target > 0 && (large.refusedShare() >= s.target || small.refusedShare() >= s.target) {
		t.Errorf("unexpected refusals, got %.3f%% of large and %.3f%% of small requests instead of less than %.1f%%",
			100*large.refusedShare(), 100*small.refusedShare(), 100*s.target)
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
	}{{"grants", admitByGrants}, {"static", newStaticAdmit()}, {"gossip", newGossipAdmit()}} {
		m := newMeasurement(1, overloadFactor, method.admit)
		m.sim.advance(measuredTime)
		large, _ := m.result()
		admitted := float64(large.sent-large.refused) * requestTokens / measuredTime.Seconds() / 40000
		t.Logf("large account at %.0f times its rate, %-8s %5.1f%% of the rate admitted, overshoot %.0f tokens, %d calls",
			overloadFactor, method.name, 100*admitted, m.sim.oracle.worstOvershoot(), m.sim.calls)
	}
}

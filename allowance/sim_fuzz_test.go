package allowance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/rule"
)

// Parameters of the fuzzing.
const (
	fuzzNodes  = 3
	fuzzShards = 1

	fuzzOverload      = 2.5  // load, as a multiple of the rate
	fuzzBurstDivisor  = 8    // smallest number of requests of the load that use up a burst
	maxFuzzSettleTime = 1500 // longest time until a request is settled, in milliseconds
)

func fuzzRules() []rule.Account {
	return []rule.Account{
		{Account: "dala", Rate: 1000, Burst: 1000},
		{Account: "hojaverde", Rate: 4000, Burst: 2000},
		{Account: "village", Rate: 100, Burst: 50},
	}
}

// faultMachine is a rapid state machine that draws faults and load for a simulation.
type faultMachine struct {
	sim *sim
}

func (m *faultMachine) drawNode(t *rapid.T) *simNode {
	return m.sim.nodes[rapid.IntRange(0, fuzzNodes-1).Draw(t, "node")]
}

func (m *faultMachine) wait(t *rapid.T) {
	m.sim.advance(m.drawDuration(t, 1500))
}

// drawDuration draws a duration of up to maxMilliseconds.
func (m *faultMachine) drawDuration(t *rapid.T, maxMilliseconds int) time.Duration {
	return time.Duration(rapid.IntRange(1, maxMilliseconds).Draw(t, "ms")) * time.Millisecond
}

// sendLoad sends requests above the rate all the time, so that tokens that are granted twice are also spent.
func (m *faultMachine) sendLoad(r rule.Account) {
	s := m.sim
	to := s.nodes[s.random.IntN(fuzzNodes)]
	tokens := 1 + s.random.Int64N(max(r.Burst/fuzzBurstDivisor, 1))
	used := tokens
	// One request in fuzzBurstDivisor returns a part of its tokens.
	if s.random.IntN(fuzzBurstDivisor) == 0 {
		used = s.random.Int64N(tokens + 1)
	}
	to.request(r.Account, tokens, used, time.Duration(s.random.IntN(maxFuzzSettleTime))*time.Millisecond)
	mean := float64(r.Burst/fuzzBurstDivisor) / 2 / (float64(r.Rate) * fuzzOverload)
	s.schedule(time.Duration(s.random.ExpFloat64()*mean*float64(time.Second)), func() { m.sendLoad(r) })
}

// sendBurst sends one request of up to the whole burst.
func (m *faultMachine) sendBurst(t *rapid.T) {
	r := fuzzRules()[rapid.IntRange(0, 2).Draw(t, "account")]
	m.drawNode(t).request(r.Account, rapid.Int64Range(1, r.Burst).Draw(t, "tokens"), 1, time.Second)
	m.wait(t)
}

// crash stops an instance and starts it again later.
func (m *faultMachine) crash(t *rapid.T) {
	n := m.drawNode(t)
	if !n.up {
		return
	}
	n.stop(rapid.Bool().Draw(t, "silent"))
	incarnation := n.incarnation
	m.sim.schedule(m.drawDuration(t, 6000), func() {
		if n.incarnation == incarnation {
			n.start()
		}
	})
}

func (m *faultMachine) restart(t *rapid.T) {
	n := m.drawNode(t)
	if n.up {
		n.stop(false)
	}
	n.start()
}

func (m *faultMachine) leave(t *rapid.T) {
	n := m.drawNode(t)
	if !n.up || n.leaving {
		return
	}
	n.leave(m.drawDuration(t, 2000))
	incarnation := n.incarnation
	m.sim.schedule(2*time.Second+m.drawDuration(t, 2000), func() {
		if n.incarnation == incarnation {
			n.start()
		}
	})
}

func (m *faultMachine) suspend(t *rapid.T) {
	m.drawNode(t).suspendedUntil = m.sim.now.Add(m.drawDuration(t, 4000))
}

// disconnect interrupts the network between two instances for a while.
func (m *faultMachine) disconnect(t *rapid.T) {
	a, b := m.drawNode(t), m.drawNode(t)
	if a == b {
		return
	}
	key := [2]int{min(a.index, b.index), max(a.index, b.index)}
	m.sim.disconnected[key] = true
	m.sim.schedule(m.drawDuration(t, 4000), func() { delete(m.sim.disconnected, key) })
}

func (m *faultMachine) disconnectPlatform(t *rapid.T) {
	n := m.drawNode(t)
	m.sim.platformCut[n.index] = true
	m.sim.schedule(m.drawDuration(t, 4000), func() { delete(m.sim.platformCut, n.index) })
}

func (m *faultMachine) startPlatformOutage(t *rapid.T) {
	m.sim.platformOutage = true
	m.sim.schedule(m.drawDuration(t, 4000), func() { m.sim.platformOutage = false })
}

func (m *faultMachine) evict(t *rapid.T) {
	gone := m.drawNode(t)
	if gone.up {
		return
	}
	for _, n := range m.sim.nodes {
		if n.up {
			n.manager.Evict(m.sim.now, gone.instance())
		}
	}
}

func (m *faultMachine) changeRule(t *rapid.T) {
	r := fuzzRules()[rapid.IntRange(0, 2).Draw(t, "account")]
	r.Rate = r.Rate * rapid.Int64Range(1, 8).Draw(t, "rate") / 4
	r.Burst = r.Burst * rapid.Int64Range(1, 8).Draw(t, "burst") / 4
	old := m.sim.rules[r.Account]
	m.sim.rules[r.Account] = r
	for _, n := range m.sim.nodes {
		if n.up {
			n.manager.ApplyRateChanges(m.sim.now, []RateChange{{old, r}})
		}
	}
	m.sim.oracle.recordRuleChange(m.sim.now, old, r)
	m.sim.advance(leaseDuration + time.Millisecond)
}

func (m *faultMachine) changeNetwork(t *rapid.T) {
	m.sim.lossShare = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss")
	m.sim.duplicateShare = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicates")
	m.sim.lateShare = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "late")
	m.sim.jitter = m.drawDuration(t, 200)
}

func checkRateBound(t *rapid.T) {
	m := &faultMachine{newSim(rapid.Uint64().Draw(t, "seed"), fuzzNodes, fuzzShards, fuzzRules()...)}
	m.sim.advance(3 * time.Second)
	m.changeNetwork(t)
	for _, r := range fuzzRules() {
		m.sendLoad(r)
	}
	t.Repeat(map[string]func(*rapid.T){
		"wait":                  m.wait,
		"wait again":            m.wait,
		"burst":                 m.sendBurst,
		"crash":                 m.crash,
		"restart":               m.restart,
		"leave":                 m.leave,
		"pause instance":        m.suspend,
		"disconnect":            m.disconnect,
		"platform disconnected": m.disconnectPlatform,
		"outage of platform":    m.startPlatformOutage,
		"lose write replies":    func(t *rapid.T) { m.sim.writeRepliesToLose += rapid.IntRange(1, 3).Draw(t, "replies") },
		"evict":                 m.evict,
		"change rule":           m.changeRule,
		"network faults":        m.changeNetwork,
		"": func(t *rapid.T) {
			if err := m.sim.oracle.check(); err != nil {
				t.Fatal(err)
			}
			if m.sim.conflict != nil {
				t.Fatal(m.sim.conflict)
			}
		},
	})
}

func TestNeverExceedsRateBound(t *testing.T) {
	rapid.Check(t, checkRateBound)
}

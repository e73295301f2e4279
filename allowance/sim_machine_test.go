package allowance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/rule"
)

// Sizes of the fuzzed fleet.
const (
	fuzzNodes  = 3
	fuzzShards = 1

	fuzzOverload = 2.5  // of the rate
	fuzzParts    = 8    // requests that make up a burst at least
	fuzzSettle   = 1500 // milliseconds until a request has ended at most
)

func fuzzRules() []rule.Account {
	return []rule.Account{
		{Account: "dala", Rate: 1000, Burst: 1000},
		{Account: "hojaverde", Rate: 4000, Burst: 2000},
		{Account: "village", Rate: 100, Burst: 50},
	}
}

// machine draws faults and load for a sim.
type machine struct {
	sim *sim
}

func (m *machine) node(t *rapid.T) *simNode {
	return m.sim.nodes[rapid.IntRange(0, fuzzNodes-1).Draw(t, "node")]
}

func (m *machine) wait(t *rapid.T) {
	m.sim.run(m.time(t, 1500))
}

// time draws a time of up to so many milliseconds.
func (m *machine) time(t *rapid.T, most int) time.Duration {
	return time.Duration(rapid.IntRange(1, most).Draw(t, "ms")) * time.Millisecond
}

// flood sends requests above the rate all the time, so that tokens granted twice show.
func (m *machine) flood(r rule.Account) {
	s := m.sim
	to := s.nodes[s.random.IntN(fuzzNodes)]
	tokens := 1 + s.random.Int64N(max(r.Burst/fuzzParts, 1))
	used := tokens
	if s.random.IntN(fuzzParts) == 0 {
		used = s.random.Int64N(tokens + 1)
	}
	to.request(r.Account, tokens, used, time.Duration(s.random.IntN(fuzzSettle))*time.Millisecond)
	mean := float64(r.Burst/fuzzParts) / 2 / (float64(r.Rate) * fuzzOverload)
	s.after(time.Duration(s.random.ExpFloat64()*mean*float64(time.Second)), func() { m.flood(r) })
}

// burst sends one request of up to the whole burst.
func (m *machine) burst(t *rapid.T) {
	r := fuzzRules()[rapid.IntRange(0, 2).Draw(t, "account")]
	m.node(t).request(r.Account, rapid.Int64Range(1, r.Burst).Draw(t, "tokens"), 1, time.Second)
	m.wait(t)
}

// crash ends an incarnation; the next one starts a while later.
func (m *machine) crash(t *rapid.T) {
	n := m.node(t)
	if !n.up {
		return
	}
	n.stop(rapid.Bool().Draw(t, "silent"))
	incarnation := n.incarnation
	m.sim.after(m.time(t, 6000), func() {
		if n.incarnation == incarnation {
			n.start()
		}
	})
}

func (m *machine) restart(t *rapid.T) {
	n := m.node(t)
	if n.up {
		n.stop(false)
	}
	n.start()
}

func (m *machine) leave(t *rapid.T) {
	n := m.node(t)
	if !n.up || n.leaving {
		return
	}
	n.leave(m.time(t, 2000))
	incarnation := n.incarnation
	m.sim.after(2*time.Second+m.time(t, 2000), func() {
		if n.incarnation == incarnation {
			n.start()
		}
	})
}

func (m *machine) pause(t *rapid.T) {
	m.node(t).paused = m.sim.now.Add(m.time(t, 4000))
}

// cut parts two instances for a while.
func (m *machine) cut(t *rapid.T) {
	a, b := m.node(t), m.node(t)
	if a == b {
		return
	}
	key := [2]int{min(a.index, b.index), max(a.index, b.index)}
	m.sim.cuts[key] = true
	m.sim.after(m.time(t, 4000), func() { delete(m.sim.cuts, key) })
}

func (m *machine) cutPlatform(t *rapid.T) {
	n := m.node(t)
	m.sim.platform[n.index] = true
	m.sim.after(m.time(t, 4000), func() { delete(m.sim.platform, n.index) })
}

func (m *machine) outage(t *rapid.T) {
	m.sim.outage = true
	m.sim.after(m.time(t, 4000), func() { m.sim.outage = false })
}

func (m *machine) evict(t *rapid.T) {
	gone := m.node(t)
	if gone.up {
		return
	}
	for _, n := range m.sim.nodes {
		if n.up {
			n.keeper.Evict(m.sim.now, gone.holder())
		}
	}
}

func (m *machine) change(t *rapid.T) {
	r := fuzzRules()[rapid.IntRange(0, 2).Draw(t, "account")]
	r.Rate = r.Rate * rapid.Int64Range(1, 8).Draw(t, "rate") / 4
	r.Burst = r.Burst * rapid.Int64Range(1, 8).Draw(t, "burst") / 4
	old := m.sim.rules[r.Account]
	m.sim.rules[r.Account] = r
	for _, n := range m.sim.nodes {
		if n.up {
			n.keeper.ApplyRateChanges(m.sim.now, []RateChange{{old, r}})
		}
	}
	m.sim.oracle.change(m.sim.now, old, r)
	m.sim.run(promiseLife + time.Millisecond)
}

func (m *machine) network(t *rapid.T) {
	m.sim.loss = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss")
	m.sim.twice = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "twice")
	m.sim.late = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "late")
	m.sim.jitter = m.time(t, 200)
}

func checkMachine(t *rapid.T) {
	m := &machine{newSim(rapid.Uint64().Draw(t, "seed"), fuzzNodes, fuzzShards, fuzzRules()...)}
	m.sim.run(3 * time.Second)
	m.network(t)
	for _, r := range fuzzRules() {
		m.flood(r)
	}
	t.Repeat(map[string]func(*rapid.T){
		"wait":     m.wait,
		"wait2":    m.wait,
		"burst":    m.burst,
		"crash":    m.crash,
		"restart":  m.restart,
		"leave":    m.leave,
		"pause":    m.pause,
		"cut":      m.cut,
		"platform": m.cutPlatform,
		"outage":   m.outage,
		"lose":     func(t *rapid.T) { m.sim.loseAnswers += rapid.IntRange(1, 3).Draw(t, "answers") },
		"evict":    m.evict,
		"change":   m.change,
		"network":  m.network,
		"": func(t *rapid.T) {
			if err := m.sim.oracle.check(); err != nil {
				t.Fatal(err)
			}
			if m.sim.shared != nil {
				t.Fatal(m.sim.shared)
			}
		},
	})
}

func TestNeverOverTheRate(t *testing.T) {
	rapid.Check(t, checkMachine)
}

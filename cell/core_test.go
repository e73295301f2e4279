package cell

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/engine"
	"teaselgate/rule"
)

var testTargets = Targets{rule.DefaultFirstTokenTarget, rule.DefaultTokenIntervalTarget, rule.DefaultSummaryWait}

func servers(pool string, n int) []rule.Server {
	out := make([]rule.Server, 0, n)
	for i := range n {
		name := fmt.Sprintf("%s%d", pool, i)
		out = append(out, rule.Server{Server: name, Pool: pool, Zone: "a", At: name, State: rule.ServerLive})
	}
	return out
}

func testCore(now instant, prefills, decodes int) *Core {
	c := NewCore(now)
	c.SetServers(now, servers("p", prefills), servers("d", decodes), rule.Pool{Slots: 3, Pieces: 6}, testTargets)
	for i := range decodes {
		c.Held(now, fmt.Sprintf("d%d", i), nil)
	}
	return c
}

// coreMachine drives a core with random requests, reports and losses, and counts what it promised.
type coreMachine struct {
	now     instant
	core    *Core
	offered map[string]bool // whether the decision came
	placed  []string
	n       int
}

func (m *coreMachine) step(t *rapid.T) {
	for _, d := range m.core.Step(m.now) {
		done, known := m.offered[d.Key]
		if !known || done {
			t.Fatalf("unexpected decision on %s, known %v, answered before %v", d.Key, known, done)
		}
		m.offered[d.Key] = true
		if d.Err == nil {
			m.placed = append(m.placed, d.Key)
			m.checkRoom(t, m.core.placed[d.Key])
		}
	}
}

// checkRoom counts, by itself, the requests that hold memory when a new one's transfer starts. With
// no reports the core expects the initial step time of every server.
func (m *coreMachine) checkRoom(t *rapid.T, placed *reservation) {
	start := placed.work.end
	slots, pieces := 0, 0
	for _, r := range m.core.placed {
		if r.decode != placed.decode || r.work.end.After(start) {
			continue
		}
		end := m.now
		if r.prefill != nil {
			end = r.work.linkEnd.Add(time.Duration(r.maxTokens) * initialStep)
		}
		if r == placed || end.After(start) || !end.After(m.now) {
			slots++
			pieces += r.pieces
		}
	}
	if slots > placed.decode.slots || pieces > placed.decode.pieces {
		t.Fatalf("unexpected promise at %s: %d slots of %d, %d pieces of %d",
			placed.decode.server.Server, slots, placed.decode.slots, pieces, placed.decode.pieces)
	}
}

func (m *coreMachine) offer(t *rapid.T) {
	m.n++
	key := fmt.Sprint(m.n)
	m.offered[key] = false
	m.core.Submit(m.now, PlaceRequest{
		Key:          key,
		Account:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
		Weight:       rapid.IntRange(0, 4).Draw(t, "weight"),
		Class:        rapid.SampledFrom([]rule.Class{rule.ClassOrder, rule.ClassInteractive, rule.ClassSummary}).Draw(t, "class"),
		PromptTokens: rapid.IntRange(1, 30000).Draw(t, "prompt"),
		MaxTokens:    rapid.IntRange(1, 300).Draw(t, "output"),
	})
	m.step(t)
}

func TestCorePromisesNoMoreThanThereIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := clockStart
		m := &coreMachine{now: start, core: testCore(start, 2, 3), offered: make(map[string]bool)}
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offer,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				m.step(t)
			},
			"release": func(t *rapid.T) {
				if len(m.placed) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(m.placed)-1).Draw(t, "which")
				m.core.Release(m.now, m.placed[i], Report{})
				m.step(t)
			},
			"bad decode": func(t *rapid.T) {
				if len(m.placed) > 0 {
					m.core.Release(m.now, m.placed[len(m.placed)-1], Report{Placed: time.Unix(1, 0), Ended: time.Unix(2, 0), BadDecode: true})
				}
				m.step(t)
			},
			"report": func(t *rapid.T) {
				slots := rapid.IntRange(0, 50).Draw(t, "slots")
				m.core.Load(m.now, fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "server")), engine.LoadReport{Slots: slots})
				m.step(t)
			},
			"servers change": func(t *rapid.T) {
				n := rapid.IntRange(1, 3).Draw(t, "decodes")
				m.core.SetServers(m.now, servers("p", 2), servers("d", n), rule.Pool{Slots: 3, Pieces: 6}, testTargets)
				m.step(t)
			},
			"": func(t *rapid.T) {
				for _, d := range m.core.decodes {
					pieces := 0
					for _, r := range d.streams {
						pieces += r.pieces
					}
					if pieces != d.used {
						t.Fatalf("unexpected pieces in use %d instead of %d", d.used, pieces)
					}
				}
			},
		})
		for range 800 {
			m.now = m.now.Add(100 * time.Millisecond)
			m.step(t)
		}
		for key, done := range m.offered {
			if !done {
				t.Fatalf("unexpected silence on request %s", key)
			}
		}
		if m.core.QueueLength() != 0 || len(m.core.placed) != 0 || len(m.core.items) != 0 {
			t.Fatalf("unexpected rest: %d waiting, %d placed, %d items", m.core.QueueLength(), len(m.core.placed), len(m.core.items))
		}
	})
}

// serveBacklog keeps accounts' queues full and returns the cost that each was given.
func serveBacklog(q *fairQueue, picks int, refill func(account string, urgent bool) *item) map[string]float64 {
	out := make(map[string]float64)
	for range picks {
		i := q.pick(clockStart, 0, func(*item) bool { return true })
		out[i.account.name+" "+string(i.ask.Class)] += i.cost
		q.push(refill(i.account.name, i.urgent()))
	}
	return out
}

func TestQueueSharesByWeightAndStarvesNoOne(t *testing.T) {
	q := newFairQueue()
	weights := map[string]int{"big": 3, "small": 1, "slow": 1}
	fill := func(account string, urgent bool) *item {
		i := &item{ask: PlaceRequest{Class: rule.ClassInteractive}, cost: 1000, account: q.account(account, weights[account])}
		if !urgent {
			i.ask.Class = rule.ClassSummary
		}
		return i
	}
	for range 50 { // the big account sends far more than its share
		q.push(fill("big", true))
	}
	q.push(fill("small", true))
	q.push(fill("slow", false))
	served := serveBacklog(q, 5000, fill)
	big, small, slow := served["big interactive"], served["small interactive"], served["slow summary"]
	if ratio := big / small; ratio < 2.9 || ratio > 3.1 {
		t.Errorf("unexpected ratio of urgent work %v instead of 3", ratio)
	}
	if ratio := slow / small; ratio < 0.9 {
		t.Errorf("unexpected share of slow work %v of an equal account's instead of at least 0.9", ratio)
	}
}

func TestUrgentWorkLeavesABoundToSlowWork(t *testing.T) {
	q := newFairQueue()
	fill := func(account string, urgent bool) *item {
		i := &item{ask: PlaceRequest{Class: rule.ClassInteractive}, cost: 1000, account: q.account(account, 1)}
		if !urgent {
			i.ask.Class = rule.ClassSummary
		}
		return i
	}
	q.push(fill("one", true))
	q.push(fill("one", false))
	served := serveBacklog(q, 900, fill)
	if part := served["one summary"] / 900000; part < 1.0/(urgentRun+1) {
		t.Errorf("unexpected part of slow work %v instead of at least 1/%d", part, urgentRun+1)
	}
}

// Replays a burst that makes patient requests late: none of them is taken while one waits that can be on time, whatever
// the shares of the accounts.
func TestLatePatientWorkTakesOnlyWhatIsLeft(t *testing.T) {
	q := newFairQueue()
	push := func(account string, late bool) {
		q.push(&item{ask: PlaceRequest{Class: rule.ClassPatient}, cost: 100, account: q.account(account, 1), late: late})
	}
	for range 20 {
		push("a", true)
		push("b", false)
		push("a", false)
	}
	for n := range 60 {
		i := q.pick(clockStart, 0, func(*item) bool { return true })
		if i.late != (n >= 40) {
			t.Fatalf("unexpected pick %d, late %v", n, i.late)
		}
	}
}

// A request whose caller will be gone before it can have its answer is refused at once, or as soon as that is known.
func TestRequestsAreNotHeldLongerThanTheirCallersWait(t *testing.T) {
	cases := []struct {
		name    string
		tokens  int
		left    time.Duration
		blocked bool          // no room at any engine
		held    time.Duration // at most
	}{
		{"no time for the prompt", 20000, 500 * time.Millisecond, false, 0},
		{"no room in the caller's time", 1000, time.Second, true, time.Second},
		{"time enough", 1000, 10 * time.Second, false, -1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := testCore(clockStart, 2, 1)
			c.SetServers(clockStart, servers("p", 2), servers("d", 1), rule.Pool{Slots: 1, Pieces: 3000, Block: 16}, testTargets)
			now := clockStart
			if test.blocked {
				c.Submit(now, PlaceRequest{Key: "first", Account: "a", PromptTokens: 1000, MaxTokens: 100, Class: rule.ClassPatient})
				c.Step(now)
			}
			c.Submit(now, PlaceRequest{Key: "x", Account: "a", PromptTokens: test.tokens, MaxTokens: 100, Left: test.left, Class: rule.ClassPatient})
			for ; now.Sub(clockStart) < 5*time.Second; now = now.Add(stepInterval) {
				decisions := c.Step(now)
				if len(decisions) == 0 {
					continue
				}
				err := decisions[0].Err
				if held := now.Sub(clockStart); (err != nil) != (test.held >= 0) || held > max(test.held, 0) {
					t.Errorf("unexpected decision after %v with error %v", held, err)
				}
				return
			}
			t.Error("no decision")
		})
	}
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	now := clockStart
	c := testCore(now, 2, 2)
	leaving := servers("d", 2)
	leaving[0].State = rule.ServerLeaving
	c.SetServers(now, servers("p", 2), leaving, rule.Pool{Slots: 3, Pieces: 6}, testTargets)
	for n := range 20 {
		c.Submit(now, PlaceRequest{Key: fmt.Sprint(n), Class: rule.ClassInteractive, PromptTokens: 10, MaxTokens: 10})
		for _, d := range c.Step(now) {
			if d.Decode == "d0" {
				t.Errorf("unexpected place at the leaving server")
			}
		}
		now = now.Add(50 * time.Millisecond)
	}
}

func TestShedRequestComesBackLater(t *testing.T) {
	now := clockStart
	c := testCore(now, 1, 1)
	var refused []Decision
	for n := range 400 {
		c.Submit(now, PlaceRequest{Key: fmt.Sprint(n), Account: "a", Class: rule.ClassInteractive, PromptTokens: 2000, MaxTokens: 100})
		for _, d := range c.Step(now) {
			if d.Err != nil {
				refused = append(refused, d)
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	if len(refused) == 0 {
		t.Fatal("unexpected absence of refusals")
	}
	for _, d := range refused {
		if !errors.Is(d.Err, ErrShed) || d.RetryIn < minRetry {
			t.Errorf("unexpected refusal %v with retry in %v", d.Err, d.RetryIn)
		}
	}
}

func TestEqualServersAreChosenInTheSameZone(t *testing.T) {
	now := clockStart
	c := testCore(now, 3, 3)
	for i, zone := range []string{"a", "b", "c"} {
		c.prefills[i].server.Zone, c.decodes[i].server.Zone = zone, zone
	}
	c.Submit(now, PlaceRequest{Key: "k", Class: rule.ClassInteractive, PromptTokens: 10, MaxTokens: 10, Zone: "b"})
	d := c.Step(now)
	if len(d) != 1 || d[0].Prefill != "p1" || d[0].Decode != "d1" {
		t.Errorf("unexpected place %v instead of p1 and d1", d)
	}
}

// TestServerThatFailsCallsButAnswersPollsGetsTrials covers a server whose polls work and whose calls do not.
func TestServerThatFailsCallsButAnswersPollsGetsTrials(t *testing.T) {
	now := clockStart
	c := testCore(now, 1, 2)
	atBad := 0
	for n := range 200 {
		now = now.Add(100 * time.Millisecond)
		key := fmt.Sprint(n)
		c.Submit(now, PlaceRequest{Key: key, Class: rule.ClassInteractive, PromptTokens: 10, MaxTokens: 10})
		for _, d := range c.Step(now) {
			report := Report{Placed: time.Unix(1, 0), Prefilled: time.Unix(1, 0), Ended: time.Unix(1, 0)}
			if d.Decode == "d0" {
				atBad++
				report.BadDecode = true
			}
			c.Release(now, d.Key, report)
		}
		c.Load(now, "d0", engine.LoadReport{})
		c.Load(now, "d1", engine.LoadReport{})
	}
	if atBad < maxFailures || atBad > 10 {
		t.Errorf("unexpected requests at the failing server in 20s: %d instead of %d to 10", atBad, maxFailures)
	}
}

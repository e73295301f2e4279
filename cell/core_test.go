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
		c.RecordHeld(now, fmt.Sprintf("d%d", i), nil)
	}
	return c
}

// coreStateMachine drives a core with random requests, reports and failures, and checks its reservations.
type coreStateMachine struct {
	now       instant
	core      *Core
	decided   map[string]bool // whether a request has its decision, by key
	placed    []string
	submitted int
}

func (m *coreStateMachine) decide(t *rapid.T) {
	for _, d := range m.core.Decide(m.now) {
		done, known := m.decided[d.Key]
		if !known || done {
			t.Fatalf("unexpected decision on %s, known %v, decided before %v", d.Key, known, done)
		}
		m.decided[d.Key] = true
		if d.Err == nil {
			m.placed = append(m.placed, d.Key)
			m.checkRoom(t, m.core.reservations[d.Key])
		}
	}
}

// checkRoom counts the requests that occupy memory when the transfer of a new one starts, independently of the core.
// Without reports the core assumes the initial step time for every server.
func (m *coreStateMachine) checkRoom(t *rapid.T, placed *reservation) {
	start := placed.plan.end
	slots, pieces := 0, 0
	for _, r := range m.core.reservations {
		if r.decode != placed.decode || r.plan.end.After(start) {
			continue
		}
		end := m.now
		if r.prefill != nil {
			end = r.plan.linkEnd.Add(time.Duration(r.maxTokens) * initialStepTime)
		}
		if r == placed || end.After(start) || !end.After(m.now) {
			slots++
			pieces += r.pieces
		}
	}
	if slots > placed.decode.slots || pieces > placed.decode.pieces {
		t.Fatalf("unexpected overbooking of %s: %d slots of %d, %d pieces of %d",
			placed.decode.server.Server, slots, placed.decode.slots, pieces, placed.decode.pieces)
	}
}

func (m *coreStateMachine) submit(t *rapid.T) {
	m.submitted++
	key := fmt.Sprint(m.submitted)
	m.decided[key] = false
	m.core.Submit(m.now, PlaceRequest{
		Key:          key,
		Account:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
		Weight:       rapid.IntRange(0, 4).Draw(t, "weight"),
		Class:        rapid.SampledFrom([]rule.Class{rule.ClassOrder, rule.ClassInteractive, rule.ClassSummary}).Draw(t, "class"),
		PromptTokens: rapid.IntRange(1, 30000).Draw(t, "prompt"),
		MaxTokens:    rapid.IntRange(1, 300).Draw(t, "output"),
	})
	m.decide(t)
}

func TestCoreNeverOverbooksDecodeServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := clockStart
		m := &coreStateMachine{now: start, core: testCore(start, 2, 3), decided: make(map[string]bool)}
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.submit,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				m.decide(t)
			},
			"release": func(t *rapid.T) {
				if len(m.placed) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(m.placed)-1).Draw(t, "which")
				m.core.Release(m.now, m.placed[i], Report{})
				m.decide(t)
			},
			"bad decode": func(t *rapid.T) {
				if len(m.placed) > 0 {
					m.core.Release(m.now, m.placed[len(m.placed)-1], Report{Placed: time.Unix(1, 0), Ended: time.Unix(2, 0), BadDecode: true})
				}
				m.decide(t)
			},
			"report": func(t *rapid.T) {
				slots := rapid.IntRange(0, 50).Draw(t, "slots")
				m.core.RecordLoad(m.now, fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "server")), engine.LoadReport{Slots: slots})
				m.decide(t)
			},
			"servers change": func(t *rapid.T) {
				n := rapid.IntRange(1, 3).Draw(t, "decodes")
				m.core.SetServers(m.now, servers("p", 2), servers("d", n), rule.Pool{Slots: 3, Pieces: 6}, testTargets)
				m.decide(t)
			},
			"": func(t *rapid.T) {
				for _, d := range m.core.decodes {
					pieces := 0
					for _, r := range d.streams {
						pieces += r.pieces
					}
					if pieces != d.usedPieces {
						t.Fatalf("unexpected pieces in use %d instead of %d", d.usedPieces, pieces)
					}
				}
			},
		})
		for range 800 {
			m.now = m.now.Add(100 * time.Millisecond)
			m.decide(t)
		}
		for key, done := range m.decided {
			if !done {
				t.Fatalf("unexpected lack of a decision on request %s", key)
			}
		}
		if m.core.QueueLength() != 0 || len(m.core.reservations) != 0 || len(m.core.waiting) != 0 {
			t.Fatalf("unexpected remaining state: %d queued, %d reservations, %d waiting", m.core.QueueLength(), len(m.core.reservations), len(m.core.waiting))
		}
	})
}

// A request whose caller's deadline passes before its response is rejected at once, or as soon as that is known.
func TestQueueRejectsRequestsPastCallersDeadline(t *testing.T) {
	cases := []struct {
		name        string
		tokens      int
		left        time.Duration
		blocked     bool          // all engines are full
		longestWait time.Duration // longest time until the rejection; negative if the request is placed
	}{
		{"no time for the prompt", 20000, 500 * time.Millisecond, false, 0},
		{"no room before the caller's deadline", 1000, time.Second, true, time.Second},
		{"enough time", 1000, 10 * time.Second, false, -1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := testCore(clockStart, 2, 1)
			c.SetServers(clockStart, servers("p", 2), servers("d", 1), rule.Pool{Slots: 1, Pieces: 3000, Block: 16}, testTargets)
			now := clockStart
			if test.blocked {
				c.Submit(now, PlaceRequest{Key: "first", Account: "a", PromptTokens: 1000, MaxTokens: 100, Class: rule.ClassPatient})
				c.Decide(now)
			}
			c.Submit(now, PlaceRequest{Key: "x", Account: "a", PromptTokens: test.tokens, MaxTokens: 100, Left: test.left, Class: rule.ClassPatient})
			for ; now.Sub(clockStart) < 5*time.Second; now = now.Add(decideInterval) {
				decisions := c.Decide(now)
				if len(decisions) == 0 {
					continue
				}
				err := decisions[0].Err
				if waited := now.Sub(clockStart); (err != nil) != (test.longestWait >= 0) || waited > max(test.longestWait, 0) {
					t.Errorf("unexpected decision after %v with error %v", waited, err)
				}
				return
			}
			t.Error("unexpected lack of a decision")
		})
	}
}

func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	now := clockStart
	c := testCore(now, 2, 2)
	leaving := servers("d", 2)
	leaving[0].State = rule.ServerLeaving
	c.SetServers(now, servers("p", 2), leaving, rule.Pool{Slots: 3, Pieces: 6}, testTargets)
	for n := range 20 {
		c.Submit(now, PlaceRequest{Key: fmt.Sprint(n), Class: rule.ClassInteractive, PromptTokens: 10, MaxTokens: 10})
		for _, d := range c.Decide(now) {
			if d.Decode == "d0" {
				t.Errorf("unexpected placement on the leaving server")
			}
		}
		now = now.Add(50 * time.Millisecond)
	}
}

func TestShedRequestGetsRetryDelay(t *testing.T) {
	now := clockStart
	c := testCore(now, 1, 1)
	var rejected []Decision
	for n := range 400 {
		c.Submit(now, PlaceRequest{Key: fmt.Sprint(n), Account: "a", Class: rule.ClassInteractive, PromptTokens: 2000, MaxTokens: 100})
		for _, d := range c.Decide(now) {
			if d.Err != nil {
				rejected = append(rejected, d)
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	if len(rejected) == 0 {
		t.Fatal("no request was rejected, although the engines were overloaded")
	}
	for _, d := range rejected {
		if !errors.Is(d.Err, ErrShed) || d.RetryIn < minRetry {
			t.Errorf("unexpected rejection %v with retry in %v", d.Err, d.RetryIn)
		}
	}
}

func TestCorePrefersServersInCallersZone(t *testing.T) {
	now := clockStart
	c := testCore(now, 3, 3)
	for i, zone := range []string{"a", "b", "c"} {
		c.prefills[i].server.Zone, c.decodes[i].server.Zone = zone, zone
	}
	c.Submit(now, PlaceRequest{Key: "k", Class: rule.ClassInteractive, PromptTokens: 10, MaxTokens: 10, Zone: "b"})
	d := c.Decide(now)
	if len(d) != 1 || d[0].Prefill != "p1" || d[0].Decode != "d1" {
		t.Errorf("unexpected placement %v instead of p1 and d1", d)
	}
}

// Covers a server that answers polls while its calls fail.
func TestServerFailingCallsButAnsweringPollsGetsOnlyTrials(t *testing.T) {
	now := clockStart
	c := testCore(now, 1, 2)
	callsToFailing := 0
	for n := range 200 {
		now = now.Add(100 * time.Millisecond)
		key := fmt.Sprint(n)
		c.Submit(now, PlaceRequest{Key: key, Class: rule.ClassInteractive, PromptTokens: 10, MaxTokens: 10})
		for _, d := range c.Decide(now) {
			report := Report{Placed: time.Unix(1, 0), Prefilled: time.Unix(1, 0), Ended: time.Unix(1, 0)}
			if d.Decode == "d0" {
				callsToFailing++
				report.BadDecode = true
			}
			c.Release(now, d.Key, report)
		}
		c.RecordLoad(now, "d0", engine.LoadReport{})
		c.RecordLoad(now, "d1", engine.LoadReport{})
	}
	if callsToFailing < maxFailures || callsToFailing > 10 {
		t.Errorf("unexpected requests at the failing server in 20s: %d instead of %d to 10", callsToFailing, maxFailures)
	}
}

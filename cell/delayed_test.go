package cell

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/rule"
	"teaselgate/throttle"
)

// An account whose burst is little more than three of its requests.
const (
	summaryCharge = 14_000
	summaryRate   = 51_000
	summaryBurst  = 51_000
)

// idleCore returns a core with so many idle servers that only the accounts' rates limit requests.
func idleCore() *Core {
	c := NewCore(clockStart)
	c.SetServers(clockStart, servers("p", 20), servers("d", 20), rule.Pool{Slots: 50, Pieces: 1 << 20}, testTargets)
	for i := range 20 {
		c.RecordHeld(clockStart, fmt.Sprintf("d%d", i), nil)
	}
	return c
}

func summary(n int, charge int64) PlaceRequest {
	return PlaceRequest{
		Key: fmt.Sprint(n), Account: "a", Weight: 1, Class: rule.ClassPatient, PromptTokens: 100, MaxTokens: 10, Ceiling: 20,
		Charge: charge, Rate: summaryRate, Burst: summaryBurst,
	}
}

// decideUntil lets a core decide until a time, and returns the tokens of the requests placed and the number rejected.
func decideUntil(c *Core, from, to instant, charges map[string]int64, placed func(at instant, tokens int64)) (rejected int) {
	for now := from; now < to; now = now.Add(decideInterval) {
		for _, d := range c.Decide(now) {
			if d.Err != nil {
				rejected++
				continue
			}
			placed(now, charges[d.Key])
			c.Release(now, d.Key, Report{})
		}
	}
	return rejected
}

// Covers an account that is within its rate, but whose requests come in groups that exceed its burst.
func TestGroupsOfRequestsWithinTheRateAreServed(t *testing.T) {
	const group, interval = 4, 1200 * time.Millisecond // 47,000 tokens a second
	c := idleCore()
	c.limiter.adoptLevels(clockStart, map[string]levelReport{"a": {summaryBurst, clockStart}})
	rejected, now := 0, clockStart
	for g := range 20 {
		for n := range group {
			c.Submit(now, summary(g*group+n, summaryCharge))
		}
		rejected += decideUntil(c, now, now.Add(interval), nil, func(instant, int64) {})
		now = now.Add(interval)
	}
	if rejected > 0 {
		t.Errorf("%d of %d requests within the rate rejected", rejected, 20*group)
	}
}

// Whatever an account sends, and whichever of its requests are cancelled, it gets no more than its burst and rate.
func TestWaitingForTokensNeverExceedsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now, charges := idleCore(), clockStart, make(map[string]int64)
		c.limiter.adoptLevels(now, map[string]levelReport{"a": {summaryBurst, now}})
		total := 0.0
		for n := range rapid.IntRange(1, 80).Draw(t, "requests") {
			charge := rapid.Int64Range(1, 2*summaryCharge).Draw(t, "charge")
			request := summary(n, charge)
			charges[request.Key] = charge
			c.Submit(now, request)
			if rapid.IntRange(0, 4).Draw(t, "cancel") == 0 {
				c.Cancel(now, fmt.Sprint(rapid.IntRange(0, n).Draw(t, "cancelled")))
			}
			pause := time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			decideUntil(c, now, now.Add(pause), charges, func(at instant, tokens int64) {
				total += float64(tokens)
				if allowed := summaryBurst + summaryRate*at.Sub(clockStart).Seconds(); total > allowed+1 {
					t.Fatalf("%.0f tokens after %v, more than the %.0f allowed", total, at.Sub(clockStart), allowed)
				}
			})
			now = now.Add(pause)
		}
	})
}

// Covers a take-over of dispatch: the new dispatcher must neither grant a burst that its predecessor has granted nor
// reject accounts that have not used theirs.
func TestNewDispatcherLearnsTheLevelsOfAccounts(t *testing.T) {
	const age = 100 * time.Millisecond
	cases := []struct {
		name    string
		replies int                     // of four peers
		levels  map[string]AccountLevel // that those peers know
		want    int                     // requests placed at once
	}{
		{"full", 4, map[string]AccountLevel{"a": {summaryBurst, 0}}, 3},
		{"spent", 4, map[string]AccountLevel{"a": {0, age}}, 0},
		{"spent a while ago", 4, map[string]AccountLevel{"a": {0, 10 * age}}, 3},
		{"not used", 4, nil, 2},
		{"too few replies", 1, map[string]AccountLevel{"a": {summaryBurst, 0}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := NewHub(func() *rule.Set { return nil }, EngineCalls{}, func(event.Event) {})
			start := time.Unix(1000, 0)
			h.Now = func() time.Time { return start }
			h.Peers = func() []fleet.Member {
				return []fleet.Member{
					{Name: "0", Peer: "0"}, {Name: "1", Peer: "1"}, {Name: "2", Peer: "2"}, {Name: "3", Peer: "3"},
				}
			}
			h.Call = func(_ context.Context, address, _ string, _, reply any) error {
				if address >= fmt.Sprint(c.replies) {
					return context.DeadlineExceeded
				}
				reply.(*HoldingsReply).Levels = c.levels
				return nil
			}
			d := newDispatcher(ID{Prefill: "p", Decode: "d"}, start, throttle.NewList())
			d.core = idleCore()
			d.core.awaitLevels(d.core.started.Add(gatherTimeout))
			for n := range 4 {
				d.core.Submit(clockStart, summary(n, summaryCharge))
			}
			if decisions := d.core.Decide(clockStart); len(decisions) > 0 {
				t.Fatalf("%d requests decided before the levels were known", len(decisions))
			}
			h.gatherHoldings(d)
			for _, server := range d.core.decodes {
				d.core.RecordLoad(clockStart, server.server.Server, engine.LoadReport{})
			}
			placed := 0
			decideUntil(d.core, clockStart, clockStart.Add(decideInterval), nil, func(instant, int64) { placed++ })
			if placed != c.want {
				t.Errorf("%d requests placed at once instead of %d", placed, c.want)
			}
		})
	}
}

// Covers an instance that is cut off from all others while an account sends many times its rate: it becomes the
// dispatcher for its own callers before the membership notices the cut.
func TestIsolatedDispatcherGrantsItsPartOnly(t *testing.T) {
	const peers = 66
	h := NewHub(func() *rule.Set { return nil }, EngineCalls{}, func(event.Event) {})
	start := time.Unix(1000, 0)
	h.Now = func() time.Time { return start }
	h.Reachable = func() (int, int) { return peers + 1, peers + 1 }
	h.Peers = func() []fleet.Member { return make([]fleet.Member, peers) }
	h.Call = func(context.Context, string, string, any, any) error { return context.DeadlineExceeded }
	d := newDispatcher(ID{Prefill: "p", Decode: "d"}, start, throttle.NewList())
	d.core = idleCore()
	d.core.awaitLevels(d.core.started.Add(gatherTimeout))
	for n := range 4 {
		d.core.Submit(clockStart, summary(n, summaryCharge))
	}
	h.gatherHoldings(d)
	placed := 0
	decideUntil(d.core, clockStart, clockStart.Add(time.Second), nil, func(instant, int64) { placed++ })
	if placed > 0 {
		t.Errorf("%d requests granted by an isolated instance, whose part of the rate allows none in a second", placed)
	}
}

// Covers the time after a partition, in which two dispatchers reach all instances: each grants only the part of the rates
// of the instances that follow it. A dispatcher that is gone or leaving does not count against its successor.
func TestFollowersOfOtherDispatchersAreNotCounted(t *testing.T) {
	reply := func(prefers string, dispatches bool) HoldingsReply {
		return HoldingsReply{Prefers: prefers, Dispatches: dispatches}
	}
	cases := []struct {
		name    string
		replies map[string]HoldingsReply
		want    int
	}{
		{"all follow", map[string]HoldingsReply{"b": reply("a", false), "c": reply("a", false)}, 2},
		{"after a partition", map[string]HoldingsReply{
			"b": reply("a", false), "c": reply("x", false), "d": reply("x", false), "x": reply("x", true),
		}, 1},
		{"the other one is gone", map[string]HoldingsReply{"b": reply("x", false), "c": reply("x", false)}, 2},
		{"the other one is leaving", map[string]HoldingsReply{"b": reply("x", false), "x": reply("a", false)}, 2},
		{"instances of an older build", map[string]HoldingsReply{"b": {}, "c": {}}, 2},
	}
	for _, c := range cases {
		if got := countFollowers("a", c.replies); got != c.want {
			t.Errorf("%s: %d followers instead of %d", c.name, got, c.want)
		}
	}
}

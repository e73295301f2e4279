package cell

import (
	"testing"
	"time"
)

// prefillBench books prompts at one server that computes 60,000 tokens a second.
type prefillFixture struct {
	server *prefillServer
	epoch  time.Time
}

func newPrefillFixture() *prefillFixture {
	return &prefillFixture{&prefillServer{rate: rateEstimate{perSecond: 60000}, linkRate: rateEstimate{perSecond: 60000}}, time.Unix(0, 0)}
}

func (b *prefillFixture) place(now instant, tokens int) *reservation {
	r := &reservation{prefill: b.server, promptTokens: tokens, placedAt: now, work: b.server.plan(now, tokens, 0)}
	b.server.book(r)
	return r
}

// report says when a prompt was computed.
func (b *prefillFixture) report(now instant, r *reservation, end instant) {
	b.server.observe(now, r, Report{Placed: b.epoch, Prefilled: b.epoch.Add(end.Sub(r.placedAt))})
}

func TestPredictedEndFollowsReportedEnds(t *testing.T) {
	b := newPrefillFixture()
	at := func(ms int) instant { return clockStart.Add(time.Duration(ms) * time.Millisecond) }
	expect := func(when string, want instant) {
		t.Helper()
		if off := b.server.prompts.freeAt.Sub(want); off > time.Microsecond || off < -time.Microsecond {
			t.Errorf("%s: unexpected end of the work placed, off by %v", when, off)
		}
	}
	one, two := b.place(at(0), 6000), b.place(at(0), 6000)
	expect("two prompts placed", at(200))
	b.report(at(130), one, at(130))
	expect("the first was 30 ms late", at(230))
	b.report(at(240), two, at(231))
	expect("the second was 1 ms later still", at(231))
	late := b.place(at(240), 6000)
	b.place(at(900), 6000)
	newest := b.server.prompts.freeAt
	if newest < at(900) {
		t.Errorf("unexpected end of a prompt placed after a pause, before its start")
	}
	b.report(at(950), late, at(600))
	expect("a report from before the pause", newest)
}

func TestRateEstimateFollowsLongPrompts(t *testing.T) {
	const hop = 5 * time.Millisecond // on the network, for each prompt
	b := newPrefillFixture()
	for n := range 400 {
		tokens := 100
		if n%10 == 0 {
			tokens = 6000
		}
		took := time.Duration(tokens)*time.Second/60000 + hop
		b.server.rate.observe(tokens, took)
	}
	if got := b.server.rate.perSecond; got < 0.9*60000 {
		t.Errorf("unexpected rate %.0f, where nine of ten prompts are short, instead of about 60000", got)
	}
}

// TestStalledTransferIsForgotten replays what faults leave behind: transfers that took seconds, since a decode engine
// stood still or connections were delayed, and then requests one after the other at idle engines, which compute a
// prompt and transfer it in 15 ms each.
func TestRateEstimateRecoversFromStalledTransfers(t *testing.T) {
	const (
		quick  = 15 * time.Millisecond
		stall  = 3 * time.Second
		stream = 250 * time.Millisecond
	)
	s := &sequence{core: testCore(clockStart, 2, 4), now: clockStart}
	for range 4 {
		s.run(t, quick, quick, stream, nil)
	}
	for range 4 {
		s.run(t, quick, stall, stream, nil)
	}
	for n := range 32 {
		if waited := s.run(t, quick, quick, stream, nil); waited > 0 {
			t.Errorf("request %d: unexpected wait of %v at idle engines", n, waited)
		}
	}
}

package cell

import (
	"testing"
	"time"
)

// prefillFixture books prompts at one server that computes 60,000 tokens per second.
type prefillFixture struct {
	server *prefillServer
	epoch  time.Time
}

func newPrefillFixture() *prefillFixture {
	return &prefillFixture{&prefillServer{rate: rateEstimate{perSecond: 60000}, linkRate: rateEstimate{perSecond: 60000}}, time.Unix(0, 0)}
}

func (f *prefillFixture) place(now instant, tokens int) *reservation {
	r := &reservation{prefill: f.server, promptTokens: tokens, placedAt: now, plan: f.server.plan(now, tokens, 0)}
	f.server.book(r)
	return r
}

// report records when a prompt was computed.
func (f *prefillFixture) report(now instant, r *reservation, end instant) {
	f.server.observe(now, r, Report{Placed: f.epoch, Prefilled: f.epoch.Add(end.Sub(r.placedAt))})
}

func TestPredictedEndFollowsReportedEnds(t *testing.T) {
	fixture := newPrefillFixture()
	at := func(ms int) instant { return clockStart.Add(time.Duration(ms) * time.Millisecond) }
	expect := func(when string, want instant) {
		t.Helper()
		if off := fixture.server.prompts.freeAt.Sub(want); off > time.Microsecond || off < -time.Microsecond {
			t.Errorf("%s: unexpected predicted end of the booked work, off by %v", when, off)
		}
	}
	one, two := fixture.place(at(0), 6000), fixture.place(at(0), 6000)
	expect("two prompts placed", at(200))
	fixture.report(at(130), one, at(130))
	expect("the first was 30 ms late", at(230))
	fixture.report(at(240), two, at(231))
	expect("the second was 1 ms later than predicted", at(231))
	late := fixture.place(at(240), 6000)
	fixture.place(at(900), 6000)
	newest := fixture.server.prompts.freeAt
	if newest < at(900) {
		t.Errorf("unexpected end of a prompt placed after a pause, before its start")
	}
	fixture.report(at(950), late, at(600))
	expect("a report from before the pause", newest)
}

func TestRateEstimateFollowsLongPrompts(t *testing.T) {
	const networkTime = 5 * time.Millisecond // network time of each prompt
	fixture := newPrefillFixture()
	for n := range 400 {
		tokens := 100
		if n%10 == 0 {
			tokens = 6000
		}
		took := time.Duration(tokens)*time.Second/60000 + networkTime
		fixture.server.rate.observe(tokens, took)
	}
	if got := fixture.server.rate.perSecond; got < 0.9*60000 {
		t.Errorf("unexpected rate %.0f, where nine of ten prompts are short, instead of about 60000", got)
	}
}

// Guards against low rates after faults: transfers took seconds because a decode engine stalled or connections were
// delayed. Requests that follow one after the other must not wait at idle engines, which compute and transfer a prompt
// in 15 ms each.
func TestRateEstimateRecoversFromStalledTransfers(t *testing.T) {
	const (
		quick      = 15 * time.Millisecond
		stallTime  = 3 * time.Second
		streamTime = 250 * time.Millisecond
	)
	s := &sequence{core: testCore(clockStart, 2, 4), now: clockStart}
	for range 4 {
		s.run(t, quick, quick, streamTime, nil)
	}
	for range 4 {
		s.run(t, quick, stallTime, streamTime, nil)
	}
	for n := range 32 {
		if waited := s.run(t, quick, quick, streamTime, nil); waited > 0 {
			t.Errorf("request %d: unexpected wait of %v at idle engines", n, waited)
		}
	}
}

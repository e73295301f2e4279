package cell

import (
	"testing"
	"time"
)

// Guards against a wrong step time after faults: samples that are far too short, as of streams that broke off at once,
// make all healthy engines look slow.
func TestUniformlySlowEnginesStayInUse(t *testing.T) {
	const (
		quick      = 15 * time.Millisecond
		streamTime = 250 * time.Millisecond
	)
	s := &sequence{core: testCore(clockStart, 2, 4), now: clockStart}
	for range 40 {
		s.run(t, quick, quick, streamTime/20, nil)
	}
	for n := range 60 {
		if waited := s.run(t, quick, quick, streamTime, nil); waited > 0 {
			t.Errorf("request %d: unexpected wait of %v at idle engines", n, waited)
		}
	}
}

// Covers one engine of four that generates tokens at a tenth of the others' rate.
func TestSlowOutlierGetsOnlyTrials(t *testing.T) {
	const quick = 15 * time.Millisecond
	s := &sequence{core: testCore(clockStart, 2, 4), now: clockStart}
	slow := s.core.decodes[0]
	used := 0
	for range 200 {
		s.run(t, quick, quick, 250*time.Millisecond, func(r *Report) {
			if s.core.reservations[s.key()].decode == slow {
				r.Ended = r.Ended.Add(2250 * time.Millisecond)
				used++
			}
		})
	}
	if used > 20 {
		t.Errorf("unexpected %d of 200 requests at an engine that is ten times slower than the others", used)
	}
}

// Covers streams that stalled until their timeout and broke.
func TestBrokenStreamsDoNotChangeStepTime(t *testing.T) {
	const quick = 15 * time.Millisecond
	s := &sequence{core: testCore(clockStart, 2, 4), now: clockStart}
	for range 20 {
		s.run(t, quick, quick, 250*time.Millisecond, nil)
	}
	want := s.core.decodes[0].steps.step(1)
	for range 4 {
		s.run(t, quick, quick, 5*time.Second, func(r *Report) { r.Generated, r.BadDecode = 8, true })
	}
	if got := s.core.decodes[0].steps.step(1); got != want {
		t.Errorf("unexpected step of %.1f ms after broken streams instead of %.1f ms", got*1000, want*1000)
	}
}

package cell

import (
	"fmt"
	"testing"
	"time"

	"teaselgate/rule"
)

// Covers the take-over of a cell whose engines generate tokens faster than any default, and whose target for the time
// between tokens is below the initial step time: the new dispatcher has no samples yet.
func TestNewDispatcherUsesAllSlotsBeforeItKnowsStepTimes(t *testing.T) {
	const engines, slots = 6, 12
	c := NewCore(clockStart)
	targets := testTargets
	targets.TokenInterval = initialStepTime / 7
	c.SetServers(clockStart, servers("p", 3), servers("d", engines), rule.Pool{Slots: slots, Pieces: 7050, Strict: true}, targets)
	for i := range engines {
		c.RecordHeld(clockStart, fmt.Sprintf("d%d", i), nil)
	}
	for n := range engines * slots {
		c.Submit(clockStart, PlaceRequest{
			Key: fmt.Sprint(n), Account: "a", Weight: 1, Class: rule.ClassPatient, PromptTokens: 200, MaxTokens: 300, Ceiling: 600,
		})
	}
	placed := 0
	for now := clockStart; now < clockStart.Add(time.Second); now = now.Add(decideInterval) {
		for _, d := range c.Decide(now) {
			if d.Err == nil {
				placed++
			}
		}
	}
	if placed != engines*slots {
		t.Errorf("%d of %d requests placed on idle engines", placed, engines*slots)
	}
}

// Covers engines with short steps that run full batches only: the samples say little about small batches, and a line
// that is too steep would predict steps of no time there and take normal engines for slow ones.
func TestStepModelStaysNearTheSamplesOfFullBatches(t *testing.T) {
	truth := func(batch float64) float64 { return 0.0006 + 0.00016*batch }
	for _, samples := range []int{1, 5, 19, 60} {
		m := newPoolStepModel()
		for n := range samples {
			batch := float64(9 + n%4)
			noise := 1 + 0.3*float64(n%3-1)
			m.observe(batch, truth(batch)*noise)
		}
		for _, batch := range []float64{1, 6, 12} {
			if got, want := m.mean(batch), truth(batch); got < want/2.5 || got > want*2.5 {
				t.Errorf("after %d samples: step of %.2f ms at batch %v instead of %.2f ms", samples, got*1000, batch, want*1000)
			}
		}
	}
}

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

// Covers engines that generate equally fast with any batch: streams spread over them, so that the loss of one breaks few.
func TestStreamsSpreadOverEqualEngines(t *testing.T) {
	const quick = 15 * time.Millisecond
	s := &sequence{core: testCore(clockStart, 2, 2), now: clockStart}
	for range 20 {
		s.run(t, quick, quick, 250*time.Millisecond, nil)
	}
	s.core.decodes[0].steps.factor = 1.03 // measured slightly slower
	placed := make(map[*decodeServer]int)
	for n := range 4 {
		s.core.Submit(s.now, PlaceRequest{
			Key: fmt.Sprint("spread", n), Account: "a", Weight: 1, Class: rule.ClassPatient, PromptTokens: 10, MaxTokens: 100, Ceiling: 100,
		})
		s.now = s.now.Add(50 * time.Millisecond)
		for _, d := range s.core.Decide(s.now) {
			if d.Err == nil {
				placed[s.core.reservations[d.Key].decode]++
			}
		}
	}
	for _, d := range s.core.decodes {
		if placed[d] != 2 {
			t.Errorf("%d of 4 streams on %s instead of 2", placed[d], d.server.Server)
		}
	}
}

package cell

import (
	"fmt"
	"testing"
	"time"

	"teaselgate/rule"
)

// sequence sends requests of one size one after the other to a cell that is idle but for them.
type sequence struct {
	core *Core
	now  instant
	n    int
}

// Sizes of the requests of a sequence.
const (
	sequencePrompt = 2000
	sequenceOutput = 96
)

// key returns the key of the newest request.
func (s *sequence) key() string { return fmt.Sprintf("r%d", s.n) }

// run sends a request whose prefill, transfer and stream take the given times, and returns how long it waited.
func (s *sequence) run(t *testing.T, compute, transfer, stream time.Duration, change func(*Report)) time.Duration {
	t.Helper()
	s.n++
	key := s.key()
	s.core.Offer(s.now, Ask{Key: key, Account: "a", PromptTokens: sequencePrompt, MaxTokens: sequenceOutput, Class: rule.ClassInteractive})
	for asked := s.now; ; s.now = s.now.Add(stepInterval) {
		for _, d := range s.core.Step(s.now) {
			if d.Err != nil {
				t.Fatalf("request %d: unexpected refusal after %v at idle engines: %v", s.n, s.now.Sub(asked), d.Err)
			}
			waited := s.now.Sub(asked)
			epoch := time.Unix(0, 0)
			r := Report{
				Placed: epoch, Prefilled: epoch.Add(compute), Imported: epoch.Add(compute + transfer),
				Ended: epoch.Add(compute + transfer + stream), Generated: sequenceOutput,
			}
			if change != nil {
				change(&r)
			}
			s.now = s.now.Add(r.Ended.Sub(epoch))
			s.core.Release(s.now, key, r)
			return waited
		}
	}
}

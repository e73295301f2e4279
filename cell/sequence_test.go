package cell

import (
	"fmt"
	"testing"
	"time"

	"teaselgate/rule"
)

// sequence sends requests of the same size one after the other to an otherwise idle cell.
type sequence struct {
	core *Core
	now  instant
	sent int
}

// Sizes of the requests of a sequence.
const (
	sequencePrompt = 2000
	sequenceOutput = 96
)

// key returns the key of the newest request.
func (s *sequence) key() string { return fmt.Sprintf("r%d", s.sent) }

// run sends a request whose prefill, transfer and stream take the given times, and returns how long it waited.
// change, if not nil, changes the report.
func (s *sequence) run(t *testing.T, compute, transfer, stream time.Duration, change func(*Report)) time.Duration {
	t.Helper()
	s.sent++
	key := s.key()
	s.core.Submit(s.now, PlaceRequest{Key: key, Account: "a", PromptTokens: sequencePrompt, MaxTokens: sequenceOutput, Class: rule.ClassInteractive})
	waited := s.await(t)
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

// await calls the core until it decides on the newest request, and returns how long that took.
func (s *sequence) await(t *testing.T) time.Duration {
	t.Helper()
	asked := s.now
	for {
		decisions := s.core.Decide(s.now)
		if len(decisions) == 0 {
			s.now = s.now.Add(decideInterval)
			continue
		}
		if err := decisions[0].Err; err != nil {
			t.Fatalf("request %d: unexpected rejection after %v at idle engines: %v", s.sent, s.now.Sub(asked), err)
		}
		return s.now.Sub(asked)
	}
}

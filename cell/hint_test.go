package cell

import (
	"testing"

	"teaselgate/engine"
)

func TestHintsFollowCacheEventsAndExpire(t *testing.T) {
	now := clockStart
	h := newHints()
	a, b := &prefillServer{hintAccuracy: 1}, &prefillServer{hintAccuracy: 0.5}
	h.recordStored(now, a, []string{"x1", "x2"})
	h.recordEvents(now, b, []engine.CacheEvent{{Sequence: 1, Prefix: "x1", Stored: true}})
	hits := h.find(now, []string{"x1", "x2", "x3"})
	if got := hitTokens(hits, a); got != engine.PrefixTokens(1) {
		t.Errorf("unexpected cached tokens %d at the server of a placement instead of %d", got, engine.PrefixTokens(1))
	}
	if got := hitTokens(hits, b); got != engine.PrefixTokens(0)/2 {
		t.Errorf("unexpected cached tokens %d at half accuracy instead of %d", got, engine.PrefixTokens(0)/2)
	}
	h.recordEvents(now, b, []engine.CacheEvent{{Sequence: 2, Prefix: "x1"}})
	if got := hitTokens(h.find(now, []string{"x1"}), b); got != 0 {
		t.Errorf("unexpected cached tokens %d after the eviction instead of 0", got)
	}
	h.recordEvents(now, a, []engine.CacheEvent{{Sequence: 1, Prefix: "y", Stored: true}, {Sequence: 5, Prefix: "y", Stored: true}})
	if got := hitTokens(h.find(now.Add(hintTTLAfterGap), []string{"x1", "x2"}), a); got != 0 {
		t.Errorf("unexpected cached tokens %d after a gap instead of 0", got)
	}
	if got := hitTokens(h.find(now.Add(hintTTL), []string{"y"}), a); got != 0 {
		t.Errorf("unexpected cached tokens %d from an expired hint instead of 0", got)
	}
}

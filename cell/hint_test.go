package cell

import (
	"testing"

	"teaselgate/engine"
)

func TestHintsFollowEventsAndAge(t *testing.T) {
	now := clockStart
	h := newHints()
	a, b := &prefillServer{trust: 1}, &prefillServer{trust: 0.5}
	h.stored(now, a, []string{"x1", "x2"})
	h.events(now, b, []engine.CacheEvent{{Sequence: 1, Prefix: "x1", Stored: true}})
	hits := h.find(now, []string{"x1", "x2", "x3"})
	if got := cached(hits, a); got != engine.PrefixTokens(1) {
		t.Errorf("unexpected cached tokens %d at the own choice instead of %d", got, engine.PrefixTokens(1))
	}
	if got := cached(hits, b); got != engine.PrefixTokens(0)/2 {
		t.Errorf("unexpected cached tokens %d at half trust instead of %d", got, engine.PrefixTokens(0)/2)
	}
	h.events(now, b, []engine.CacheEvent{{Sequence: 2, Prefix: "x1"}})
	if got := cached(h.find(now, []string{"x1"}), b); got != 0 {
		t.Errorf("unexpected cached tokens %d after the eviction instead of 0", got)
	}
	h.events(now, a, []engine.CacheEvent{{Sequence: 1, Prefix: "y", Stored: true}, {Sequence: 5, Prefix: "y", Stored: true}})
	if got := cached(h.find(now.Add(gapLife), []string{"x1", "x2"}), a); got != 0 {
		t.Errorf("unexpected cached tokens %d after a gap instead of 0", got)
	}
	if got := cached(h.find(now.Add(hintLife), []string{"y"}), a); got != 0 {
		t.Errorf("unexpected cached tokens %d from an old hint instead of 0", got)
	}
}

package entry

import (
	"testing"

	"teaselgate/cell"
	"teaselgate/rule"
)

func TestEnginesKeepTheOrderOfADispatcher(t *testing.T) {
	priority := func(class rule.Class, placed bool) int {
		c := &call{route: rule.Route{Class: class}}
		a := &attempt{place: &cell.Placement{RetryRefused: placed}, out: &answer{call: c}}
		return a.priority()
	}
	if order, summary := priority(rule.ClassOrder, false), priority(rule.ClassSummary, false); order >= summary {
		t.Errorf("unexpected priorities without a dispatcher, got %d for orders and %d for summaries", order, summary)
	}
	if order, summary := priority(rule.ClassOrder, true), priority(rule.ClassSummary, true); order != summary {
		t.Errorf("unexpected priorities by a dispatcher, got %d and %d instead of the same", order, summary)
	}
}

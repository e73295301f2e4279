package entry

import (
	"testing"

	"teaselgate/cell"
	"teaselgate/rule"
)

func TestDispatchedRequestsHaveEqualPriority(t *testing.T) {
	priority := func(class rule.Class, dispatched bool) int {
		q := &request{route: rule.Route{Class: class}}
		a := &attempt{placement: &cell.Placement{RetryRefused: dispatched}, writer: &completionWriter{request: q}}
		return a.priority()
	}
	if order, summary := priority(rule.ClassOrder, false), priority(rule.ClassSummary, false); order >= summary {
		t.Errorf("unexpected priorities without a dispatcher, got %d for orders and %d for summaries", order, summary)
	}
	if order, summary := priority(rule.ClassOrder, true), priority(rule.ClassSummary, true); order != summary {
		t.Errorf("unexpected priorities with a dispatcher, got %d and %d instead of equal ones", order, summary)
	}
}

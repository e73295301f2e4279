package allowance

import (
	"testing"
	"time"
)

// A request that ends after its grant was given back must not revive it: its keeper counts it no more.
func TestClosedGrantTakesNothingBack(t *testing.T) {
	now := time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC)
	e := NewGrantClient(1, func(int) Assignment { return Assignment{Epoch: 1, Primary: Instance{Name: "i1", Incarnation: 1}} })
	_, w := e.take(now, "dala", 60)
	a := e.plan(now)[0]
	e.answered(now, now, a, TakeReply{Items: []GrantReply{{Epoch: 1, Grant: 7, Tokens: 100, Life: time.Second}}}, nil)
	parts := (<-w.done).parts
	now = now.Add(time.Second - closeTime)
	back := e.plan(now)[0].Args.Items[0].Back
	if len(back) != 1 || back[0] != (ReturnedGrant{7, 40}) {
		t.Fatalf("unexpected grants given back, got %v instead of 40 tokens of grant 7", back)
	}
	e.settle(now, parts, 50)
	if got := e.pools["dala"].live(now); got != 0 {
		t.Errorf("unexpected tokens of a closed grant, got %d instead of 0", got)
	}
}

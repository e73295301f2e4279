package allowance

import (
	"testing"
	"time"
)

// Guards against a request that settles after its grant was returned to the primary, and makes its tokens spendable
// again.
func TestSettleIgnoresReturnedGrant(t *testing.T) {
	now := time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC)
	client := NewGrantClient(1, func(int) Assignment {
		return Assignment{Epoch: 1, Primary: Instance{Name: "i1", Incarnation: 1}}
	})
	_, w := client.take(now, "dala", 60)
	request := client.planRequests(now)[0]
	client.handleReply(now, now, request, TakeReply{
		Items: []GrantReply{{Epoch: 1, Grant: 7, Tokens: 100, Life: time.Second}},
	}, nil)
	debits := (<-w.result).debits
	now = now.Add(time.Second - maxReturnLead)
	returned := client.planRequests(now)[0].Args.Items[0].Back
	if len(returned) != 1 || returned[0] != (ReturnedGrant{7, 40}) {
		t.Fatalf("unexpected returned grants, got %v instead of 40 tokens of grant 7", returned)
	}
	client.settle(now, debits, 50)
	if got := client.quotas["dala"].spendable(now); got != 0 {
		t.Errorf("unexpected spendable tokens of a returned grant, got %d instead of 0", got)
	}
}

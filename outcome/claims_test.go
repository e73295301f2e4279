package outcome

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"teaselgate/platform"
	standplatform "teaselgate/standin/platform"
)

var order = ClaimRequest{Account: "dala-almaty", Route: "orders", Key: "wedding", Digest: "lamb"}

// claimsFleet makes the claims of two instances at one platform.
func claimsFleet(t *testing.T) (store *standplatform.Server, one, two *ClaimStore) {
	t.Helper()
	store = standplatform.NewServer("token")
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	all := make([]*ClaimStore, 0, 2)
	for _, owner := range []string{"i1-1", "i2-1"} {
		client := platform.NewClient(server.URL, "token")
		t.Cleanup(client.HTTP.CloseIdleConnections)
		c := NewClaimStore(owner, client)
		c.Wait = func(context.Context, time.Duration) error { return nil }
		all = append(all, c)
	}
	return store, all[0], all[1]
}

func mustTake(t *testing.T, c *ClaimStore) *Claim {
	t.Helper()
	held, answer, err := c.Acquire(t.Context(), order)
	if err != nil || answer != nil {
		t.Fatalf("unexpected claim, got answer %v and error %v instead of a held claim", answer, err)
	}
	return held
}

func mustRefuse(t *testing.T, c *ClaimStore, ask ClaimRequest, want *Refusal) {
	t.Helper()
	held, answer, err := c.Acquire(t.Context(), ask)
	var got *Refusal
	if held != nil || answer != nil || !errors.As(err, &got) || got.Code != want.Code || got.Outcome != want.Outcome {
		t.Fatalf("unexpected claim, got %v, %v, %v instead of %v", held, answer, err, want)
	}
}

func TestClaimAnswersRepeats(t *testing.T) {
	for _, lost := range []string{"none", "create", "send", "store"} {
		t.Run("lost answer of "+lost, func(t *testing.T) {
			store, one, two := claimsFleet(t)
			lose := func(step string) {
				if step == lost {
					store.SetFaults(standplatform.Faults{LoseWrites: 1})
				}
			}
			lose("create")
			held := mustTake(t, one)
			lose("send")
			if err := held.MarkSent(t.Context()); err != nil {
				t.Fatal(err)
			}
			mustRefuse(t, two, order, errInProgress)
			lose("store")
			held.StoreResponse(t.Context(), StoredResponse{Status: 201, Body: []byte("confirmed")})
			_, answer, err := two.Acquire(t.Context(), order)
			if err != nil || answer == nil || string(answer.Body) != "confirmed" || answer.Status != 201 {
				t.Errorf("unexpected repeat, got %v and error %v", answer, err)
			}
			other := order
			other.Digest = "beef"
			mustRefuse(t, two, other, errReused)
			other.Account = "dala-astana"
			if _, _, err := two.Acquire(t.Context(), other); err != nil {
				t.Errorf("unexpected error of another account's call: %v", err)
			}
		})
	}
}

func TestPausedHolderCannotSendAfterTakeOver(t *testing.T) {
	_, one, two := claimsFleet(t)
	paused := mustTake(t, one)
	taker := mustTake(t, two) // the claim stood still for the retake delay
	if err := paused.MarkSent(t.Context()); RefusalFromError(err).Code != errInProgress.Code {
		t.Errorf("unexpected send of the paused holder: %v", err)
	}
	if err := taker.MarkSent(t.Context()); err != nil {
		t.Errorf("unexpected error of the new holder: %v", err)
	}
}

func TestTakeOverWaitsForALiveHolder(t *testing.T) {
	_, one, two := claimsFleet(t)
	held := mustTake(t, one)
	two.Wait = func(ctx context.Context, _ time.Duration) error { return held.MarkSent(ctx) }
	mustRefuse(t, two, order, errInProgress)
	two.OwnerEnded = func(owner string) bool { return owner == "i1-1" }
	mustRefuse(t, two, order, errLost)
}

func TestLostAnswerStaysUnknown(t *testing.T) {
	_, one, two := claimsFleet(t)
	held := mustTake(t, one)
	if err := held.MarkSent(t.Context()); err != nil {
		t.Fatal(err)
	}
	held.MarkLost(t.Context())
	mustRefuse(t, two, order, errLost)
}

func TestLongAnswerIsNotRunAgain(t *testing.T) {
	_, one, two := claimsFleet(t)
	held := mustTake(t, one)
	if err := held.MarkSent(t.Context()); err != nil {
		t.Fatal(err)
	}
	held.StoreResponse(t.Context(), StoredResponse{Status: 200, TooLong: true})
	mustRefuse(t, two, order, errTooLong)
}

func TestOutageLeavesNoClaimBehind(t *testing.T) {
	for _, step := range []string{"create", "send"} {
		t.Run(step, func(t *testing.T) {
			store, one, two := claimsFleet(t)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = one.Serve(ctx) }()
			if step == "create" {
				store.SetFaults(standplatform.Faults{Outage: true})
				if _, _, err := one.Acquire(ctx, order); !errors.Is(err, ErrPlatformDown) {
					t.Fatalf("unexpected error, got %v instead of %v", err, ErrPlatformDown)
				}
			} else {
				held := mustTake(t, one)
				store.SetFaults(standplatform.Faults{Outage: true})
				if err := held.MarkSent(ctx); RefusalFromError(err).Code != errPlatform.Code {
					t.Fatalf("unexpected error, got %v instead of %v", err, errPlatform)
				}
			}
			store.SetFaults(standplatform.Faults{})
			if left := one.Drain(ctx); left != 0 {
				t.Errorf("unexpected claims left, got %d instead of 0", left)
			}
			two.Wait = func(context.Context, time.Duration) error { t.Error("a claim was left"); return nil }
			mustTake(t, two)
		})
	}
}

func TestAnswerIsStoredAfterAnOutage(t *testing.T) {
	store, one, two := claimsFleet(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = one.Serve(ctx) }()
	held := mustTake(t, one)
	if err := held.MarkSent(ctx); err != nil {
		t.Fatal(err)
	}
	store.SetFaults(standplatform.Faults{Outage: true})
	held.StoreResponse(ctx, StoredResponse{Status: 200, Body: []byte("confirmed")})
	store.SetFaults(standplatform.Faults{})
	one.Drain(ctx)
	_, answer, err := two.Acquire(ctx, order)
	if err != nil || answer == nil {
		t.Errorf("unexpected repeat, got %v and error %v instead of the stored answer", answer, err)
	}
}

func TestPruneRemovesOnlyExpiredClaims(t *testing.T) {
	_, one, two := claimsFleet(t)
	mustTake(t, one)
	now := time.Now()
	one.ShouldPrune = func() bool { return true }
	count := func() int {
		n := 0
		for range claimBuckets {
			one.prune(t.Context())
		}
		list, err := one.Platform.List(t.Context(), claimKind(order.name()))
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range list.Objects {
			var r ClaimRecord
			if json.Unmarshal(o.Data, &r) == nil {
				n++
			}
		}
		return n
	}
	one.Now = func() time.Time { return now.Add(ClaimLifetime + clockMargin/2) }
	if n := count(); n != 1 {
		t.Errorf("unexpected claims within the window, got %d instead of 1", n)
	}
	one.Now = func() time.Time { return now.Add(ClaimLifetime + 2*clockMargin) }
	if n := count(); n != 0 {
		t.Errorf("unexpected claims after the window, got %d instead of 0", n)
	}
	mustTake(t, two)
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := NewDefaultRetryBudget()
	retries := 0
	for range 1000 {
		b.Deposit()
		if b.Withdraw() {
			retries++
		}
	}
	if limit := int(1000*retryShare) + retryBurst; retries > limit {
		t.Errorf("unexpected retries, got %d instead of at most %d", retries, limit)
	}
}

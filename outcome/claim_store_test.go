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

var orderRequest = ClaimRequest{Account: "dala-almaty", Route: "orders", Key: "wedding", Digest: "lamb"}

// newClaimStores returns the claim stores of two instances on one platform.
func newClaimStores(t *testing.T) (platformServer *standplatform.Server, first, second *ClaimStore) {
	t.Helper()
	platformServer = standplatform.NewServer("token")
	server := httptest.NewServer(platformServer.Handler())
	t.Cleanup(server.Close)
	all := make([]*ClaimStore, 0, 2)
	for _, owner := range []string{"i1-1", "i2-1"} {
		client := platform.NewClient(server.URL, "token")
		t.Cleanup(client.HTTP.CloseIdleConnections)
		claims := NewClaimStore(owner, client)
		claims.Wait = func(context.Context, time.Duration) error { return nil }
		all = append(all, claims)
	}
	return platformServer, all[0], all[1]
}

func mustAcquire(t *testing.T, claims *ClaimStore) *Claim {
	t.Helper()
	claim, response, err := claims.Acquire(t.Context(), orderRequest)
	if err != nil || response != nil {
		t.Fatalf("unexpected result, got response %v and error %v instead of a claim", response, err)
	}
	return claim
}

func mustRefuse(t *testing.T, claims *ClaimStore, req ClaimRequest, want *Refusal) {
	t.Helper()
	claim, response, err := claims.Acquire(t.Context(), req)
	var got *Refusal
	if claim != nil || response != nil || !errors.As(err, &got) || got.Code != want.Code || got.Outcome != want.Outcome {
		t.Fatalf("unexpected result, got %v, %v, %v instead of %v", claim, response, err, want)
	}
}

func TestRetryReceivesStoredResponse(t *testing.T) {
	for _, lost := range []string{"none", "create", "send", "store"} {
		t.Run("lost response to "+lost, func(t *testing.T) {
			platformServer, first, second := newClaimStores(t)
			loseResponse := func(step string) {
				if step == lost {
					platformServer.SetFaults(standplatform.Faults{LoseWriteResponses: 1})
				}
			}
			loseResponse("create")
			claim := mustAcquire(t, first)
			loseResponse("send")
			if err := claim.MarkSent(t.Context()); err != nil {
				t.Fatal(err)
			}
			mustRefuse(t, second, orderRequest, errInProgress)
			loseResponse("store")
			claim.StoreResponse(t.Context(), StoredResponse{Status: 201, Body: []byte("confirmed")})
			_, response, err := second.Acquire(t.Context(), orderRequest)
			if err != nil || response == nil || string(response.Body) != "confirmed" || response.Status != 201 {
				t.Errorf("unexpected result of a retry, got %v and error %v instead of the stored response", response, err)
			}
			other := orderRequest
			other.Digest = "beef"
			mustRefuse(t, second, other, errKeyReused)
			other.Account = "dala-astana"
			if _, _, err := second.Acquire(t.Context(), other); err != nil {
				t.Errorf("unexpected error of a request of another account: %v", err)
			}
		})
	}
}

func TestPausedHolderCannotSendAfterTakeOver(t *testing.T) {
	_, first, second := newClaimStores(t)
	pausedHolder := mustAcquire(t, first)
	newHolder := mustAcquire(t, second) // the claim did not change during takeOverDelay
	if err := pausedHolder.MarkSent(t.Context()); RefusalFromError(err).Code != errInProgress.Code {
		t.Errorf("unexpected result of MarkSent by the paused holder: %v", err)
	}
	if err := newHolder.MarkSent(t.Context()); err != nil {
		t.Errorf("unexpected error of the new holder: %v", err)
	}
}

func TestTakeOverWaitsForLiveHolder(t *testing.T) {
	_, first, second := newClaimStores(t)
	claim := mustAcquire(t, first)
	second.Wait = func(ctx context.Context, _ time.Duration) error { return claim.MarkSent(ctx) }
	mustRefuse(t, second, orderRequest, errInProgress)
	second.OwnerEnded = func(owner string) bool { return owner == "i1-1" }
	mustRefuse(t, second, orderRequest, errResponseLost)
}

func TestLostResponseStaysUnknown(t *testing.T) {
	_, first, second := newClaimStores(t)
	claim := mustAcquire(t, first)
	if err := claim.MarkSent(t.Context()); err != nil {
		t.Fatal(err)
	}
	claim.MarkLost(t.Context())
	mustRefuse(t, second, orderRequest, errResponseLost)
}

func TestRequestWithTooLongResponseIsNotRunAgain(t *testing.T) {
	_, first, second := newClaimStores(t)
	claim := mustAcquire(t, first)
	if err := claim.MarkSent(t.Context()); err != nil {
		t.Fatal(err)
	}
	claim.StoreResponse(t.Context(), StoredResponse{Status: 200, TooLong: true})
	mustRefuse(t, second, orderRequest, errResponseTooLong)
}

func TestOutageLeavesNoClaim(t *testing.T) {
	for _, step := range []string{"create", "send"} {
		t.Run(step, func(t *testing.T) {
			platformServer, first, second := newClaimStores(t)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = first.Serve(ctx) }()
			if step == "create" {
				platformServer.SetFaults(standplatform.Faults{Outage: true})
				if _, _, err := first.Acquire(ctx, orderRequest); !errors.Is(err, ErrPlatformDown) {
					t.Fatalf("unexpected error, got %v instead of %v", err, ErrPlatformDown)
				}
			} else {
				claim := mustAcquire(t, first)
				platformServer.SetFaults(standplatform.Faults{Outage: true})
				if err := claim.MarkSent(ctx); RefusalFromError(err).Code != errPlatformUnreachable.Code {
					t.Fatalf("unexpected error, got %v instead of %v", err, errPlatformUnreachable)
				}
			}
			platformServer.SetFaults(standplatform.Faults{})
			if left := first.Drain(ctx); left != 0 {
				t.Errorf("unexpected number of unsaved claims, got %d instead of 0", left)
			}
			second.Wait = func(context.Context, time.Duration) error { t.Error("unexpected wait, a claim was left"); return nil }
			mustAcquire(t, second)
		})
	}
}

func TestResponseIsStoredAfterOutage(t *testing.T) {
	platformServer, first, second := newClaimStores(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = first.Serve(ctx) }()
	claim := mustAcquire(t, first)
	if err := claim.MarkSent(ctx); err != nil {
		t.Fatal(err)
	}
	platformServer.SetFaults(standplatform.Faults{Outage: true})
	claim.StoreResponse(ctx, StoredResponse{Status: 200, Body: []byte("confirmed")})
	platformServer.SetFaults(standplatform.Faults{})
	first.Drain(ctx)
	_, response, err := second.Acquire(ctx, orderRequest)
	if err != nil || response == nil {
		t.Errorf("unexpected result of a retry, got %v and error %v instead of the stored response", response, err)
	}
}

func TestPruneRemovesOnlyExpiredClaims(t *testing.T) {
	_, first, second := newClaimStores(t)
	mustAcquire(t, first)
	now := time.Now()
	first.ShouldPrune = func() bool { return true }
	pruneAndCount := func() int {
		n := 0
		for range claimBuckets {
			first.prune(t.Context())
		}
		list, err := first.Platform.List(t.Context(), claimKind(orderRequest.name()))
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
	first.Now = func() time.Time { return now.Add(ClaimLifetime + maxClockSkew/2) }
	if n := pruneAndCount(); n != 1 {
		t.Errorf("unexpected number of claims within the lifetime, got %d instead of 1", n)
	}
	first.Now = func() time.Time { return now.Add(ClaimLifetime + 2*maxClockSkew) }
	if n := pruneAndCount(); n != 0 {
		t.Errorf("unexpected number of claims after the lifetime, got %d instead of 0", n)
	}
	mustAcquire(t, second)
}

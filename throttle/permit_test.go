package throttle

import (
	"context"
	"errors"
	"testing"
	"time"

	"teaselgate/upstream"
)

// newLimitedList returns a list with one server that names a limit, whose keeper is another instance that answers by call.
func newLimitedList(now *time.Time, rate float64, call func(ctx context.Context, args TakeArgs, reply *TakeReply) error) *List {
	l := NewList()
	l.Now, l.Random = func() time.Time { return *now }, func() float64 { return 0.5 }
	l.Keeper = func(upstream.ServerKey) string { return "keeper" }
	l.Reachable = func() (int, int) { return 2, 4 }
	l.Call = func(ctx context.Context, _, _ string, args, reply any) error {
		return call(ctx, args.(TakeArgs), reply.(*TakeReply))
	}
	l.Observe(server, Answer{Kind: Run, Limited: true, Rate: rate, SentAt: *now})
	return l
}

// A caller that leaves while the keeper is asked must not make the instance take the keeper for silent.
func TestCallerThatLeavesSaysNothingAboutTheKeeper(t *testing.T) {
	now, asked := time.Unix(1000, 0), 0
	l := newLimitedList(&now, 4, func(ctx context.Context, _ TakeArgs, reply *TakeReply) error {
		asked++
		reply.Granted = true
		return ctx.Err()
	})
	left, leave := context.WithCancel(t.Context())
	leave()
	if err := l.Acquire(left, server, ForRequest); !errors.Is(err, ErrLimit) {
		t.Errorf("unexpected error %v for a caller that has left", err)
	}
	if err := l.Acquire(t.Context(), server, ForRequest); err != nil || asked != 2 {
		t.Errorf("error %v after %d calls: the keeper was not asked again", err, asked)
	}
}

// While its keeper is silent, an instance sends no more than its own part, never several requests at once, and tells the
// keeper afterwards.
func TestInstanceKeepsToItsPartWhileTheKeeperIsSilent(t *testing.T) {
	now, silent, reported := time.Unix(1000, 0), true, 0.0
	l := newLimitedList(&now, 4, func(_ context.Context, args TakeArgs, reply *TakeReply) error {
		if silent {
			return context.DeadlineExceeded
		}
		reported += args.Sent
		reply.Granted = true
		return nil
	})
	start, granted := now, 0
	for ; now.Sub(start) < 4*time.Second; now = now.Add(50 * time.Millisecond) {
		if l.Acquire(t.Context(), server, ForRequest) == nil {
			granted++
		}
	}
	if granted < 3 || granted > 4 { // its part of four instances is one a second
		t.Errorf("%d requests in 4 s", granted)
	}
	now = now.Add(time.Minute)
	atOnce := 0
	for range 5 {
		if l.Acquire(t.Context(), server, ForRequest) == nil {
			atOnce++
		}
	}
	if atOnce > 1 {
		t.Errorf("%d requests at once after a pause", atOnce)
	}
	silent, now = false, now.Add(2*time.Second)
	if err := l.Acquire(t.Context(), server, ForRequest); err != nil || reported != float64(granted+atOnce) {
		t.Errorf("error %v, %v requests reported of %d", err, reported, granted+atOnce)
	}
}

// A keeper that reaches a part of the fleet grants a part of the limit, so that the parts of a divided fleet do not add up to
// twice the limit.
func TestKeeperOfAPartOfTheFleetGrantsAPart(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLimitedList(&now, 10, nil)
	l.Keeper = func(upstream.ServerKey) string { return "" }
	start, granted := now, 0
	for ; now.Sub(start) < 10*time.Second; now = now.Add(10 * time.Millisecond) {
		if l.Acquire(t.Context(), server, ForRequest) == nil {
			granted++
		}
	}
	if share := 10 * 10 * reachableSlack / 2; float64(granted) > share+keeperBurst+1 || float64(granted) < share-1 {
		t.Errorf("%d requests in 10 s, expected %.0f", granted, share)
	}
}

// Control calls and requests share a limit, and neither starves the other.
func TestControlCallsAndRequestsShareALimit(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLimitedList(&now, 2, nil)
	l.Keeper, l.Reachable = func(upstream.ServerKey) string { return "" }, func() (int, int) { return 1, 1 }
	start, requests, controls := now, 0, 0
	for n := 0; now.Sub(start) < 20*time.Second; n++ {
		if l.Acquire(t.Context(), server, ForRequest) == nil {
			requests++
		}
		if n%250 == 0 && l.Acquire(t.Context(), server, ForControl) == nil {
			controls++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if sum := requests + controls; sum > 2*20+keeperBurst+2 || requests < 25 || controls < 7 {
		t.Errorf("%d requests and %d control calls in 20 s at 2/s", requests, controls)
	}
}

package instance

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"teaselgate/entry"
	"teaselgate/event"
	"teaselgate/fleet"
)

// DefaultBalancerDelay is how long an instance that is not ready any more still takes new requests, so that the
// balancer has noticed before the listener closes.
const DefaultBalancerDelay = 3 * time.Second

// StopMargin is kept free of the grace period for what follows the last request.
const StopMargin = 700 * time.Millisecond

// Limits of a graceful shutdown.
const (
	shutdownTimeout = 30 * time.Second // for requests in flight
	errorTimeout    = 2 * time.Second  // for the errors of those that are ended then
	drainTimeout    = 5 * time.Second  // for cancels at engines and for claims
)

// prepareLeaving lets running requests be ended with an error, and closes kept connections after their answer
// once the instance is leaving.
func (i *Instance) prepareLeaving(caller *http.Server) (endRequests context.CancelCauseFunc) {
	ctx, endRequests := context.WithCancelCause(context.Background())
	caller.BaseContext = func(net.Listener) context.Context { return ctx }
	next := caller.Handler
	caller.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	return endRequests
}

// leave stops taking requests and waits for those in flight.
func (i *Instance) leave(ctx context.Context, caller *http.Server, endRequests context.CancelCauseFunc) error {
	i.leaving.Store(true)
	i.events.Record(event.Event{Code: event.InstanceLeaving})
	var announced sync.WaitGroup
	defer announced.Wait()
	announced.Go(func() { i.announce(ctx, fleet.Leaving) })
	i.fleet.AnnounceLeaving(ctx)
	if i.allowance != nil {
		i.allowance.Leave(ctx)
	}
	time.Sleep(i.BalancerDelay)
	err := i.finishRequests(ctx, caller, endRequests)
	i.drain(ctx)
	i.fleet.AnnounceLeft(ctx)
	i.withdraw(ctx)
	i.events.Record(event.Event{Code: event.InstanceStopped})
	return err
}

// finishRequests waits for the requests in flight, and ends those that take too long with an error.
func (i *Instance) finishRequests(ctx context.Context, caller *http.Server, endRequests context.CancelCauseFunc) error {
	timeout := i.ShutdownTimeout
	if timeout == 0 {
		timeout = shutdownTimeout
	}
	limited, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	cut := caller.Shutdown(limited)
	if cut == nil {
		return nil
	}
	i.events.Record(event.Event{Code: event.RequestsAborted})
	endRequests(entry.ErrShuttingDown)
	limited, stop = context.WithTimeout(ctx, errorTimeout)
	defer stop()
	_ = caller.Shutdown(limited)
	caller.Close()
	return fmt.Errorf("instance: requests were cut at shutdown: %w", cut)
}

// drain waits for what requests left to be done at engines and at the platform.
func (i *Instance) drain(ctx context.Context) {
	if i.claims == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, drainTimeout)
	defer stop()
	i.canceller.Drain(ctx)
	if left := i.claims.Drain(ctx); left > 0 {
		i.events.Record(event.Event{Code: event.ClaimNotStored, Detail: fmt.Sprintf("%d at shutdown", left)})
	}
}

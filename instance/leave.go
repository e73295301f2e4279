package instance

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/outcome"
)

// DefaultBalancerDelay is how long an instance that reports not ready still accepts new requests, so that the load
// balancer stops sending them before the listener closes.
const DefaultBalancerDelay = 3 * time.Second

// ShutdownMargin is the part of the grace period that is reserved for the work after the last request has ended.
const ShutdownMargin = 700 * time.Millisecond

// Limits of a graceful shutdown.
const (
	defaultShutdownTimeout = 30 * time.Second // limit for requests in flight to complete
	abortTimeout           = 2 * time.Second  // limit for sending errors to the callers of aborted requests
	cleanupTimeout         = 5 * time.Second  // limit for pending cancels at engines and claim writes
	idleCheckInterval      = 10 * time.Millisecond
	drainDivisor           = 2 // part of the limit in which requests that have arrived in part may be completed
)

// prepareShutdown makes the server close keep-alive connections after the response once the instance is leaving. It
// returns a function that aborts the running requests with an error.
func (i *Instance) prepareShutdown(caller *http.Server) (abortRequests context.CancelCauseFunc) {
	ctx, abortRequests := context.WithCancelCause(context.Background())
	caller.BaseContext = func(net.Listener) context.Context { return ctx }
	next := caller.Handler
	caller.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	return abortRequests
}

// leave announces that the instance is leaving, waits for the requests in flight and removes the instance's entry.
func (i *Instance) leave(ctx context.Context, caller *http.Server, abortRequests context.CancelCauseFunc) error {
	acceptUntil := time.Now().Add(i.BalancerDelay)
	deadline := acceptUntil.Add(cmp.Or(i.ShutdownTimeout, defaultShutdownTimeout))
	i.shutdownAt.Store(&deadline)
	i.leaving.Store(true)
	i.events.Record(event.Event{Code: event.InstanceLeaving})
	var entryWritten sync.WaitGroup
	defer entryWritten.Wait()
	entryWritten.Go(func() { i.writeEntry(ctx, fleet.Leaving) })
	i.fleet.AnnounceLeaving(ctx)
	if i.allowance != nil {
		i.allowance.Leave(ctx)
	}
	time.Sleep(time.Until(acceptUntil))
	err := i.finishRequests(ctx, caller, abortRequests)
	i.finishCleanup(ctx)
	i.fleet.AnnounceLeft(ctx)
	i.deleteEntry(ctx)
	i.events.Record(event.Event{Code: event.InstanceStopped})
	return err
}

// shutdownDeadline returns when unfinished requests are aborted, or the zero time while the instance is not leaving.
func (i *Instance) shutdownDeadline() time.Time {
	if deadline := i.shutdownAt.Load(); deadline != nil {
		return *deadline
	}
	return time.Time{}
}

// finishRequests waits for the requests in flight, and aborts those that are unfinished at the shutdown deadline.
func (i *Instance) finishRequests(
	ctx context.Context, caller *http.Server, abortRequests context.CancelCauseFunc,
) error {
	deadline := i.shutdownDeadline()
	shutdownCtx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	drainCtx, endDrain := context.WithTimeout(shutdownCtx, time.Until(deadline)/drainDivisor)
	defer endDrain()
	i.limitedListener.StopAccepting(drainCtx)
	i.closeIdleConnections(drainCtx)
	i.limitedListener.EndWaiting()
	shutdownErr := caller.Shutdown(shutdownCtx)
	if shutdownErr == nil {
		return nil
	}
	i.events.Record(event.Event{Code: event.RequestsAborted})
	abortRequests(outcome.ErrShuttingDown)
	shutdownCtx, stop = context.WithTimeout(ctx, abortTimeout)
	defer stop()
	_ = caller.Shutdown(shutdownCtx)
	caller.Close()
	return fmt.Errorf("instance: requests aborted at shutdown: %w", shutdownErr)
}

// closeIdleConnections closes the callers' idle connections. It waits for requests that have arrived in part.
func (i *Instance) closeIdleConnections(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, i.Options.Limit.Begin)
	defer stop()
	for i.limitedListener.CloseIdle() > 0 && delay.For(ctx, idleCheckInterval) == nil {
	}
}

// finishCleanup waits for the pending cancels at engines and claim writes at the platform store.
func (i *Instance) finishCleanup(ctx context.Context) {
	if i.claims == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, cleanupTimeout)
	defer stop()
	i.canceller.Drain(ctx)
	if pending := i.claims.Drain(ctx); pending > 0 {
		i.events.Record(event.Event{
			Code: event.ClaimNotStored, Detail: fmt.Sprintf("%d claims pending at shutdown", pending),
		})
	}
}

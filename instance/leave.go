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
	"teaselgate/shutdown"
)

// DefaultBalancerDelay is how long an instance that reports not ready still accepts new requests, so that the load
// balancer stops sending them before the listener closes.
const DefaultBalancerDelay = 3 * time.Second

const (
	defaultShutdownTimeout = 30 * time.Second // time from the balancer delay to the shutdown deadline
	idleCheckInterval      = 10 * time.Millisecond
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

// leave stops the instance by the steps of package shutdown: it announces that the instance is leaving, waits for the requests in
// flight and removes the instance's entry.
func (i *Instance) leave(ctx context.Context, caller *http.Server, abortRequests context.CancelCauseFunc) error {
	plan := shutdown.NewPlan(time.Now(), i.BalancerDelay, cmp.Or(i.ShutdownTimeout, defaultShutdownTimeout))
	i.shutdownPlan.Store(plan)
	i.leaving.Store(true)
	i.events.Record(event.Event{Code: event.InstanceLeaving, Detail: plan.String()})
	var entryWritten sync.WaitGroup
	defer entryWritten.Wait()
	entryCtx, stopWriting := context.WithDeadline(ctx, plan.Ends(shutdown.Leave))
	defer stopWriting()
	entryWritten.Go(func() { i.writeEntry(entryCtx, fleet.Leaving) })
	i.fleet.AnnounceLeaving(ctx)
	if i.allowance != nil {
		i.allowance.Leave(ctx)
	}
	time.Sleep(time.Until(plan.Ends(shutdown.Accept)))
	i.endAccepting()
	err := i.finishRequests(ctx, plan, caller, abortRequests)
	i.finishCleanup(ctx, plan)
	i.announceLeft(ctx, plan)
	i.events.Record(event.Event{Code: event.InstanceStopped})
	return err
}

// shutdownDeadline returns when unfinished requests are aborted, or the zero time while the instance is not leaving.
func (i *Instance) shutdownDeadline() time.Time { return i.shutdownPlan.Load().Deadline() }

// finishRequests waits for the requests in flight, and aborts those that are unfinished at the shutdown deadline.
func (i *Instance) finishRequests(
	ctx context.Context, plan *shutdown.Plan, caller *http.Server, abortRequests context.CancelCauseFunc,
) error {
	receiveCtx, stopReceiving := plan.Context(ctx, shutdown.Receive)
	defer stopReceiving()
	i.limitedListener.StopAccepting(receiveCtx, plan.Ends(shutdown.Drain))
	i.closeIdleConnections(receiveCtx)
	i.limitedListener.EndWaiting()
	finishCtx, stopFinishing := plan.Context(ctx, shutdown.Finish)
	defer stopFinishing()
	shutdownErr := caller.Shutdown(finishCtx)
	if shutdownErr == nil {
		return nil
	}
	i.events.Record(event.Event{Code: event.RequestsAborted})
	abortRequests(outcome.ErrShuttingDown)
	answerCtx, stopAnswering := plan.Context(ctx, shutdown.Answer)
	defer stopAnswering()
	_ = caller.Shutdown(answerCtx)
	caller.Close()
	return fmt.Errorf("instance: requests aborted at shutdown: %w", shutdownErr)
}

// closeIdleConnections closes the callers' idle connections. It waits for requests that have arrived in part.
func (i *Instance) closeIdleConnections(ctx context.Context) {
	for i.limitedListener.CloseIdle() > 0 && delay.For(ctx, idleCheckInterval) == nil {
	}
}

// announceLeft tells the other instances and the store that the instance has ended.
func (i *Instance) announceLeft(ctx context.Context, plan *shutdown.Plan) {
	ctx, stop := plan.Context(ctx, shutdown.Leave)
	defer stop()
	i.fleet.AnnounceLeft(ctx)
	i.deleteEntry(ctx)
}

// finishCleanup waits for the pending cancels at engines and claim writes at the platform store.
func (i *Instance) finishCleanup(ctx context.Context, plan *shutdown.Plan) {
	if i.claims == nil {
		return
	}
	ctx, stop := plan.Context(ctx, shutdown.CleanUp)
	defer stop()
	i.canceller.Drain(ctx)
	if pending := i.claims.Drain(ctx); pending > 0 {
		i.events.Record(event.Event{
			Code: event.ClaimNotStored, Detail: fmt.Sprintf("%d claims pending at shutdown", pending),
		})
	}
}

package outcome

import (
	"context"
	"errors"
	"net/http"
)

// ErrShuttingDown is the cancellation cause of requests that are still unfinished at the shutdown deadline. Their callers are
// still there and get a response.
var ErrShuttingDown = NewRefusal(http.StatusServiceUnavailable, "leaving", "the instance is shutting down").WithOutcome(Unknown)

// EndedByShutdown reports whether the context of a request ended because the instance shuts down.
func EndedByShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrShuttingDown) }

// EndedByCaller reports whether the context of a request ended because its caller has disconnected.
func EndedByCaller(ctx context.Context) bool { return ctx.Err() != nil && !EndedByShutdown(ctx) }

// ErrorAtShutdown returns the refusal of an unfinished request if the shutdown has ended its context, and otherwise err.
func ErrorAtShutdown(ctx context.Context, err error, runOutcome Outcome) error {
	if err != nil && EndedByShutdown(ctx) {
		return ErrShuttingDown.WithOutcome(runOutcome)
	}
	return err
}

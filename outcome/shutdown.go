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

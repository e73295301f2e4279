package slot

import (
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("slot")
	noServer  = namespace.NewType("no_server")
	full      = namespace.NewType("full")
	noRetry   = namespace.NewType("no_retry")

	// ErrNoServer means that no live server can take the request.
	ErrNoServer = noServer.NewWithNoMessage()
	// ErrFull means that no slot will be free in time.
	ErrFull = full.NewWithNoMessage()
	// ErrNoRetry means that the retry budget that the instances share is spent.
	ErrNoRetry = noRetry.NewWithNoMessage()
)

// Refusal is an error with the time from which to retry.
type Refusal struct {
	Err     error
	RetryAt time.Time
}

// Error implements error.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the underlying error.
func (r *Refusal) Unwrap() error { return r.Err }

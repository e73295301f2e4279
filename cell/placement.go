// Package cell places requests on backend servers.
package cell

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"teaselgate/engine"
	"teaselgate/rule"
)

var (
	namespace = errorx.NewNamespace("cell")
	noServer  = namespace.NewType("no_server")
	shed      = namespace.NewType("shed")
	overRate  = namespace.NewType("over_rate")

	// ErrNoServer says that no live server can take the request.
	ErrNoServer = noServer.NewWithNoMessage()
	// ErrShed says that the request could not have been answered in time.
	ErrShed = shed.NewWithNoMessage()
	// ErrOverRate says that the client account is over its rate.
	ErrOverRate = overRate.NewWithNoMessage()
)

// Request is what a placement depends on.
type Request struct {
	ID           string
	Account      string
	Weight       int
	Class        rule.Class
	Model        rule.Model
	PromptTokens int
	MaxTokens    int
	Ceiling      int      // MaxTokens is an estimate of the output, which may come to this number; 0 if it is no estimate
	Prefixes     []string // hashes of the prompt's prefixes, as in engine.PrefixHashes
	Zone         string   // availability zone of the instance that asks
	Exclude      []string

	Charge   int64     // tokens that the dispatcher takes from the account's rate; 0 if the rate is held elsewhere
	Rate     float64   // of the account, tokens a second
	Burst    float64   // tokens
	Deadline time.Time // when the caller stops waiting; zero if that is not known
}

// Placement names the backend servers of one attempt.
type Placement struct {
	Prefill      rule.Server
	Decode       rule.Server
	Dispatcher   string // the dispatcher
	Inputs       Inputs // of its decision
	RetryRefused bool   // a refused import is repeated: the slot was promised and is about to be free

	release  func(Report)
	progress func(Report) // may be nil
}

// Report tells the placer how an attempt went.
type Report struct {
	Placed     time.Time // when the place was given; the other times are compared with it
	Prefilled  time.Time // when the prefill answered; zero if it did not
	Imported   time.Time // when the transfer ended or, if that is not known, the first event came; zero if it did not
	Ended      time.Time
	Generated  int  // tokens after Imported
	Cached     int  // prompt tokens that the prefill found in its cache
	Refused    bool // the decode server had no room
	BadPrefill bool
	BadDecode  bool
}

// Refusal is an error of a placement that tells when to come back.
type Refusal struct {
	Err     error
	RetryAt time.Time
}

// Error implements error.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error { return r.Err }

// Timing of repeated imports.
const (
	importRetryInterval = 20 * time.Millisecond
	importRetryTimeout  = 400 * time.Millisecond // after the prefill, whose result is kept for under a second
)

// RunTransfer runs an import that the decode server may refuse because the slot that was predicted
// to be free is not yet. Placements without such a prediction run it once.
func (p *Placement) RunTransfer(ctx context.Context, prefilled time.Time, transfer func() error) error {
	until := prefilled.Add(importRetryTimeout)
	for {
		err := transfer()
		if !p.RetryRefused || !errors.Is(err, engine.ErrBusy) || time.Now().After(until) {
			return err
		}
		timer := time.NewTimer(importRetryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}

// ReportProgress reports an attempt whose transfer has ended, if the placer wants to know.
func (p *Placement) ReportProgress(r Report) {
	if p.progress != nil {
		p.progress(r)
	}
}

// Release gives the places back.
func (p *Placement) Release(r Report) {
	if p.release != nil {
		p.release(r)
	}
}

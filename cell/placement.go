// Package cell places requests on backend servers: it chooses the prefill and decode servers of model requests at the
// dispatchers of cells, limits the rates of client accounts there, and picks the servers of plain services.
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

	// ErrNoServer means that no live server can take the request.
	ErrNoServer = noServer.NewWithNoMessage()
	// ErrShed means that the request could not have been answered in time.
	ErrShed = shed.NewWithNoMessage()
	// ErrOverRate means that the client account is over its rate.
	ErrOverRate = overRate.NewWithNoMessage()
)

// Request describes a request to the placer.
type Request struct {
	ID            string
	Account       string
	Weight        int
	Class         rule.Class
	Model         rule.Model
	PromptTokens  int
	MaxTokens     int
	Ceiling       int      // upper bound of the output tokens if MaxTokens is an estimate; 0 if it is not
	LongestOutput int      // most output tokens to allow for while the instance is stopping; 0 for MaxTokens
	Prefixes      []string // hashes of the prompt's prefixes, as returned by engine.PrefixHashes
	Zone          string   // availability zone of the instance
	Zones         []string // availability zones whose servers may be used; nil for all
	Exclude       []string // servers not to use, since they failed the request before
	Avoid         []string // servers that want no requests from this instance

	Rank    int           // 0 is the most urgent
	Ordered bool          // whether requests to the model differ in what waiting costs their callers
	First   time.Duration // target for the time to the first event; 0 for that of the model
	MaxWait time.Duration // longest wait of a late request; 0 for that of the model

	Return       string        // tells the repeat of a refused request; empty if nothing is promised
	ReturnWithin time.Duration // longest time after which the caller repeats a refused request; 0 if unknown

	Charge   int64     // tokens that the dispatcher charges to the account; 0 if its rate is limited elsewhere
	Rate     float64   // rate of the client account, tokens per second
	Burst    float64   // burst of the client account, tokens
	Deadline time.Time // deadline of the caller; zero if unknown
}

// Placement is the choice of backend servers for one attempt.
type Placement struct {
	Prefill      rule.Server
	Decode       rule.Server
	Dispatcher   string // instance that placed the request; empty if a local policy did
	Inputs       Inputs // figures on which the placement was based
	RetryRefused bool   // a refused import is repeated, since the reserved slot may be free soon

	release  func(Report)
	progress func(Report) // may be nil
}

// Report is the outcome of an attempt.
type Report struct {
	Placed     time.Time // time of the placement; zero if unknown
	Prefilled  time.Time // time of the prefill's response; zero if there was none
	Imported   time.Time // end of the KV cache transfer or, if unknown, time of the first event; zero if neither came
	Ended      time.Time // end of the attempt
	Generated  int       // tokens generated after Imported
	Cached     int       // prompt tokens that the prefill server found in its cache
	Refused    bool      // the decode server refused the import for lack of room
	BadPrefill bool      // the prefill server failed
	BadDecode  bool      // the decode server failed
}

// Refusal is a placement error with the time from which to retry.
type Refusal struct {
	Err     error
	RetryAt time.Time
}

// Error implements error.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the underlying error.
func (r *Refusal) Unwrap() error { return r.Err }

// Timing of repeated imports.
const (
	importRetryInterval = 20 * time.Millisecond
	importRetryTimeout  = 400 * time.Millisecond // after the prefill, whose result is kept for less than a second
)

// RunTransfer runs a transfer. With RetryRefused it repeats the transfer while the decode server refuses it because the
// slot that was predicted to be free is not free yet.
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

// ReportProgress reports an attempt whose transfer has ended, if the dispatcher wants such a report.
func (p *Placement) ReportProgress(r Report) {
	if p.progress != nil {
		p.progress(r)
	}
}

// Release reports the outcome of the attempt and ends its reservation.
func (p *Placement) Release(r Report) {
	if p.release != nil {
		p.release(r)
	}
}

// Package outcome tells callers whether a refused request ran at a backend server. It also contains the retry budgets,
// the claims that make requests with an idempotency key run at most once, and the cancelling of attempts at engines.
package outcome

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Header is the response header that carries the outcome of a refused request.
const Header = "Teaselgate-Outcome"

// Outcome says whether a request ran at a backend server.
type Outcome string

// The outcomes of a refused or failed request.
const (
	// NotRun means that no byte of the request can have reached a backend server.
	NotRun Outcome = "not-run"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
	// Ran means that the request ran, but its response can't be delivered.
	Ran Outcome = "ran"
)

// Refusal is an error that is sent to the caller in place of a response from a backend server.
type Refusal struct {
	Status  int       // HTTP status
	Code    string    // machine-readable code, listed in docs/OPERATIONS.md
	Outcome Outcome   // whether the request ran
	Message string    // one sentence for the caller
	RetryAt time.Time // earliest time at which a retry may succeed; zero if not known
}

// Error implements error.
func (r *Refusal) Error() string {
	return "outcome: " + r.Code + " (" + string(r.Outcome) + "): " + r.Message
}

// NewRefusal returns a refusal of a request that did not run.
func NewRefusal(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Outcome: NotRun, Message: message}
}

// WithOutcome returns a copy of the refusal with another outcome.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	c := *r
	c.Outcome = o
	return &c
}

// WithRetryAt returns a copy of the refusal that tells the caller when to retry.
func (r *Refusal) WithRetryAt(at time.Time) *Refusal {
	c := *r
	c.RetryAt = at
	return &c
}

// RefusalFromError returns the refusal in an error chain, or a refusal with an unknown outcome if there is none.
func RefusalFromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{
		Status:  http.StatusBadGateway,
		Code:    "failed",
		Outcome: Unknown,
		Message: "the request failed at a backend server",
	}
}

type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Outcome Outcome `json:"outcome"`
}

// Body returns the refusal as the JSON error that callers receive.
func (r *Refusal) Body() []byte {
	b, err := json.Marshal(refusalBody{Error: refusalError{
		Message: r.Message,
		Type:    "teaselgate",
		Code:    r.Code,
		Outcome: r.Outcome,
	}})
	if err != nil {
		return []byte(`{"error":{}}`)
	}
	return b
}

// Write sends the refusal as a complete HTTP response.
func (r *Refusal) Write(w http.ResponseWriter, now time.Time) {
	r.setHeader(w.Header(), now)
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body())
}

// WriteLast writes the refusal as the last response of a connection.
func (r *Refusal) WriteLast(conn io.Writer, now time.Time) error {
	body := r.Body()
	resp := &http.Response{
		StatusCode: r.Status, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), Close: true,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	defer resp.Body.Close()
	r.setHeader(resp.Header, now)
	return resp.Write(conn)
}

// setHeader sets the header fields of the refusal.
func (r *Refusal) setHeader(h http.Header, now time.Time) {
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(r.Body())))
	h.Set(Header, string(r.Outcome))
	if !r.RetryAt.IsZero() {
		seconds := math.Ceil(max(r.RetryAt.Sub(now).Seconds(), 1))
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
}

// Package engine is a small stand-in for a model engine of a prefill or decode pool.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/delay"
	api "teaselgate/engine"
	"teaselgate/rule"
	"teaselgate/standin/fault"
)

// Engine is the stand-in. Its exported fields must be set before Run.
type Engine struct {
	Name              string
	Duty              rule.Duty     // prefill or decode; orders may change it later
	Slots             int           // maximum number of attempts that a decode engine holds at once
	Pieces            int           // KV cache memory, in pieces of api.PieceTokens tokens
	PrefillRate       int           // prompt tokens computed per second
	CacheTokens       int           // tokens that the prefix cache holds
	KVLifetime        time.Duration // how long a prefill result waits to be imported
	StepBase          time.Duration // base duration of a decode step
	StepPerStream     time.Duration // added to a decode step by each running stream
	LinkRate          int64         // rate of KV cache transfers out of this engine, in bytes per second
	TokenBytes        int64         // bytes of KV cache per token
	LoadLag           time.Duration // approximate age of load reports
	EventLag          time.Duration // time from a cache event to its publication
	EventLossInterval int           // one in this many cache events is lost; 0 loses none
	Fenced            bool          // rejects orders with an outdated fencing number

	Hook fault.Hook // injects faults at the steps of a call

	mu              sync.Mutex
	attempts        map[string]*attempt       // by attempt id
	results         map[string]*prefillResult // by handle, until imported, cancelled or expired
	cache           prefixCache
	usedPieces      int
	queue           prefillQueue
	pendingPrefills atomic.Int64  // prefills that are running or queued
	linkMu          sync.Mutex    // held during a KV cache transfer, so that only one uses the link at a time
	wake            chan struct{} // wakes Run when a stream starts
	loadSamples     []loadSample  // oldest first; the first is reported
	highestFence    uint64        // highest fencing number of the orders carried out
	orders          []api.Order
	faults          Faults
	counters        Counters
	leakedHeaders   []string
}

// Faults are the faults to inject.
type Faults struct {
	Slowdown          float64 // factor on the duration of prefills, decode steps and transfers; 0 means 1
	WrongAttempts     int     // number of upcoming responses that carry the id of another attempt
	AbortAfterTokens  int     // streams are aborted after this many tokens; 0 means never
	Silent            bool    // calls get no response
	RejectAll         bool    // every call gets a 503 response
	ReportIdle        bool    // load reports show no used slots and no used memory
	ExpireImmediately bool    // prefill results expire at once
}

// Steps of calls at which Hook is called. The step's subject is the attempt id; at StepExport it is the handle.
const (
	StepPrefill   = "prefill"   // the request has arrived
	StepPrefilled = "prefilled" // the prompt is computed, the response has not been sent
	StepImport    = "import"    // the request has arrived
	StepImported  = "imported"  // the KV cache has been fetched, the response has not been sent
	StepExport    = "export"    // a decode engine has requested the KV cache
	StepDecode    = "decode"    // the request has arrived
	StepToken     = "token"     // before each token
	StepDone      = "done"      // before the last chunk
	StepCancel    = "cancel"    // the request has arrived
	StepCancelled = "cancelled" // the attempt is released, the response has not been sent
)

// Counters count what the engine has done.
type Counters struct {
	Prefills        int
	PrefillTokens   int // tokens of all prefills, those found in the prefix cache included
	PrefillsExpired int // prefill results that expired without being imported
	Imports         int
	RejectedImports int // imports rejected for lack of a slot or memory
	GeneratedTokens int
	Cancels         int
}

// attempt is what the engine holds for one attempt.
type attempt struct {
	id      string
	owner   string // incarnation of the instance that owns the request
	pieces  int
	seed    string             // prefix of the text of each token
	stream  *stream            // nil until the decode request
	readers int                // connections that are reading the stream
	cancel  context.CancelFunc // ends ctx; nil for a prefill
	ctx     context.Context    // ends when the attempt is released; nil for a prefill
}

// prefillResult is the KV cache of a prompt that waits to be imported.
type prefillResult struct {
	attempt string // attempt id
	seed    string
	tokens  int
	timer   *time.Timer // ends the lifetime of the result
}

// NewEngine returns an engine with the capacities, speeds and delays that the users state for their engines.
func NewEngine(name string, duty rule.Duty) *Engine {
	return &Engine{
		Name:              name,
		Duty:              duty,
		Slots:             20,
		Pieces:            100,
		PrefillRate:       20000,
		CacheTokens:       200000,
		KVLifetime:        800 * time.Millisecond,
		StepBase:          8 * time.Millisecond,
		StepPerStream:     500 * time.Microsecond,
		LinkRate:          5 << 30,
		TokenBytes:        128 << 10,
		LoadLag:           500 * time.Millisecond,
		EventLag:          300 * time.Millisecond,
		EventLossInterval: 50,
		attempts:          make(map[string]*attempt),
		results:           make(map[string]*prefillResult),
		wake:              make(chan struct{}, 1),
	}
}

// Run generates tokens until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	for {
		streams := e.runningStreams()
		if len(streams) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-e.wake:
				continue
			}
		}
		duration := e.StepBase + time.Duration(len(streams))*e.StepPerStream
		if delay.For(ctx, e.withSlowdown(duration)) != nil {
			return ctx.Err()
		}
		e.generateTokens(streams)
	}
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PrefillPath, e.postPrefill)
	mux.HandleFunc("POST "+api.ImportPath, e.postImport)
	mux.HandleFunc("GET "+api.ExportPath+"{handle}", e.getExport)
	mux.HandleFunc("POST "+api.DecodePath, e.postDecode)
	mux.HandleFunc("POST "+api.CancelPath, e.postCancel)
	mux.HandleFunc("GET "+api.LoadPath, e.getLoad)
	mux.HandleFunc("GET "+api.RequestsPath, e.getRequests)
	mux.HandleFunc("GET "+api.EventsPath, e.getEvents)
	mux.HandleFunc("POST "+api.OrderPath, e.postOrder)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.recordLeakedHeaders(r)
		f := e.Faults()
		if f.Silent {
			<-r.Context().Done()
			return
		}
		if f.RejectAll {
			http.Error(w, "refused", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// recordLeakedHeaders records the names of the request's headers that may carry a caller's credentials.
func (e *Engine) recordLeakedHeaders(r *http.Request) {
	for _, name := range []string{"Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization", "Cookie"} {
		if r.Header.Get(name) != "" {
			e.mu.Lock()
			e.leakedHeaders = append(e.leakedHeaders, name)
			e.mu.Unlock()
		}
	}
}

// LeakedHeaders returns the names of credential headers that reached this engine.
func (e *Engine) LeakedHeaders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.leakedHeaders...)
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the injected faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Counters returns the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// UsedPieces returns the number of memory pieces that attempts hold.
func (e *Engine) UsedPieces() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedPieces
}

// TokenText returns the text of the token at an index of the response to a prompt. Tests and load runs check responses
// with it.
func TokenText(prompt string, index int) string {
	return fmt.Sprintf("%s-%d ", promptSeed(prompt), index)
}

// promptSeed returns a hash of a prompt, with which the text of each token of its response begins.
func promptSeed(prompt string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	return fmt.Sprintf("%08x", h.Sum32())
}

// CountTokens returns the number of tokens of a prompt: one for each four bytes, rounded up.
func CountTokens(prompt string) int {
	return (len(prompt) + 3) / 4
}

// piecesFor returns the number of memory pieces that tokens need.
func piecesFor(tokens int) int {
	return (tokens + api.PieceTokens - 1) / api.PieceTokens
}

// withSlowdown multiplies a duration by the injected slowdown.
func (e *Engine) withSlowdown(d time.Duration) time.Duration {
	if f := e.Faults().Slowdown; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

// readMessage decodes the request body. If it returns false, it has written an error response.
func readMessage[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var m T
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, "bad message", http.StatusBadRequest)
		return m, false
	}
	return m, true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// responseID returns the attempt id to respond with, or the id of another attempt if that fault is injected.
func (e *Engine) responseID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.WrongAttempts > 0 {
		e.faults.WrongAttempts--
		return id + "-crossed"
	}
	return id
}

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

// Engine is the stand-in. Its exported fields are set before Run.
type Engine struct {
	Name              string
	Duty              rule.Duty
	Slots             int
	Pieces            int
	PrefillRate       int           // prompt tokens computed per second
	CacheTokens       int           // tokens that the prefix cache holds
	KVLifetime        time.Duration // life of a prefill's result
	StepBase          time.Duration // one decode step of an empty batch
	StepPerStream     time.Duration // added to a step by each stream
	LinkRate          int64         // bytes per second out of this engine
	TokenBytes        int64         // bytes of KV cache per token
	LoadLag           time.Duration // age of the load report
	EventLag          time.Duration // age of the newest published cache event
	EventLossInterval int           // one cache event in so many is lost; 0 means none
	Fenced            bool          // refuses orders with an old fencing number

	Hook fault.Hook // decides at each step of a call

	mu              sync.Mutex
	attempts        map[string]*attempt
	results         map[string]*prefillResult
	cache           prefixCache
	usedPieces      int // pieces in use
	queue           prefillQueue
	pendingPrefills atomic.Int64 // prefills that are computed or wait
	linkMu          sync.Mutex
	wake            chan struct{}
	loadSamples     []loadSample
	highestFence    uint64
	orders          []api.Order
	faults          Faults
	counters        Counters
	leakedHeaders   []string
}

// Faults are the switches of the stand-in.
type Faults struct {
	Slowdown          float64 // factor on all work; 0 means 1
	WrongAttempts     int     // this many answers carry another attempt's id
	AbortAfterTokens  int     // streams break off after this many tokens; 0 means never
	Silent            bool    // connections accept and never answer
	RejectAll         bool    // every call is answered with 503
	ReportIdle        bool    // the load report always says empty
	ExpireImmediately bool    // prefill results expire at once
}

// Steps of calls at which the hook is asked.
const (
	StepPrefill   = "prefill"   // the prompt has arrived
	StepPrefilled = "prefilled" // the prompt is computed, its answer not yet sent
	StepImport    = "import"    // the request has arrived
	StepImported  = "imported"  // the KV cache is there, the answer not yet sent
	StepExport    = "export"    // the other engine asks for the KV cache
	StepDecode    = "decode"    // the request has arrived
	StepToken     = "token"     // before each token
	StepDone      = "done"      // before the last chunk
	StepCancel    = "cancel"    // the request has arrived
	StepCancelled = "cancelled" // the attempt is released, the answer not yet sent
)

// Counters tell what the engine did.
type Counters struct {
	Prefills        int
	PrefillTokens   int
	PrefillsExpired int // results that expired without an import
	Imports         int
	RejectedImports int
	GeneratedTokens int // tokens generated
	Cancels         int
}

// attempt is what one attempt holds at the engine.
type attempt struct {
	id      string
	owner   string
	pieces  int
	seed    string
	stream  *stream
	readers int // connections that read the stream
	cancel  context.CancelFunc
	ctx     context.Context
}

// prefillResult is a prefill's result.
type prefillResult struct {
	attempt string
	seed    string
	tokens  int
	timer   *time.Timer
}

// NewEngine returns an engine with the usual figures of the brief.
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

// recordLeakedHeaders remembers headers that may carry a caller's key.
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

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the fault switches.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Counters returns what the engine did so far.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// UsedPieces returns the pieces of memory held by attempts.
func (e *Engine) UsedPieces() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedPieces
}

// TokenText returns the text of a token of the answer to a prompt; callers use it to check answers.
func TokenText(prompt string, index int) string {
	return fmt.Sprintf("%s-%d ", promptSeed(prompt), index)
}

func promptSeed(prompt string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	return fmt.Sprintf("%08x", h.Sum32())
}

// CountTokens is the engine's tokenizer: about four bytes a token.
func CountTokens(prompt string) int {
	return (len(prompt) + 3) / 4
}

func piecesFor(tokens int) int {
	return (tokens + api.PieceTokens - 1) / api.PieceTokens
}

func (e *Engine) withSlowdown(d time.Duration) time.Duration {
	if f := e.Faults().Slowdown; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

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

// responseID returns the attempt id to answer with, which a fault may cross.
func (e *Engine) responseID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.WrongAttempts > 0 {
		e.faults.WrongAttempts--
		return id + "-crossed"
	}
	return id
}

package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	api "teaselgate/engine"
	"teaselgate/rule"
	"teaselgate/standin/fault"
)

// streamBufferTokens is the number of tokens buffered in each stream for a slow reader.
const streamBufferTokens = 64

// stream is the state of the token generation for one attempt.
type stream struct {
	next   int      // index of the next token; end+1 once tokens is closed
	end    int      // index after that of the last token
	tokens chan int // indexes of generated tokens
}

// loadSample is the load of the engine at one time.
type loadSample struct {
	at   time.Time
	load api.LoadReport
}

// postImport reserves a slot and memory, then fetches the KV cache from the prefill engine.
func (e *Engine) postImport(w http.ResponseWriter, r *http.Request) {
	m, ok := readMessage[api.ImportRequest](w, r)
	if !ok {
		return
	}
	if e.Hook.Apply(w, r, fault.Step{Name: StepImport, Subject: m.Attempt}) == fault.Reject {
		return
	}
	a := &attempt{id: m.Attempt, owner: m.Owner, pieces: piecesFor(m.Tokens + m.MaxTokens)}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if !e.reserve(a) {
		a.cancel()
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	kv, err := fetchKV(a.ctx, m)
	if err != nil {
		e.mu.Lock()
		e.releaseAttempt(m.Attempt)
		e.mu.Unlock()
		http.Error(w, "transfer failed", http.StatusGone)
		return
	}
	e.mu.Lock()
	a.seed = kv.Seed
	e.counters.Imports++
	e.mu.Unlock()
	if e.Hook.Apply(w, r, fault.Step{Name: StepImported, Subject: m.Attempt}) == fault.Reject {
		return
	}
	writeJSON(w, api.ImportResponse{Attempt: e.responseID(m.Attempt), Bytes: kv.Bytes})
}

// reserve books a slot and memory for an attempt. It returns false if the engine has no free slot or too little memory.
func (e *Engine) reserve(a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.attempts) >= e.Slots || e.usedPieces+a.pieces > e.Pieces {
		e.counters.RejectedImports++
		return false
	}
	e.attempts[a.id] = a
	e.usedPieces += a.pieces
	return true
}

// fetchKV fetches a KV cache from the prefill engine that computed it.
func fetchKV(ctx context.Context, m api.ImportRequest) (kvTransfer, error) {
	var kv kvTransfer
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Source+api.ExportPath+m.Handle, nil)
	if err != nil {
		return kv, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return kv, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return kv, fmt.Errorf("engine: KV cache export returned status %d", resp.StatusCode)
	}
	return kv, json.NewDecoder(resp.Body).Decode(&kv)
}

// postDecode streams tokens. A closed connection does not release the attempt: only the end of the stream or a
// cancellation does.
func (e *Engine) postDecode(w http.ResponseWriter, r *http.Request) {
	m, ok := readMessage[api.DecodeRequest](w, r)
	if !ok {
		return
	}
	if e.Hook.Apply(w, r, fault.Step{Name: StepDecode, Subject: m.Attempt}) == fault.Reject {
		return
	}
	e.mu.Lock()
	a, found := e.attempts[m.Attempt]
	if found {
		a.readers++
		a.stream = &stream{next: m.From, end: m.MaxTokens, tokens: make(chan int, streamBufferTokens)}
	}
	e.mu.Unlock()
	if !found {
		http.Error(w, "no such attempt", http.StatusGone)
		return
	}
	defer e.removeReader(a)
	e.wakeRun()
	w.Header().Set("Content-Type", "text/event-stream")
	e.writeStream(w, r, a, e.responseID(m.Attempt))
}

func (e *Engine) removeReader(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.readers--
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, a *attempt, id string) {
	flusher := http.NewResponseController(w)
	sent := 0
	for {
		select {
		case <-r.Context().Done():
			return
		case <-a.ctx.Done():
			panic(http.ErrAbortHandler)
		case index, open := <-a.stream.tokens:
			if limit := e.Faults().AbortAfterTokens; limit > 0 && sent >= limit {
				panic(http.ErrAbortHandler)
			}
			if !open {
				_ = e.Hook.Apply(w, r, fault.Step{Name: StepDone, Subject: a.id})
				e.writeDone(w, a, id)
				return
			}
			e.writeToken(w, r, a, api.Chunk{Attempt: id, Index: index, Text: a.seed + "-" + strconv.Itoa(index) + " "})
			_ = flusher.Flush()
			sent++
		}
	}
}

// writeDone releases the attempt and sends the last chunk.
func (e *Engine) writeDone(w http.ResponseWriter, a *attempt, id string) {
	e.mu.Lock()
	e.releaseAttempt(a.id)
	e.mu.Unlock()
	writeChunk(w, api.Chunk{Attempt: id, Done: true, Reason: "length"})
}

// writeToken sends one token. A fault may omit it, send it twice or give it the id of another attempt.
func (e *Engine) writeToken(w http.ResponseWriter, r *http.Request, a *attempt, c api.Chunk) {
	switch e.Hook.Apply(w, r, fault.Step{Name: StepToken, Subject: a.id, Index: c.Index}) {
	case fault.Skip:
		return
	case fault.Duplicate:
		writeChunk(w, c)
	case fault.WrongAttempt:
		c.Attempt += "-crossed"
	}
	writeChunk(w, c)
}

func writeChunk(w http.ResponseWriter, c api.Chunk) {
	text, _ := json.Marshal(c)
	fmt.Fprintf(w, "data: %s\n\n", text)
}

// wakeRun wakes Run if it waits for a stream.
func (e *Engine) wakeRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// runningStreams returns the streams that are not closed yet.
func (e *Engine) runningStreams() []*stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*stream
	for _, a := range e.attempts {
		if a.stream != nil && a.stream.next <= a.stream.end {
			out = append(out, a.stream)
		}
	}
	return out
}

// generateTokens adds one token to each stream whose buffer is not full, and closes the streams that have all tokens.
func (e *Engine) generateTokens(streams []*stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range streams {
		if s.next == s.end {
			close(s.tokens)
			s.next++
			continue
		}
		select {
		case s.tokens <- s.next:
			s.next++
			e.counters.GeneratedTokens++
		default:
		}
	}
}

func (e *Engine) postCancel(w http.ResponseWriter, r *http.Request) {
	m, ok := readMessage[api.CancelRequest](w, r)
	if !ok {
		return
	}
	if e.Hook.Apply(w, r, fault.Step{Name: StepCancel, Subject: m.Attempt}) == fault.Reject {
		return
	}
	e.mu.Lock()
	e.counters.Cancels++
	for handle, result := range e.results {
		if result.attempt == m.Attempt {
			result.timer.Stop()
			delete(e.results, handle)
		}
	}
	found := e.releaseAttempt(m.Attempt)
	e.mu.Unlock()
	_ = e.Hook.Apply(w, r, fault.Step{Name: StepCancelled, Subject: m.Attempt})
	writeJSON(w, api.CancelResponse{Attempt: m.Attempt, Found: found})
}

// getLoad responds with a load report that is about LoadLag old.
func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	current := api.LoadReport{Slots: len(e.attempts), SlotsMax: e.Slots, Pieces: e.usedPieces, PiecesMax: e.Pieces}
	if e.Duty == rule.Prefill {
		// One prompt is computed at a time; results that wait to be imported take memory, but no slot.
		pending := int(e.pendingPrefills.Load())
		current.Slots, current.SlotsMax, current.QueueDepth = min(pending, 1), 1, max(pending-1, 0)
	}
	e.loadSamples = append(e.loadSamples, loadSample{now, current})
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].at) >= e.LoadLag {
		e.loadSamples = e.loadSamples[1:]
	}
	report := e.loadSamples[0].load
	if e.faults.ReportIdle {
		report.Slots, report.Pieces = 0, 0
	}
	writeJSON(w, report)
}

// getRequests responds with the holdings of all attempts, or only those of one owner.
func (e *Engine) getRequests(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	owner := r.URL.Query().Get("owner")
	holdings := []api.Holding{}
	for _, a := range e.attempts {
		if owner == "" || a.owner == owner {
			holdings = append(holdings, api.Holding{
				Attempt: a.id, Owner: a.owner, Pieces: a.pieces, Reading: a.readers > 0,
			})
		}
	}
	writeJSON(w, holdings)
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, e.eventsAfter(after))
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	m, ok := readMessage[api.Order](w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fenced && m.Fence < e.highestFence {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	e.highestFence = max(e.highestFence, m.Fence)
	e.orders = append(e.orders, m)
	if m.Role != "" {
		e.Duty = rule.Duty(m.Role)
	}
	writeJSON(w, struct{}{})
}

// Orders returns the orders that the engine has carried out.
func (e *Engine) Orders() []api.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]api.Order(nil), e.orders...)
}

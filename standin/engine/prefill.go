package engine

import (
	"fmt"
	"net/http"
	"time"

	"teaselgate/delay"
	api "teaselgate/engine"
	"teaselgate/standin/fault"
)

func (e *Engine) postPrefill(w http.ResponseWriter, r *http.Request) {
	m, ok := readMessage[api.PrefillRequest](w, r)
	if !ok {
		return
	}
	if e.Hook.Apply(w, r, fault.Step{Name: StepPrefill, Subject: m.Attempt}) == fault.Reject {
		return
	}
	e.pendingPrefills.Add(1)
	defer e.pendingPrefills.Add(-1)
	if !e.queue.acquire(r.Context(), m.Priority) {
		return
	}
	tokens := CountTokens(m.Prompt) + CountTokens(m.Continue)
	cached := e.lookupAndStore(m.Prompt)
	work := time.Duration(tokens-cached) * time.Second / time.Duration(e.PrefillRate)
	completed := delay.For(r.Context(), e.withSlowdown(work)) == nil
	e.queue.release()
	if !completed {
		return
	}
	handle, lifetime := e.storeResult(m, tokens)
	if e.Hook.Apply(w, r, fault.Step{Name: StepPrefilled, Subject: m.Attempt}) == fault.Reject {
		return
	}
	writeJSON(w, api.PrefillResponse{
		Attempt:  e.responseID(m.Attempt),
		Handle:   handle,
		Tokens:   tokens,
		Cached:   cached,
		ExpireMS: lifetime.Milliseconds(),
	})
}

// storeResult stores the result of a prefill until it is imported or cancelled, or expires.
func (e *Engine) storeResult(m api.PrefillRequest, tokens int) (handle string, lifetime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lifetime = e.KVLifetime
	if e.faults.ExpireImmediately {
		lifetime = 0
	}
	e.counters.Prefills++
	e.counters.PrefillTokens += tokens
	handle = fmt.Sprintf("kv-%d", e.counters.Prefills)
	pieces := piecesFor(tokens)
	e.usedPieces += pieces
	e.attempts[m.Attempt] = &attempt{id: m.Attempt, owner: m.Owner, pieces: pieces}
	result := &prefillResult{attempt: m.Attempt, seed: promptSeed(m.Prompt), tokens: tokens}
	result.timer = time.AfterFunc(lifetime, func() { e.expireResult(handle, result) })
	e.results[handle] = result
	return handle, lifetime
}

// expireResult releases a prefill result that was not imported or cancelled in time.
func (e *Engine) expireResult(handle string, result *prefillResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.results[handle] != result {
		return
	}
	delete(e.results, handle)
	e.counters.PrefillsExpired++
	e.releaseAttempt(result.attempt)
}

// releaseAttempt releases what an attempt holds and reports whether it held anything; e.mu must be held.
func (e *Engine) releaseAttempt(id string) bool {
	a, ok := e.attempts[id]
	if !ok {
		return false
	}
	delete(e.attempts, id)
	e.usedPieces -= a.pieces
	if a.cancel != nil {
		a.cancel()
	}
	return true
}

// getExport sends a prefill result to a decode engine at LinkRate.
func (e *Engine) getExport(w http.ResponseWriter, r *http.Request) {
	handle := r.PathValue("handle")
	if e.Hook.Apply(w, r, fault.Step{Name: StepExport, Subject: handle}) == fault.Reject {
		return
	}
	e.mu.Lock()
	result, ok := e.results[handle]
	if ok {
		delete(e.results, handle)
		result.timer.Stop()
	}
	e.mu.Unlock()
	if !ok {
		http.Error(w, "expired", http.StatusGone)
		return
	}
	size := int64(result.tokens) * e.TokenBytes
	e.linkMu.Lock()
	completed := delay.For(r.Context(),
		e.withSlowdown(time.Duration(float64(size)/float64(e.LinkRate)*float64(time.Second)))) == nil
	e.linkMu.Unlock()
	e.mu.Lock()
	e.releaseAttempt(result.attempt)
	e.mu.Unlock()
	if completed {
		writeJSON(w, kvTransfer{Seed: result.seed, Tokens: result.tokens, Bytes: size})
	}
}

// kvTransfer is the body of the response to an export request. It stands in for the KV cache, and states its size.
type kvTransfer struct {
	Seed   string `json:"seed"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
}

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
	e.waiting.Add(1)
	defer e.waiting.Add(-1)
	if !e.queue.enter(r.Context(), m.Priority) {
		return
	}
	tokens := CountTokens(m.Prompt) + CountTokens(m.Continue)
	cached := e.lookup(m.Prompt)
	work := time.Duration(tokens-cached) * time.Second / time.Duration(e.PrefillRate)
	done := delay.For(r.Context(), e.scaled(work)) == nil
	e.queue.leave()
	if !done {
		return
	}
	handle, life := e.store(m, tokens)
	if e.Hook.Apply(w, r, fault.Step{Name: StepPrefilled, Subject: m.Attempt}) == fault.Reject {
		return
	}
	answer(w, api.PrefillResponse{
		Attempt:  e.answerID(m.Attempt),
		Handle:   handle,
		Tokens:   tokens,
		Cached:   cached,
		ExpireMS: life.Milliseconds(),
	})
}

// store keeps a prefill's result until it expires.
func (e *Engine) store(m api.PrefillRequest, tokens int) (handle string, life time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	life = e.KVLifetime
	if e.faults.ExpireImmediately {
		life = 0
	}
	e.counters.Prefills++
	e.counters.PrefillTokens += tokens
	handle = fmt.Sprintf("kv-%d", e.counters.Prefills)
	pieces := piecesFor(tokens)
	e.used += pieces
	e.attempts[m.Attempt] = &attempt{id: m.Attempt, owner: m.Owner, pieces: pieces}
	x := &export{attempt: m.Attempt, seed: seedOf(m.Prompt), tokens: tokens}
	x.timer = time.AfterFunc(life, func() { e.expire(handle, x) })
	e.exports[handle] = x
	return handle, life
}

// expire releases a prefill's result that no one imported.
func (e *Engine) expire(handle string, x *export) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.exports[handle] != x {
		return
	}
	delete(e.exports, handle)
	e.counters.PrefillsExpired++
	e.release(x.attempt)
}

// release frees what an attempt holds; the caller holds the lock.
func (e *Engine) release(id string) bool {
	a, ok := e.attempts[id]
	if !ok {
		return false
	}
	delete(e.attempts, id)
	e.used -= a.pieces
	if a.cancel != nil {
		a.cancel()
	}
	return true
}

// getExport hands a prefill's result over at the rate of the link.
func (e *Engine) getExport(w http.ResponseWriter, r *http.Request) {
	handle := r.PathValue("handle")
	if e.Hook.Apply(w, r, fault.Step{Name: StepExport, Subject: handle}) == fault.Reject {
		return
	}
	e.mu.Lock()
	x, ok := e.exports[handle]
	if ok {
		delete(e.exports, handle)
		x.timer.Stop()
	}
	e.mu.Unlock()
	if !ok {
		http.Error(w, "expired", http.StatusGone)
		return
	}
	size := int64(x.tokens) * e.TokenBytes
	e.link.Lock()
	sent := delay.For(r.Context(), e.scaled(time.Duration(float64(size)/float64(e.LinkRate)*float64(time.Second)))) == nil
	e.link.Unlock()
	e.mu.Lock()
	e.release(x.attempt)
	e.mu.Unlock()
	if sent {
		answer(w, exported{Seed: x.seed, Tokens: x.tokens, Bytes: size})
	}
}

// exported is the message between two stand-in engines.
type exported struct {
	Seed   string `json:"seed"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
}

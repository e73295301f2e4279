package engine

import (
	"fmt"
	"net/http"
	"time"

	api "teaselgate/engine"
	"teaselgate/standin/fault"
)

// prefixBytes is the length of a prompt's prefix that the cache works with.
const prefixBytes = 512

// prefixCache keeps the prefixes of the newest prompts within a number of tokens.
type prefixCache struct {
	order    []string
	tokens   map[string]int
	total    int
	sequence uint64
	events   []api.CacheEvent
}

func (e *Engine) postPrefill(w http.ResponseWriter, r *http.Request) {
	m, ok := readMessage[api.Prefill](w, r)
	if !ok {
		return
	}
	if e.Hook.At(w, r, fault.Step{Name: StepPrefill, Attempt: m.Attempt}) == fault.Refuse {
		return
	}
	select {
	case e.queue <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	tokens := CountTokens(m.Prompt) + CountTokens(m.Continue)
	cached := e.lookup(m.Prompt)
	work := time.Duration(tokens-cached) * time.Second / time.Duration(e.PrefillRate)
	done := sleep(r.Context(), e.scaled(work))
	<-e.queue
	if !done {
		return
	}
	handle, life := e.store(m, tokens)
	if e.Hook.At(w, r, fault.Step{Name: StepPrefilled, Attempt: m.Attempt}) == fault.Refuse {
		return
	}
	answer(w, api.Prefilled{
		Attempt:  e.answerID(m.Attempt),
		Handle:   handle,
		Tokens:   tokens,
		Cached:   cached,
		ExpireMS: life.Milliseconds(),
	})
}

// store keeps a prefill's result until it expires.
func (e *Engine) store(m api.Prefill, tokens int) (handle string, life time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	life = e.KVLife
	if e.faults.ExpireEarly {
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
	if e.Hook.At(w, r, fault.Step{Name: StepExport, Attempt: handle}) == fault.Refuse {
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
	sent := sleep(r.Context(), e.scaled(time.Duration(float64(size)/float64(e.LinkRate)*float64(time.Second))))
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

// lookup returns the prompt's tokens found in the prefix cache and stores the prefix.
func (e *Engine) lookup(prompt string) int {
	if len(prompt) < prefixBytes {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.cache
	prefix := seedOf(prompt[:prefixBytes])
	if tokens, ok := c.tokens[prefix]; ok {
		return tokens
	}
	c.add(prefix, CountTokens(prompt[:prefixBytes]))
	for c.total > e.CacheTokens {
		c.evict()
	}
	return 0
}

func (c *prefixCache) add(prefix string, tokens int) {
	if c.tokens == nil {
		c.tokens = make(map[string]int)
	}
	c.tokens[prefix] = tokens
	c.order = append(c.order, prefix)
	c.total += tokens
	c.note(prefix, true)
}

func (c *prefixCache) evict() {
	oldest := c.order[0]
	c.order = c.order[1:]
	c.total -= c.tokens[oldest]
	delete(c.tokens, oldest)
	c.note(oldest, false)
}

func (c *prefixCache) note(prefix string, stored bool) {
	c.sequence++
	c.events = append(c.events, api.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored})
}

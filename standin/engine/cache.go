package engine

import (
	"slices"
	"time"

	api "teaselgate/engine"
)

const maxEvents = 4096 // cache events that are kept

// prefixCache keeps the prefixes of the newest prompts within a number of tokens.
type prefixCache struct {
	order    []string // least recently used first
	tokens   map[string]int
	total    int
	sequence uint64
	events   []cacheEvent
}

type cacheEvent struct {
	api.CacheEvent
	at time.Time
}

// lookup returns the prompt's tokens found in the prefix cache and stores its prefixes.
func (e *Engine) lookup(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.cache
	if c.tokens == nil {
		c.tokens = make(map[string]int)
	}
	found, before := 0, 0
	for n, prefix := range api.PrefixHashes(prompt) {
		covered := api.PrefixTokens(n)
		if c.touch(prefix) {
			found = covered
		} else {
			e.note(prefix, true)
			c.tokens[prefix] = covered - before
			c.total += covered - before
		}
		c.order = append(c.order, prefix)
		before = covered
	}
	for c.total > e.CacheTokens {
		e.evict()
	}
	return found
}

// touch takes a prefix out of its place in the order if the cache has it.
func (c *prefixCache) touch(prefix string) bool {
	if _, ok := c.tokens[prefix]; !ok {
		return false
	}
	i := slices.Index(c.order, prefix)
	c.order = slices.Delete(c.order, i, i+1)
	return true
}

func (e *Engine) evict() {
	c := &e.cache
	oldest := c.order[0]
	c.order = c.order[1:]
	c.total -= c.tokens[oldest]
	delete(c.tokens, oldest)
	e.note(oldest, false)
}

// note publishes a cache event; some are lost, which leaves a gap in the sequence.
func (e *Engine) note(prefix string, stored bool) {
	c := &e.cache
	c.sequence++
	if e.EventLossInterval > 0 && c.sequence%uint64(e.EventLossInterval) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{api.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored}, time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events after a sequence number that are old enough to be published.
func (e *Engine) eventsAfter(sequence uint64) []api.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []api.CacheEvent{}
	for _, v := range e.cache.events {
		if v.Sequence > sequence && time.Since(v.at) >= e.EventLag {
			out = append(out, v.CacheEvent)
		}
	}
	return out
}

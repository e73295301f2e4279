package engine

import (
	"slices"
	"time"

	api "teaselgate/engine"
)

const maxCacheEvents = 4096 // cache events that are kept

// prefixCache keeps the prefixes of the newest prompts within a number of tokens.
type prefixCache struct {
	recency     []string // least recently used first
	tokens      map[string]int
	totalTokens int
	sequence    uint64
	events      []cacheEvent
}

type cacheEvent struct {
	api.CacheEvent
	at time.Time
}

// lookupAndStore returns the prompt's tokens found in the prefix cache and stores its prefixes.
func (e *Engine) lookupAndStore(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.cache
	if c.tokens == nil {
		c.tokens = make(map[string]int)
	}
	found, previous := 0, 0
	for n, prefix := range api.PrefixHashes(prompt) {
		covered := api.PrefixTokens(n)
		if c.unlink(prefix) {
			found = covered
		} else {
			e.recordCacheEvent(prefix, true)
			c.tokens[prefix] = covered - previous
			c.totalTokens += covered - previous
		}
		c.recency = append(c.recency, prefix)
		previous = covered
	}
	for c.totalTokens > e.CacheTokens {
		e.evictOldest()
	}
	return found
}

// unlink takes a prefix out of its place in the order if the cache has it.
func (c *prefixCache) unlink(prefix string) bool {
	if _, ok := c.tokens[prefix]; !ok {
		return false
	}
	i := slices.Index(c.recency, prefix)
	c.recency = slices.Delete(c.recency, i, i+1)
	return true
}

func (e *Engine) evictOldest() {
	c := &e.cache
	oldest := c.recency[0]
	c.recency = c.recency[1:]
	c.totalTokens -= c.tokens[oldest]
	delete(c.tokens, oldest)
	e.recordCacheEvent(oldest, false)
}

// recordCacheEvent publishes a cache event; some are lost, which leaves a gap in the sequence.
func (e *Engine) recordCacheEvent(prefix string, stored bool) {
	c := &e.cache
	c.sequence++
	if e.EventLossInterval > 0 && c.sequence%uint64(e.EventLossInterval) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{api.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored}, time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events after a sequence number that are old enough to be published.
func (e *Engine) eventsAfter(sequence uint64) []api.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []api.CacheEvent{}
	for _, event := range e.cache.events {
		if event.Sequence > sequence && time.Since(event.at) >= e.EventLag {
			out = append(out, event.CacheEvent)
		}
	}
	return out
}

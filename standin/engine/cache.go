package engine

import (
	"slices"
	"time"

	api "teaselgate/engine"
)

// maxCacheEvents is the number of cache events that are kept for polling.
const maxCacheEvents = 4096

// prefixCache is a least-recently-used cache of prompt prefixes.
type prefixCache struct {
	recency     []string       // prefix hashes, least recently used first
	tokens      map[string]int // number of tokens that a prefix adds to the next shorter one, by prefix hash
	totalTokens int
	sequence    uint64 // sequence number of the last event
	events      []cacheEvent
}

// cacheEvent is a cache event and when it happened.
type cacheEvent struct {
	api.CacheEvent
	at time.Time
}

// lookupAndStore returns how many tokens of a prompt the prefix cache holds, and stores the prompt's prefixes.
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

// unlink removes a prefix from the recency list and reports whether the cache holds it. The caller appends it again.
func (c *prefixCache) unlink(prefix string) bool {
	if _, ok := c.tokens[prefix]; !ok {
		return false
	}
	i := slices.Index(c.recency, prefix)
	c.recency = slices.Delete(c.recency, i, i+1)
	return true
}

// evictOldest removes the least recently used prefix; e.mu must be held.
func (e *Engine) evictOldest() {
	c := &e.cache
	oldest := c.recency[0]
	c.recency = c.recency[1:]
	c.totalTokens -= c.tokens[oldest]
	delete(c.tokens, oldest)
	e.recordCacheEvent(oldest, false)
}

// recordCacheEvent records a cache event. Every EventLossInterval-th event is lost, which leaves a gap in the sequence
// numbers; e.mu must be held.
func (e *Engine) recordCacheEvent(prefix string, stored bool) {
	c := &e.cache
	c.sequence++
	if e.EventLossInterval > 0 && c.sequence%uint64(e.EventLossInterval) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{
		api.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored}, time.Now(),
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events after a sequence number that are at least EventLag old.
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

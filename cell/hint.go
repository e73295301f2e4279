package cell

import (
	"time"

	"teaselgate/engine"
)

// Limits of the prefix cache hints.
const (
	maxHintedPrefixes   = 8192 // largest number of prefixes with hints
	maxServersPerPrefix = 3    // largest number of servers with a hint on one prefix; the newest are kept
	hintTTL             = 60 * time.Second
	hintTTLAfterGap     = 10 * time.Second // for older hints on a server after a gap in its cache events
)

// hint says that a server probably has a prefix in its cache.
type hint struct {
	server  *prefillServer
	expires instant
}

// cacheHit is the longest prefix of a prompt that a server probably has in its cache.
type cacheHit struct {
	server *prefillServer
	tokens int // expected number of cached tokens
}

// hints records which servers probably have which prefixes in their caches, from the dispatcher's own placements and
// from the servers' cache events, which come late and with gaps. Each hint expires after hintTTL.
type hints struct {
	prefixes map[string][]hint
	order    []string   // prefixes, oldest first
	found    []cacheHit // result of the last find
}

func newHints() hints {
	return hints{prefixes: make(map[string][]hint)}
}

// recordStored records that a server has, or is going to have, prefixes in its cache.
func (h *hints) recordStored(now instant, p *prefillServer, prefixes []string) {
	for _, prefix := range prefixes {
		h.recordStoredPrefix(now, p, prefix)
	}
}

func (h *hints) recordStoredPrefix(now instant, p *prefillServer, prefix string) {
	list, known := h.prefixes[prefix]
	for i := range list {
		if list[i].server == p {
			list[i].expires = now.Add(hintTTL)
			return
		}
	}
	if !known {
		h.dropOldest()
		h.order = append(h.order, prefix)
	}
	list = append(list, hint{p, now.Add(hintTTL)})
	if len(list) > maxServersPerPrefix {
		list = list[1:]
	}
	h.prefixes[prefix] = list
}

// dropOldest removes the oldest prefix when there are maxHintedPrefixes.
func (h *hints) dropOldest() {
	if len(h.order) < maxHintedPrefixes {
		return
	}
	delete(h.prefixes, h.order[0])
	h.order = h.order[1:]
}

// recordEvicted records that a server evicted a prefix.
func (h *hints) recordEvicted(p *prefillServer, prefix string) {
	list := h.prefixes[prefix]
	for i := range list {
		if list[i].server == p {
			list[i].expires = instant(0)
		}
	}
}

// find returns the servers that probably have a prefix of a prompt in their caches, each with its longest one. The
// result is valid until the next call.
func (h *hints) find(now instant, prefixes []string) []cacheHit {
	h.found = h.found[:0]
	for n := len(prefixes) - 1; n >= 0; n-- {
		for _, hinted := range h.prefixes[prefixes[n]] {
			if hinted.expires.After(now) && hitTokens(h.found, hinted.server) == 0 {
				tokens := float64(engine.PrefixTokens(n)) * hinted.server.hintAccuracy
				h.found = append(h.found, cacheHit{hinted.server, int(tokens)})
			}
		}
	}
	return h.found
}

// hitTokens returns the number of tokens that a server is expected to have in its cache.
func hitTokens(hits []cacheHit, p *prefillServer) int {
	for _, h := range hits {
		if h.server == p {
			return h.tokens
		}
	}
	return 0
}

// recordEvents records a server's cache events. After a gap, older hints on the server expire within hintTTLAfterGap.
func (h *hints) recordEvents(now instant, p *prefillServer, events []engine.CacheEvent) {
	for _, e := range events {
		if e.Sequence <= p.lastCacheEvent {
			continue
		}
		if e.Sequence > p.lastCacheEvent+1 && p.lastCacheEvent > 0 {
			h.limitExpiry(now.Add(hintTTLAfterGap), p)
		}
		p.lastCacheEvent = e.Sequence
		if e.Stored {
			h.recordStoredPrefix(now, p, e.Prefix)
		} else {
			h.recordEvicted(p, e.Prefix)
		}
	}
}

// limitExpiry makes the hints on a server expire at the given time, unless they expire before.
func (h *hints) limitExpiry(until instant, p *prefillServer) {
	for _, list := range h.prefixes {
		for i := range list {
			if list[i].server == p && list[i].expires.After(until) {
				list[i].expires = until
			}
		}
	}
}

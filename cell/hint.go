package cell

import (
	"time"

	"teaselgate/engine"
)

// Constants of the knowledge about prefix caches.
const (
	maxHints    = 8192 // prefixes
	hintServers = 3    // servers remembered for a prefix
	hintLife    = 60 * time.Second
	gapLife     = 10 * time.Second // life of the hints on a server that lost cache events
)

// hint says that a server probably has a prefix in its cache.
type hint struct {
	server *prefillServer
	until  instant
}

// hit is the longest prefix of a prompt that a server probably has.
type hit struct {
	server *prefillServer
	tokens int
}

// hints is what a dispatcher knows of prefix caches: where it sent prefixes itself, and the servers'
// events, which come late and with gaps. Each hint ends after a while.
type hints struct {
	prefixes map[string][]hint
	order    []string // by first use, for the bound
	hits     []hit    // of the newest find
}

func newHints() hints {
	return hints{prefixes: make(map[string][]hint)}
}

// stored notes that a server has, or will have, prefixes.
func (h *hints) stored(now instant, p *prefillServer, prefixes []string) {
	for _, prefix := range prefixes {
		h.storedOne(now, p, prefix)
	}
}

func (h *hints) storedOne(now instant, p *prefillServer, prefix string) {
	list, known := h.prefixes[prefix]
	for i := range list {
		if list[i].server == p {
			list[i].until = now.Add(hintLife)
			return
		}
	}
	if !known {
		h.bound()
		h.order = append(h.order, prefix)
	}
	list = append(list, hint{p, now.Add(hintLife)})
	if len(list) > hintServers {
		list = list[1:]
	}
	h.prefixes[prefix] = list
}

// bound drops the oldest prefix when there are too many.
func (h *hints) bound() {
	if len(h.order) < maxHints {
		return
	}
	delete(h.prefixes, h.order[0])
	h.order = h.order[1:]
}

// evicted notes that a server dropped a prefix.
func (h *hints) evicted(p *prefillServer, prefix string) {
	list := h.prefixes[prefix]
	for i := range list {
		if list[i].server == p {
			list[i].until = instant(0)
		}
	}
}

// find returns the servers that probably have a prefix of a prompt, each with its longest one. The
// result is good until the next call.
func (h *hints) find(now instant, prefixes []string) []hit {
	h.hits = h.hits[:0]
	for n := len(prefixes) - 1; n >= 0; n-- {
		for _, known := range h.prefixes[prefixes[n]] {
			if known.until.After(now) && cached(h.hits, known.server) == 0 {
				tokens := float64(engine.PrefixTokens(n)) * known.server.trust
				h.hits = append(h.hits, hit{known.server, int(tokens)})
			}
		}
	}
	return h.hits
}

// cached returns the tokens that a server probably has.
func cached(hits []hit, p *prefillServer) int {
	for _, h := range hits {
		if h.server == p {
			return h.tokens
		}
	}
	return 0
}

// events takes in a server's cache events. After a gap the older hints on the server end soon.
func (h *hints) events(now instant, p *prefillServer, events []engine.CacheEvent) {
	for _, e := range events {
		if e.Sequence <= p.prefixes {
			continue
		}
		if e.Sequence > p.prefixes+1 && p.prefixes > 0 {
			h.shorten(now.Add(gapLife), p)
		}
		p.prefixes = e.Sequence
		if e.Stored {
			h.storedOne(now, p, e.Prefix)
		} else {
			h.evicted(p, e.Prefix)
		}
	}
}

func (h *hints) shorten(until instant, p *prefillServer) {
	for _, list := range h.prefixes {
		for i := range list {
			if list[i].server == p && list[i].until.After(until) {
				list[i].until = until
			}
		}
	}
}

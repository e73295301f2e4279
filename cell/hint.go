package cell

import (
	"time"

	"teaselgate/engine"
)

// Constants of the knowledge about prefix caches.
const (
	maxHints     = 4096 // prefixes
	hintServers  = 3    // servers remembered for a prefix
	hintLife     = 60 * time.Second
	gapLife      = 10 * time.Second // life of the hints on a server that lost cache events
	hintedTokens = 128              // cached tokens expected before the first report
)

// hint says that a server probably has a prefix in its cache.
type hint struct {
	server *prefillServer
	tokens int
	until  instant
}

// hints is what a dispatcher knows of prefix caches: where it sent prefixes itself, and the servers'
// events, which come late and with gaps. Each hint ends after a while.
type hints struct {
	prefixes map[string][]hint
	order    []string // by first use, for the bound
}

func newHints() hints {
	return hints{prefixes: make(map[string][]hint)}
}

// stored notes that a server has, or will have, a prefix. Tokens below 0 mean not known.
func (h *hints) stored(now instant, p *prefillServer, prefix string, tokens int) {
	if prefix == "" {
		return
	}
	list, known := h.prefixes[prefix]
	for i := range list {
		if list[i].server != p {
			continue
		}
		list[i].until = now.Add(hintLife)
		if tokens >= 0 {
			list[i].tokens = tokens
		}
		return
	}
	if !known {
		h.bound()
		h.order = append(h.order, prefix)
	}
	if tokens < 0 {
		tokens = hintedTokens
	}
	list = append(list, hint{p, tokens, now.Add(hintLife)})
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

// cached returns the tokens of a prefix that a server probably has.
func cached(list []hint, now instant, p *prefillServer) int {
	for i := range list {
		if list[i].server == p && list[i].until.After(now) {
			return list[i].tokens
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
			h.stored(now, p, e.Prefix, -1)
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

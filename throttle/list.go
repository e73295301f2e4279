// Package throttle keeps the limits of backend servers: the number of requests per second that a server takes from all
// instances together. A server names its limit in its answers, and has another one while it is cold. All instances learn
// of a limit, and for each server one of them, the keeper, grants the requests of all.
package throttle

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/event"
	"teaselgate/gossip"
	"teaselgate/upstream"
)

// List is what an instance knows about the limits of backend servers, and the permits that it grants. Its exported fields
// are set before use.
type List struct {
	Peers func() []string // addresses of the other reachable instances
	Call  func(ctx context.Context, address, method string, args, reply any) error
	// Keeper returns the address of the instance that grants the requests of a server, or an empty one if this instance does.
	Keeper func(server upstream.ServerKey) (address string)
	// Reachable returns the number of instances that this one reaches, itself included, and that of all known ones.
	Reachable func() (reachable, known int)
	Listed    func(server upstream.ServerKey) bool // reports whether a server is registered
	// Cold returns the limit of a server that is cold. All instances know it from the server's registration.
	Cold   func(server upstream.ServerKey) (rate float64, cold bool)
	Record func(event.Event)
	Now    func() time.Time
	Random func() float64 // uniform in [0, 1)

	inForce  atomic.Int64 // number of limits in force
	spreader *gossip.Spreader
	wake     chan struct{} // makes Serve tell peers

	mu         sync.Mutex
	statements map[upstream.ServerKey]statement
	permits    map[upstream.ServerKey]*bucket   // of limited servers, for all instances while this one is their keeper
	fallbacks  map[upstream.ServerKey]*fallback // of limited servers whose keeper does not answer
	denied     map[upstream.ServerKey]denied    // servers for which there was no permit
	silent     map[string]time.Time             // time until which keepers that did not answer are not called, by address
	unsent     []Statement                      // statements that peers have yet to be told; their ages count from unsentAt
	unsentAt   time.Time                        // time of the first unsent statement
}

// NewList returns a list without limits or peers.
func NewList() *List {
	l := &List{
		Peers:      func() []string { return nil },
		Keeper:     func(upstream.ServerKey) string { return "" },
		Reachable:  func() (int, int) { return 1, 1 },
		Listed:     func(upstream.ServerKey) bool { return true },
		Cold:       func(upstream.ServerKey) (float64, bool) { return 0, false },
		Record:     func(event.Event) {},
		Now:        time.Now,
		Random:     rand.Float64,
		spreader:   gossip.NewSpreader(),
		wake:       make(chan struct{}, 1),
		statements: make(map[upstream.ServerKey]statement),
		permits:    make(map[upstream.ServerKey]*bucket),
		fallbacks:  make(map[upstream.ServerKey]*fallback),
		denied:     make(map[upstream.ServerKey]denied),
		silent:     make(map[string]time.Time),
	}
	l.spreader.Peers, l.spreader.Failed = func() []string { return l.Peers() }, l.recordFailure
	l.spreader.Now = func() time.Time { return l.Now() }
	l.spreader.Call = func(ctx context.Context, address, method string, args, reply any) error {
		return l.Call(ctx, address, method, args, reply)
	}
	return l
}

// Observe records what an answer of a server says about its limit. An answer without a limit ends the limit only if its
// request was sent after the limit was heard, and if answers of its kind have named the limit.
func (l *List) Observe(server upstream.ServerKey, a Answer) {
	if !a.Limited && l.inForce.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, old := l.Now(), l.statements[server]
	next := statement{at: now}
	switch {
	case a.Limited:
		next = statement{rate: a.Rate, limited: true, kinds: old.kinds | a.Kind, at: now}
	case !old.limited || old.kinds&a.Kind == 0 || !a.SentAt.After(old.at):
		return
	}
	if l.set(server, next, "heard here") {
		l.queue(now, next.export(server, now))
	}
}

// merge adds the statement of a peer if it is newer, and has it passed on if it is news.
func (l *List) merge(s Statement, passOn bool, source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	next, old := s.local(now), l.statements[s.Server]
	if !next.at.After(old.at) || next.isExpired(now) {
		return
	}
	if next.limited && old.limited {
		next.kinds |= old.kinds
	}
	if l.set(s.Server, next, source) && passOn {
		l.queue(now, s)
	}
}

// set replaces the statement on a server, logs a change, and reports whether there is one. The caller holds the lock.
func (l *List) set(server upstream.ServerKey, s statement, source string) bool {
	old := l.statements[server]
	l.statements[server] = s
	if old.limited == s.limited && old.rate == s.rate {
		return false
	}
	if !s.limited {
		l.inForce.Add(-1)
		l.forget(server)
		l.Record(event.Event{Code: event.ServerUnlimited, Server: server.Server, Detail: source})
		return true
	}
	if !old.limited {
		l.inForce.Add(1)
		l.permit(server)
	}
	l.Record(event.Event{
		Code: event.ServerLimited, Server: server.Server,
		Detail: fmt.Sprintf("%s, %g/s, %s", server.Address, s.rate, source),
	})
	return true
}

// forget drops the permits of a server. The caller holds the lock.
func (l *List) forget(server upstream.ServerKey) {
	delete(l.permits, server)
	delete(l.fallbacks, server)
	delete(l.denied, server)
}

// Limits returns the limits in force.
func (l *List) Limits() []Limit {
	if l.inForce.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Limit
	for server, s := range l.statements {
		if s.limited {
			out = append(out, Limit{server, s.rate})
		}
	}
	return out
}

// Rate returns the requests per second that a server takes, and false if it has no limit.
func (l *List) Rate(server upstream.ServerKey) (float64, bool) {
	if l.inForce.Load() == 0 {
		return l.coldRate(server)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate(server)
}

// rate returns the lower of the limit that a server names and of that of a cold one, and false if it has neither. The
// caller holds the lock.
func (l *List) rate(server upstream.ServerKey) (float64, bool) {
	rate, cold := l.coldRate(server)
	s := l.statements[server]
	if s.limited && (!cold || s.rate < rate) {
		return s.rate, true
	}
	return rate, cold
}

// coldShare is the part of a cold server's rate that is granted. When a silent keeper is back, instances that still use their
// own parts and those that ask it send together more than is granted, and a cold server crashes within a second.
const coldShare = 0.75

// coldRate returns the rate at which requests to a cold server are granted, and false if the server is not cold.
func (l *List) coldRate(server upstream.ServerKey) (float64, bool) {
	rate, cold := l.Cold(server)
	return coldShare * rate, cold
}

// permit returns the permits of a limited server. The caller holds the lock.
func (l *List) permit(server upstream.ServerKey) *bucket {
	b, ok := l.permits[server]
	if !ok {
		b = &bucket{burst: keeperBurst, at: l.Now()}
		l.permits[server] = b
	}
	return b
}

// known returns all that is known, in the order of the servers.
func (l *List) known() []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	out := make([]Statement, 0, len(l.statements))
	for server, s := range l.statements {
		if !s.isExpired(now) {
			out = append(out, s.export(server, now))
		}
	}
	slices.SortFunc(out, compareStatements)
	return out
}

// Digest returns a digest of what is known about limits; 0 without limits, now or lately.
func (l *List) Digest() uint64 { return digestStatements(l.known()).Sum() }

// prune drops the ends of limits that all instances have long heard of, and what is known of servers that are gone.
func (l *List) prune() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	maps.DeleteFunc(l.silent, func(_ string, until time.Time) bool { return now.After(until) })
	for server, s := range l.statements {
		gone := now.Sub(s.at) > goneTTL && !l.Listed(server)
		if !gone && !s.isExpired(now) {
			continue
		}
		if s.limited {
			l.inForce.Add(-1)
			l.forget(server)
		}
		delete(l.statements, server)
	}
	for server := range l.permits {
		if _, limited := l.rate(server); !limited {
			l.forget(server)
		}
	}
}

// goneTTL is how long a limit is kept after the last answer of a server that is no longer registered.
const goneTTL = time.Minute

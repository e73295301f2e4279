// Package throttle keeps the limits that backend servers name: the number of requests per second that a server takes from
// all instances together.
package throttle

import (
	"fmt"
	"sync"
	"time"

	"teaselgate/event"
	"teaselgate/upstream"
)

// List is what an instance knows about the limits of backend servers. Its exported fields are set before use.
type List struct {
	Record func(event.Event)
	Now    func() time.Time

	mu         sync.Mutex
	statements map[upstream.ServerKey]statement
}

// NewList returns a list without limits.
func NewList() *List {
	return &List{
		Record: func(event.Event) {}, Now: time.Now, statements: make(map[upstream.ServerKey]statement),
	}
}

// Observe records what an answer of a server says about its limit. An answer without a limit ends the limit only if its
// request was sent after the limit was heard, and if answers of its kind have named the limit.
func (l *List) Observe(server upstream.ServerKey, a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.statements[server]
	switch {
	case a.Limited:
		l.set(server, statement{rate: a.Rate, limited: true, kinds: old.kinds | a.Kind, at: l.Now()}, "named in an answer")
	case old.limited && old.kinds&a.Kind != 0 && a.SentAt.After(old.at):
		l.set(server, statement{at: l.Now()}, "no longer named in an answer")
	}
}

// set replaces the statement on a server, and logs a change. The caller holds the lock.
func (l *List) set(server upstream.ServerKey, s statement, source string) {
	old := l.statements[server]
	l.statements[server] = s
	if old.limited == s.limited && old.rate == s.rate {
		return
	}
	if !s.limited {
		l.Record(event.Event{Code: event.ServerUnlimited, Server: server.Server, Detail: source})
		return
	}
	l.Record(event.Event{
		Code: event.ServerLimited, Server: server.Server,
		Detail: fmt.Sprintf("%s, %g/s, %s", server.Address, s.rate, source),
	})
}

// Limits returns the limits in force.
func (l *List) Limits() []Limit {
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

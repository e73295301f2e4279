package quarantine

import (
	"context"
	"sync"
	"time"
)

// Timing of the checks whether servers have ended. A request may crash its server some time after it was sent, when the
// instance or the caller has already cut the attempt.
const (
	watchTime      = 2 * time.Second // time after an attempt within which its server's end counts against it
	minCheckPause  = 50 * time.Millisecond
	maxCheckPause  = 500 * time.Millisecond
	maxWatched     = 64  // attempts watched at one server; the oldest are dropped
	maxWatchedHost = 512 // servers watched at once
)

// watch looks for the ends of servers soon after attempts that got no answer.
type watch struct {
	now    func() time.Time
	report func([]Attempt) // called with all attempts at a server that has ended

	mu      sync.Mutex
	pending map[string][]Attempt // by address
	added   chan string          // addresses with the first pending attempt
}

func newWatch() *watch {
	return &watch{pending: make(map[string][]Attempt), added: make(chan string, maxWatchedHost)}
}

// add watches the server of an attempt.
func (w *watch) add(a Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.pending[a.Address]
	if len(known) == 0 {
		select {
		case w.added <- a.Address:
		default:
			return // too many servers are watched already
		}
	}
	w.pending[a.Address] = append(known[max(len(known)+1-maxWatched, 0):], a)
}

// serve checks the servers of pending attempts until the context ends.
func (w *watch) serve(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-w.added:
			checks.Go(func() { w.follow(ctx, address) })
		}
	}
}

// follow checks a server, ever more rarely, until it has ended or its attempts are too old.
func (w *watch) follow(ctx context.Context, address string) {
	for {
		newest, ok := w.newest(address)
		if !ok {
			return
		}
		if newest.Refuses(ctx, address) {
			w.report(w.take(address))
			return
		}
		pause := min(max(w.now().Sub(newest.At), minCheckPause), maxCheckPause)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// newest returns the newest attempt at a server, after it has dropped those that are too old.
func (w *watch) newest(address string) (Attempt, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.pending[address]
	for len(known) > 0 && w.now().Sub(known[0].At) > watchTime+maxCheckPause {
		known = known[1:]
	}
	if len(known) == 0 {
		delete(w.pending, address)
		return Attempt{}, false
	}
	w.pending[address] = known
	return known[len(known)-1], true
}

// take removes and returns the attempts at a server.
func (w *watch) take(address string) []Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer delete(w.pending, address)
	return w.pending[address]
}

// Package promise keeps the times at which refused callers were told to return, so that the room that one of them was promised
// is not promised again, and a caller who returns as told finds it.
package promise

import (
	"time"

	"teaselgate/queue"
)

// Constants of promises.
const (
	// Hold is how long the room of a caller that is due is held. Callers return within some hundred milliseconds.
	Hold = time.Second
	// earlyTolerance is how much earlier than told a caller may return: its clock and the network are not exact.
	earlyTolerance = 100 * time.Millisecond
	maxPromises    = 4096 // further callers are told a time, but nothing is held for them
)

// Promise is the time at which a refused caller was told to return.
type Promise struct {
	Rank  int
	Cost  float64       // work for which room is held; 0 if the caller can't wait until At
	First queue.Instant // when the request came first
	At    queue.Instant // when the caller may return
}

// Standing says how the return of a caller compares with what it was told.
type Standing int

// The standings.
const (
	Newcomer Standing = iota // nothing was promised, or the room is no longer held
	Early                    // the caller returns before its time, and has no advantage
	AsTold
)

// Ledger holds promises by the keys of requests. The zero value is an empty ledger.
type Ledger struct {
	promises map[string]Promise
}

// Make records a promise. A later promise to the same request replaces the earlier one.
func (l *Ledger) Make(now queue.Instant, key string, p Promise) {
	l.prune(now)
	if _, known := l.promises[key]; !known && len(l.promises) >= maxPromises {
		return
	}
	if l.promises == nil {
		l.promises = make(map[string]Promise)
	}
	l.promises[key] = p
}

// Redeem returns the standing of a request that has come, and ends its promise unless it is early.
func (l *Ledger) Redeem(now queue.Instant, key string) Standing {
	p, ok := l.promises[key]
	switch {
	case !ok:
		return Newcomer
	case now.Before(p.At.Add(-earlyTolerance)):
		return Early
	}
	delete(l.promises, key)
	if now.After(p.At.Add(Hold)) || p.Cost == 0 {
		return Newcomer
	}
	return AsTold
}

// Get returns what a refused request was told, and whether it is known.
func (l *Ledger) Get(key string) (Promise, bool) {
	p, ok := l.promises[key]
	return p, ok
}

// Len returns the number of promises for which room is held.
func (l *Ledger) Len(now queue.Instant) int {
	n := 0
	for _, p := range l.promises {
		if p.Cost > 0 && !now.After(p.At.Add(Hold)) {
			n++
		}
	}
	return n
}

// Withdraw ends the promise to a request that is served before its time.
func (l *Ledger) Withdraw(key string) { delete(l.promises, key) }

// Outstanding returns the cost promised to requests of a rank and of more urgent ones.
func (l *Ledger) Outstanding(now queue.Instant, rank int) float64 {
	return l.sum(now, rank, queue.Instant(1<<62))
}

// Due returns the cost promised to such requests whose time has come.
func (l *Ledger) Due(now queue.Instant, rank int) float64 {
	return l.sum(now, rank, now.Add(earlyTolerance))
}

func (l *Ledger) sum(now queue.Instant, rank int, until queue.Instant) float64 {
	sum := 0.0
	for _, p := range l.promises {
		if p.Rank <= rank && !p.At.After(until) && !now.After(p.At.Add(Hold)) {
			sum += p.Cost
		}
	}
	return sum
}

// prune ends the promises whose room is no longer held.
func (l *Ledger) prune(now queue.Instant) {
	for key, p := range l.promises {
		if now.After(p.At.Add(Hold)) {
			delete(l.promises, key)
		}
	}
}

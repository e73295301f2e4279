package engine

import (
	"context"
	"slices"
	"sync"
)

// prefillQueue lets one prefill run at a time, the most urgent first.
type prefillQueue struct {
	mu      sync.Mutex
	busy    bool
	waiting []*turn
}

type turn struct {
	priority int
	start    chan struct{}
}

// enter waits for the turn of a prefill; it returns false if the caller is gone before.
func (q *prefillQueue) enter(ctx context.Context, priority int) bool {
	q.mu.Lock()
	if !q.busy {
		q.busy = true
		q.mu.Unlock()
		return true
	}
	t := &turn{priority, make(chan struct{})}
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority > priority {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, t)
	q.mu.Unlock()
	select {
	case <-t.start:
		return true
	case <-ctx.Done():
		q.withdraw(t)
		return false
	}
}

func (q *prefillQueue) withdraw(t *turn) {
	q.mu.Lock()
	i := slices.Index(q.waiting, t)
	if i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.mu.Unlock()
	if i < 0 { // its turn came just now
		q.leave()
	}
}

// leave lets the next prefill run.
func (q *prefillQueue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.busy = false
		return
	}
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	close(next.start)
}

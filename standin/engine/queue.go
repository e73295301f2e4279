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
	waiting []*waiter
}

type waiter struct {
	priority int
	start    chan struct{}
}

// acquire waits for the turn of a prefill; it returns false if the caller is gone before.
func (q *prefillQueue) acquire(ctx context.Context, priority int) bool {
	q.mu.Lock()
	if !q.busy {
		q.busy = true
		q.mu.Unlock()
		return true
	}
	w := &waiter{priority, make(chan struct{})}
	position := len(q.waiting)
	for position > 0 && q.waiting[position-1].priority > priority {
		position--
	}
	q.waiting = slices.Insert(q.waiting, position, w)
	q.mu.Unlock()
	select {
	case <-w.start:
		return true
	case <-ctx.Done():
		q.cancelWait(w)
		return false
	}
}

func (q *prefillQueue) cancelWait(w *waiter) {
	q.mu.Lock()
	i := slices.Index(q.waiting, w)
	if i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.mu.Unlock()
	if i < 0 { // its turn came just now
		q.release()
	}
}

// release lets the next prefill run.
func (q *prefillQueue) release() {
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

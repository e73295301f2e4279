package engine

import (
	"context"
	"slices"
	"sync"
)

// prefillQueue lets one prefill run at a time, in order of priority (lower numbers first) and then of arrival.
type prefillQueue struct {
	mu      sync.Mutex
	busy    bool      // a prefill is running
	waiting []*waiter // in the order in which they will run
}

// waiter is a prefill that waits to run.
type waiter struct {
	priority int
	start    chan struct{} // closed when the prefill may run
}

// acquire waits until the prefill may run. It returns false if the context ends before.
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

// cancelWait removes a waiter from the queue. If release has started it meanwhile, the next waiter is started instead.
func (q *prefillQueue) cancelWait(w *waiter) {
	q.mu.Lock()
	i := slices.Index(q.waiting, w)
	if i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.mu.Unlock()
	if i < 0 { // release has started it
		q.release()
	}
}

// release ends a prefill and starts the next one.
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

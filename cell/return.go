package cell

import (
	"sync"
	"time"

	"teaselgate/promise"
	"teaselgate/shutdown"
)

// Callers that are refused return once. If all that are refused in a burst are told the same time, they return into the same
// wall. The functions below tell each the time at which its request will have room behind what waits and what was promised to
// those before, and hold the room for a moment.

// promiseReturn returns the time after which a refused request is to be repeated: behind the late requests that wait, and behind
// those whose callers were told to return. It holds room for the request if the caller can wait that long.
// A caller whose instance is stopping returns at once, by another instance, and keeps its place.
func (c *Core) promiseReturn(now instant, w *waitingRequest, wait time.Duration) time.Duration {
	r := w.request
	if r.Stopping {
		return c.promiseReturnElsewhere(now, w)
	}
	if !r.Ordered || r.Return == "" {
		return retryIn(wait)
	}
	if rate := c.lateRate(w); rate > 0 {
		wait += seconds((c.promises.Outstanding(now, w.Rank) + w.Cost) / rate)
	}
	wait = retryIn(wait)
	p := promise.Promise{Rank: w.Rank, Cost: w.Cost, First: w.first, At: now.Add(wait)}
	if r.ReturnWithin > 0 && wait > r.ReturnWithin {
		p.Cost = 0
	}
	c.promises.Make(now, r.Return, p)
	return wait
}

// promiseReturnElsewhere holds the room of a request that is refused because its instance is stopping.
func (c *Core) promiseReturnElsewhere(now instant, w *waitingRequest) time.Duration {
	if w.request.Ordered && w.request.Return != "" {
		c.promises.Make(now, w.request.Return, promise.Promise{
			Rank: w.Rank, Cost: w.Cost, First: w.first, At: now.Add(shutdown.RetryAfter),
		})
	}
	return shutdown.RetryAfter
}

// firstArrival returns when a request came first: before the refusal after which its caller has returned, if that is known.
func (c *Core) firstArrival(now instant, request PlaceRequest) instant {
	arrived := now.Add(-request.Waited)
	if p, ok := c.promises.Get(request.Return); ok && request.Return != "" {
		return min(arrived, p.First)
	}
	return arrived
}

// queueReturned gives a request whose caller returns as told the room that was promised: it waits ahead of the other late
// ones of its rank, and is not refused for their number.
func (c *Core) queueReturned(w *waitingRequest) {
	w.Returned = true
	c.markLate(w)
}

// heldPromise is a promise that an instance has passed on to a caller.
type heldPromise struct {
	Promise promise.Promise // its times are on no clock; see the fields below
	In      time.Duration   // time until the caller may return
	Since   time.Duration   // time since the request came first
}

// promiseSet holds the promises that an instance has passed on, for a dispatcher that follows the one that made them.
type promiseSet struct {
	mu    sync.Mutex
	cells map[ID]map[string]passedPromise // by key of the request
}

type passedPromise struct {
	rank  int
	cost  float64
	first time.Time
	at    time.Time
}

func newPromiseSet() *promiseSet { return &promiseSet{cells: make(map[ID]map[string]passedPromise)} }

// record records a promise to a caller of this instance, and drops those that no longer hold.
func (s *promiseSet) record(id ID, key string, p passedPromise, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cells[id] == nil {
		s.cells[id] = make(map[string]passedPromise)
	}
	for k, old := range s.cells[id] {
		if now.Sub(old.at) > promise.Hold {
			delete(s.cells[id], k)
		}
	}
	s.cells[id][key] = p
}

// list returns the promises of a cell that still hold.
func (s *promiseSet) list(id ID, now time.Time) map[string]heldPromise {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out map[string]heldPromise
	for key, p := range s.cells[id] {
		if now.Sub(p.at) > promise.Hold {
			continue
		}
		if out == nil {
			out = make(map[string]heldPromise)
		}
		out[key] = heldPromise{promise.Promise{Rank: p.rank, Cost: p.cost}, p.at.Sub(now), now.Sub(p.first)}
	}
	return out
}

// adoptPromises takes the promises that an earlier dispatcher made.
func (d *dispatcher) adoptPromises(now time.Time, promises map[string]heldPromise) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.coreTime(now)
	for key, p := range promises {
		p.Promise.At, p.Promise.First = at.Add(p.In), at.Add(-p.Since)
		d.core.promises.Make(at, key, p.Promise)
	}
}

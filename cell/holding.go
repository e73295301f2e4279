package cell

import (
	"context"
	"sync"
	"time"
)

// Holding is a place that an instance holds. A new dispatcher learns from the instances which places were given.
type Holding struct {
	Key          string
	Decode       string
	PromptTokens int
	MaxTokens    int // of the answer, as estimated
	Ceiling      int // of MaxTokens
}

// HoldingsArgs asks an instance for the places that it holds in a cell.
type HoldingsArgs struct {
	Cell ID
}

// HoldingsReply lists them.
type HoldingsReply struct {
	Holdings []Holding
}

// AdoptArgs tells a dispatcher of a place that another one gave.
type AdoptArgs struct {
	Cell    ID
	Holding Holding
}

// AdoptReply answers AdoptArgs.
type AdoptReply struct{}

// gatherTimeout bounds the wait of a new dispatcher for the instances; those that are gone hold nothing.
const gatherTimeout = 150 * time.Millisecond

// book keeps the places that an instance holds.
type book struct {
	mu    sync.Mutex
	cells map[ID]map[string]Holding
}

func newBook() *book { return &book{cells: make(map[ID]map[string]Holding)} }

func (b *book) add(id ID, h Holding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cells[id] == nil {
		b.cells[id] = make(map[string]Holding)
	}
	b.cells[id][h.Key] = h
}

func (b *book) remove(id ID, key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.cells[id], key)
}

// list returns the places at a cell's pools, those of other shares too: servers change shares when a pool grows.
func (b *book) list(id ID) []Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Holding
	for other, holdings := range b.cells {
		if other.Prefill != id.Prefill || other.Decode != id.Decode {
			continue
		}
		for _, h := range holdings {
			out = append(out, h)
		}
	}
	return out
}

// Holdings answers with the places that this instance holds in a cell.
func (r *Receiver) Holdings(args HoldingsArgs, reply *HoldingsReply) error {
	reply.Holdings = r.hub.holdings.list(args.Cell)
	return nil
}

// Adopt takes in a place that another dispatcher gave.
func (r *Receiver) Adopt(args AdoptArgs, _ *AdoptReply) error {
	r.hub.Adopt(args)
	return nil
}

// Adopt takes in a place that another dispatcher gave.
func (h *Hub) Adopt(args AdoptArgs) {
	h.mu.Lock()
	d := h.cells[args.Cell]
	h.mu.Unlock()
	if d != nil {
		d.adopt(h.Now(), []Holding{args.Holding}, false)
	}
}

// gather lets a new dispatcher place once the instances have told what they hold, or have not in time.
func (h *Hub) gather(d *dispatcher) {
	ctx, stop := context.WithTimeout(context.Background(), gatherTimeout)
	defer stop()
	var asks sync.WaitGroup
	for _, address := range h.Peers() {
		asks.Go(func() {
			var reply HoldingsReply
			if h.Call(ctx, address, RPCName+".Holdings", HoldingsArgs{Cell: d.id}, &reply) == nil {
				d.adopt(h.Now(), reply.Holdings, false)
			}
		})
	}
	d.adopt(h.Now(), h.holdings.list(d.id), false)
	asks.Wait()
	d.adopt(h.Now(), nil, true)
	h.nudge()
}

func (d *dispatcher) adopt(now time.Time, holdings []Holding, last bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range holdings {
		d.core.Adopt(d.clock(now), h)
	}
	d.core.complete = d.core.complete || last
}

// Adopt books a place that another dispatcher gave.
func (c *Core) Adopt(now instant, h Holding) {
	d := c.decode(h.Decode)
	if _, known := c.placed[h.Key]; known || d == nil {
		return
	}
	d.advance(now)
	r := &reservation{
		key: h.Key, decode: d, promptTokens: h.PromptTokens, maxTokens: h.MaxTokens, ceiling: h.Ceiling, placed: now,
		pieces: c.piecesOf(Ask{PromptTokens: h.PromptTokens, MaxTokens: h.MaxTokens}),
	}
	r.deadline = now.Add(seconds(float64(r.maxTokens) * d.steps.step(d.slots))).Add(placeLife)
	d.add(r, 0)
	c.placed[h.Key] = r
}

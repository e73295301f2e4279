package cell

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"teaselgate/rule"
)

// baselinePrefill is the time that a prefill may take where nothing predicts it, a wait in the server's queue included.
const baselinePrefill = time.Second

// LocalPlacer places requests by what this instance alone has seen: round robin, least requests or
// the better of two by peak-sensitive latency. Its exported fields are set before use.
type LocalPlacer struct {
	Rules  func() *rule.Set
	Now    func() time.Time
	Random func(n int) int // a number from 0 to n-1

	directory directory
	mu        sync.Mutex
	next      map[string]int       // round robin position by pool
	servers   map[string]*peakEWMA // by server
}

// NewLocalPlacer returns a placer that reads the servers from the rules.
func NewLocalPlacer(rules func() *rule.Set) *LocalPlacer {
	return &LocalPlacer{
		Rules:   rules,
		Now:     time.Now,
		Random:  rand.IntN,
		next:    make(map[string]int),
		servers: make(map[string]*peakEWMA),
	}
}

// Place picks a prefill and a decode server independently of each other.
func (b *LocalPlacer) Place(_ context.Context, r Request) (*Placement, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	prefill, err := b.pick(r.Model.Prefill, r)
	if err != nil {
		return nil, err
	}
	decode, err := b.pick(r.Model.Decode, r)
	if err != nil {
		return nil, err
	}
	b.server(prefill.Server).pending++
	b.server(decode.Server).pending++
	placed := b.Now()
	release := func(report Report) { b.release(prefill, decode, placed, report) }
	return &Placement{Prefill: prefill, Decode: decode, Inputs: Inputs{Prefill: baselinePrefill}, release: release}, nil
}

// release takes in how an attempt went. A decode server's latency is its time per token, which
// does not depend on the length of the answer.
func (b *LocalPlacer) release(prefill, decode rule.Server, placed time.Time, r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	p, d := b.server(prefill.Server), b.server(decode.Server)
	p.pending--
	d.pending--
	if !r.Prefilled.IsZero() {
		p.observe(now, r.Prefilled.Sub(placed))
	}
	if !r.Imported.IsZero() && r.Generated > 0 {
		d.observe(now, r.Ended.Sub(r.Imported)/time.Duration(r.Generated))
	}
}

func (b *LocalPlacer) server(name string) *peakEWMA {
	s, ok := b.servers[name]
	if !ok {
		s = &peakEWMA{}
		b.servers[name] = s
	}
	return s
}

// pick chooses a live server; the caller holds the lock.
func (b *LocalPlacer) pick(pool string, r Request) (rule.Server, error) {
	live := b.directory.live(b.Rules(), pool, r.Exclude)
	if len(live) == 0 {
		return rule.Server{}, noServer.New("cell: no live server in pool %s", pool)
	}
	start := b.next[pool] % len(live)
	b.next[pool]++
	switch r.Model.Place {
	case rule.PlacementRoundRobin:
		return live[start], nil
	case rule.PlacementEWMA:
		now := b.Now()
		score := func(i int) float64 { return b.server(live[i].Server).score(now) }
		return live[chooseTwo(len(live), b.Random, score)], nil
	default:
		return b.least(live, start), nil
	}
}

// least returns the server with the fewest requests; among equals it goes round from start.
func (b *LocalPlacer) least(live []rule.Server, start int) rule.Server {
	best := live[start]
	for i := range live {
		s := live[(start+i)%len(live)]
		if b.server(s.Server).pending < b.server(best.Server).pending {
			best = s
		}
	}
	return best
}

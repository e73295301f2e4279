package cell

import (
	"context"
	"slices"
	"sync"

	"teaselgate/rule"
)

// Baseline places requests by counts of this instance alone: round robin or least requests.
type Baseline struct {
	Rules func() *rule.Set

	mu       sync.Mutex
	next     map[string]int // round robin position by pool
	requests map[string]int // running requests by server
}

// NewBaseline returns a placer that reads the servers from the rules.
func NewBaseline(rules func() *rule.Set) *Baseline {
	return &Baseline{Rules: rules, next: make(map[string]int), requests: make(map[string]int)}
}

// Place picks a prefill and a decode server independently of each other.
func (b *Baseline) Place(_ context.Context, r Request) (*Placement, error) {
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
	b.requests[prefill.Server]++
	b.requests[decode.Server]++
	release := func(Report) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.requests[prefill.Server]--
		b.requests[decode.Server]--
	}
	return &Placement{Prefill: prefill, Decode: decode, release: release}, nil
}

// PickPlain picks a server of a pool of plain services.
func (b *Baseline) PickPlain(pool string, exclude []string) (rule.Server, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pick(pool, Request{Exclude: exclude})
}

// pick chooses a live server; the caller holds the lock.
func (b *Baseline) pick(pool string, r Request) (rule.Server, error) {
	var live []rule.Server
	for _, s := range b.Rules().Servers(pool) {
		if s.State == rule.Live && !slices.Contains(r.Exclude, s.Server) {
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		return rule.Server{}, noServer.New("cell: no live server in pool %s", pool)
	}
	start := b.next[pool] % len(live)
	b.next[pool]++
	if r.Model.Place == rule.PlaceRobin {
		return live[start], nil
	}
	best := live[start]
	for i := range live {
		s := live[(start+i)%len(live)]
		if b.requests[s.Server] < b.requests[best.Server] {
			best = s
		}
	}
	return best, nil
}

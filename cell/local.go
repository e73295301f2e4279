package cell

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"teaselgate/rule"
	"teaselgate/shutdown"
	"teaselgate/slot"
)

// defaultPrefillTime is the time until the end of the prefill that local policies report, since they do not predict it.
// It includes the wait in the server's queue.
const defaultPrefillTime = time.Second

// LocalPlacer places requests by what this instance alone has observed: round robin, least requests, or the better of
// two random servers by their peak EWMA of latency. Set the exported fields before use.
type LocalPlacer struct {
	Rules  func() *rule.Set
	Now    func() time.Time
	Random func(n int) int // returns a random number in [0, n)

	directory rule.Directory
	mu        sync.Mutex
	nextIndex map[string]int            // next round robin index, by pool
	servers   map[string]*slot.PeakEWMA // by server name
}

// NewLocalPlacer returns a placer that takes its servers from the rules.
func NewLocalPlacer(rules func() *rule.Set) *LocalPlacer {
	return &LocalPlacer{
		Rules:     rules,
		Now:       time.Now,
		Random:    rand.IntN,
		nextIndex: make(map[string]int),
		servers:   make(map[string]*slot.PeakEWMA),
	}
}

// Place chooses a prefill and a decode server independently of each other.
func (l *LocalPlacer) Place(_ context.Context, r Request) (*Placement, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	prefill, err := l.pick(r.Model.Prefill, r)
	if err != nil {
		return nil, err
	}
	decode, err := l.pick(r.Model.Decode, r)
	if err != nil {
		return nil, err
	}
	l.server(prefill.Server).Pending++
	l.server(decode.Server).Pending++
	placed := l.Now()
	release := func(report Report) { l.release(prefill, decode, placed, report) }
	return &Placement{Prefill: prefill, Decode: decode, Inputs: Inputs{Prefill: defaultPrefillTime}, release: release}, nil
}

// release records the outcome of an attempt. The latency of a decode server is its time per token, which does not
// depend on the length of the output.
func (l *LocalPlacer) release(prefill, decode rule.Server, placed time.Time, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	p, d := l.server(prefill.Server), l.server(decode.Server)
	p.Pending--
	d.Pending--
	if !r.Prefilled.IsZero() {
		p.Observe(now, r.Prefilled.Sub(placed))
	}
	if !r.Imported.IsZero() && r.Generated > 0 {
		d.Observe(now, r.Ended.Sub(r.Imported)/time.Duration(r.Generated))
	}
}

func (l *LocalPlacer) server(name string) *slot.PeakEWMA {
	s, ok := l.servers[name]
	if !ok {
		s = &slot.PeakEWMA{}
		l.servers[name] = s
	}
	return s
}

// pick returns a live server of a pool. The caller holds l.mu.
func (l *LocalPlacer) pick(pool string, r Request) (rule.Server, error) {
	live := l.directory.Live(l.Rules(), pool, slices.Concat(r.Exclude, r.Avoid))
	if len(live) == 0 {
		return rule.Server{}, noServer.New("cell: no live server in pool %s", pool)
	}
	start := l.nextIndex[pool] % len(live)
	l.nextIndex[pool]++
	switch r.Model.Place {
	case rule.PlacementRoundRobin:
		return live[start], nil
	case rule.PlacementEWMA:
		now := l.Now()
		score := func(i int) float64 { return l.server(live[i].Server).Score(now) }
		return live[slot.BetterOfTwo(len(live), l.Random, score)], nil
	default:
		return l.leastLoaded(live, start), nil
	}
}

// leastLoaded returns the server with the fewest outstanding requests, and among equals the first one from index start.
func (l *LocalPlacer) leastLoaded(live []rule.Server, start int) rule.Server {
	best := live[start]
	for i := range live {
		s := live[(start+i)%len(live)]
		if l.server(s.Server).Pending < l.server(best.Server).Pending {
			best = s
		}
	}
	return best
}

// placeLocally places a request by a local policy, unless this instance is stopping and the longest response may be cut.
func (p *Placer) placeLocally(ctx context.Context, r Request) (*Placement, error) {
	longest := time.Duration(max(r.LongestOutput, r.MaxTokens)) * p.paces.of(r.Model.Decode)
	now, shutdownAt := p.Local.Now(), p.ShutdownDeadline()
	endsBefore := !r.Deadline.IsZero() && !r.Deadline.After(shutdownAt) ||
		longest > 0 && !now.Add(defaultPrefillTime+longest).After(shutdownAt)
	if !shutdownAt.IsZero() && !endsBefore {
		return nil, &Refusal{
			Err:     shed.New("cell: the time is too short for an answer: its instance shuts down before"),
			RetryAt: now.Add(shutdown.RetryAfter),
		}
	}
	placement, err := p.Local.Place(ctx, r)
	if err != nil {
		return nil, err
	}
	placement.Inputs.Longest = longest
	release := placement.release
	placement.release = func(report Report) {
		p.paces.observe(r.Model.Decode, report)
		release(report)
	}
	return placement, nil
}

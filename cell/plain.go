package cell

import (
	"math/rand/v2"
	"sync"
	"time"

	"teaselgate/rule"
)

// Pauses of a plain server that failed, before it is tried again.
const (
	minPause = time.Second
	maxPause = 30 * time.Second
)

// Plain picks servers of plain services: the better of two by peak-sensitive latency among those
// that work. It shares nothing with the placing of model work. Its exported fields are set before use.
type Plain struct {
	Rules  func() *rule.Set
	Now    func() time.Time
	Random func(n int) int

	directory directory
	mu        sync.Mutex
	servers   map[string]*plainServer
}

type plainServer struct {
	latency peakEWMA
	pause   time.Duration
	retry   time.Time // when the server is tried again; zero while it works
}

// NewPlain returns a picker that reads the servers from the rules.
func NewPlain(rules func() *rule.Set) *Plain {
	return &Plain{Rules: rules, Now: time.Now, Random: rand.IntN, servers: make(map[string]*plainServer)}
}

// PickPlain picks a server of a pool; PlainDone follows when it has answered.
func (p *Plain) PickPlain(pool string, exclude []string) (rule.Server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.directory.live(p.Rules(), pool, exclude)
	if len(live) == 0 {
		return rule.Server{}, noServer.New("cell: no live server in pool %s", pool)
	}
	now := p.Now()
	candidates := p.working(live, now)
	score := func(i int) float64 { return p.server(candidates[i].Server).latency.score(now) }
	picked := candidates[chooseTwo(len(candidates), p.Random, score)]
	s := p.server(picked.Server)
	s.latency.pending++
	if !s.retry.IsZero() {
		// One call tries a paused server; the next ones wait for its result.
		s.retry = now.Add(s.pause)
	}
	return picked, nil
}

// working leaves out paused servers, unless all are paused.
func (p *Plain) working(live []rule.Server, now time.Time) []rule.Server {
	out := make([]rule.Server, 0, len(live))
	for _, s := range live {
		if !p.server(s.Server).retry.After(now) {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return live
	}
	return out
}

// PlainDone takes in how a call went; took is the time to the answer's head.
func (p *Plain) PlainDone(server string, took time.Duration, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(server)
	s.latency.pending--
	if !failed {
		s.latency.observe(p.Now(), took)
		s.pause, s.retry = 0, time.Time{}
		return
	}
	s.pause = min(max(2*s.pause, minPause), maxPause)
	s.retry = p.Now().Add(s.pause)
}

func (p *Plain) server(name string) *plainServer {
	s, ok := p.servers[name]
	if !ok {
		s = &plainServer{}
		p.servers[name] = s
	}
	return s
}

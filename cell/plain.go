package cell

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"teaselgate/rule"
)

// Pauses of a plain server that failed, before it is tried again.
const (
	minPause = time.Second
	maxPause = 30 * time.Second
)

// PlainPicker picks servers of plain services: the better of two by peak-sensitive latency among those
// that work. It shares nothing with the placing of model work. Its exported fields are set before use.
type PlainPicker struct {
	Rules  func() *rule.Set
	Now    func() time.Time
	Random func(n int) int

	directory directory
	mu        sync.Mutex
	servers   map[string]*plainServer
}

// Result is how a plain server dealt with a request.
type Result int

// The results of requests to plain servers.
const (
	Answered    Result = iota
	ServerError        // it answered with an error of its own
	Failed             // no whole answer came, or nothing could be sent
)

// ResultFromResponse returns the result of a request by its answer, or by the error that came instead.
func ResultFromResponse(response *http.Response, err error) Result {
	switch {
	case err != nil:
		return Failed
	case response.StatusCode >= http.StatusInternalServerError:
		return ServerError
	default:
		return Answered
	}
}

type plainServer struct {
	latency     peakEWMA
	errors      errorRate
	pause       time.Duration
	pausedUntil time.Time // when the server is tried again; zero while it works
}

// NewPlainPicker returns a picker that reads the servers from the rules.
func NewPlainPicker(rules func() *rule.Set) *PlainPicker {
	return &PlainPicker{Rules: rules, Now: time.Now, Random: rand.IntN, servers: make(map[string]*plainServer)}
}

// Pick picks a server of a pool; PlainDone follows when it has answered.
func (p *PlainPicker) Pick(pool string, exclude []string) (rule.Server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.directory.live(p.Rules(), pool, exclude)
	if len(live) == 0 {
		return rule.Server{}, noServer.New("cell: no live server in pool %s", pool)
	}
	now := p.Now()
	candidates := p.unpaused(live, now)
	picked := candidates[p.choose(now, candidates)]
	s := p.server(picked.Server)
	s.latency.pending++
	if !s.pausedUntil.IsZero() {
		// One call tries a paused server; the next ones wait for its result.
		s.pausedUntil = now.Add(s.pause)
	}
	return picked, nil
}

// choose returns the better of two servers at random, or of three if that one often fails.
func (p *PlainPicker) choose(now time.Time, servers []rule.Server) int {
	n := len(servers)
	if n < 2 {
		return 0
	}
	first, second := p.Random(n), 1+p.Random(n-1) // the others are counted from the first
	best := p.better(now, servers, first, (first+second)%n)
	if n == 2 || p.server(servers[best].Server).errors.current(now) < thirdChoiceErrorRate {
		return best
	}
	third := 1 + p.Random(n-2)
	if third >= second {
		third++
	}
	return p.better(now, servers, best, (first+third)%n)
}

func (p *PlainPicker) better(now time.Time, servers []rule.Server, a, b int) int {
	if p.server(servers[b].Server).score(now) < p.server(servers[a].Server).score(now) {
		return b
	}
	return a
}

// working leaves out paused servers, unless all are paused.
func (p *PlainPicker) unpaused(live []rule.Server, now time.Time) []rule.Server {
	out := make([]rule.Server, 0, len(live))
	for _, s := range live {
		if !p.server(s.Server).pausedUntil.After(now) {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return live
	}
	return out
}

// score is the expected cost of a request: its time, and what its failure would cost.
func (s *plainServer) score(now time.Time) float64 {
	return s.latency.score(now) + errorCost.Seconds()*s.errors.current(now)
}

// RecordResult takes in how a call went; took is the time to the answer's head.
func (p *PlainPicker) RecordResult(server string, latency time.Duration, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	s := p.server(server)
	s.latency.pending--
	s.errors.observe(now, result != Answered)
	switch result {
	case Answered:
		s.latency.observe(now, latency)
		s.pause, s.pausedUntil = 0, time.Time{}
	case ServerError:
		s.pause, s.pausedUntil = 0, time.Time{}
	case Failed:
		s.pause = min(max(2*s.pause, minPause), maxPause)
		s.pausedUntil = now.Add(s.pause)
	}
}

func (p *PlainPicker) server(name string) *plainServer {
	s, ok := p.servers[name]
	if !ok {
		s = &plainServer{}
		p.servers[name] = s
	}
	return s
}

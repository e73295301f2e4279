// Package slot finds servers of plain services for requests. An instance that sees few of a service's requests can't know how
// busy its servers are, so there one instance, the keeper of the service, gives out the slots for all.
package slot

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"teaselgate/rule"
)

// Pauses of a server after failures.
const (
	minPause = time.Second
	maxPause = 30 * time.Second
)

// Picker picks servers of plain services: the better of two random servers by latency and errors, among those that
// are not paused. It is independent of the placement of model requests. Set the exported fields before use.
type Picker struct {
	Rules  func() *rule.Set
	Now    func() time.Time
	Random func(n int) int

	directory rule.Directory
	mu        sync.Mutex
	servers   map[string]*plainServer
}

// Result is the outcome of a request to a plain server.
type Result int

// Results of requests to plain servers.
const (
	Answered    Result = iota
	ServerError        // the server answered with a 5xx status
	Failed             // the request could not be sent, or no complete response came
)

// ResultFromResponse returns the result of a request from its response, or from the error if there is none.
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
	latency     PeakEWMA
	errors      errorRate
	pause       time.Duration // length of the last pause; 0 while the server works
	pausedUntil time.Time     // end of the pause; zero while the server works
}

// NewPicker returns a picker that takes its servers from the rules.
func NewPicker(rules func() *rule.Set) *Picker {
	return &Picker{Rules: rules, Now: time.Now, Random: rand.IntN, servers: make(map[string]*plainServer)}
}

// Pick returns a server of a pool. The caller calls RecordResult when the request has ended.
func (p *Picker) Pick(pool string, exclude []string) (rule.Server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.directory.Live(p.Rules(), pool, exclude)
	if len(live) == 0 {
		return rule.Server{}, noServer.New("slot: no live server in pool %s", pool)
	}
	now := p.Now()
	candidates := p.unpaused(live, now)
	picked := candidates[p.choose(now, candidates)]
	s := p.server(picked.Server)
	s.latency.Pending++
	if !s.pausedUntil.IsZero() {
		// One request tries the paused server; the next ones avoid it until its result.
		s.pausedUntil = now.Add(s.pause)
	}
	return picked, nil
}

// Take counts a request that another instance gave a slot of a server.
func (p *Picker) Take(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(server).latency.Pending++
}

// Unpick takes back a Pick: the request was not sent to the server.
func (p *Picker) Unpick(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(server)
	s.latency.Pending--
	if !s.pausedUntil.IsZero() {
		s.pausedUntil = p.Now() // another request may try the paused server
	}
}

// choose returns the index of the better of two random servers, or of three if the better one often fails.
func (p *Picker) choose(now time.Time, servers []rule.Server) int {
	n := len(servers)
	if n < 2 {
		return 0
	}
	first, secondOffset := p.Random(n), 1+p.Random(n-1) // offsets from first keep the servers different
	best := p.better(now, servers, first, (first+secondOffset)%n)
	if n == 2 || p.server(servers[best].Server).errors.current(now) < thirdChoiceErrorRate {
		return best
	}
	thirdOffset := 1 + p.Random(n-2)
	if thirdOffset >= secondOffset {
		thirdOffset++
	}
	return p.better(now, servers, best, (first+thirdOffset)%n)
}

func (p *Picker) better(now time.Time, servers []rule.Server, a, b int) int {
	if p.server(servers[b].Server).score(now) < p.server(servers[a].Server).score(now) {
		return b
	}
	return a
}

// unpaused returns the servers that are not paused, or all servers if all are paused.
func (p *Picker) unpaused(live []rule.Server, now time.Time) []rule.Server {
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

// score returns the expected cost of a request in seconds: its latency and the cost of a failure.
func (s *plainServer) score(now time.Time) float64 {
	return s.latency.Score(now) + errorCost.Seconds()*s.errors.current(now)
}

// RecordResult records the result of a request; latency is the time to the header of the response.
func (p *Picker) RecordResult(server string, latency time.Duration, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	s := p.server(server)
	s.latency.Pending--
	s.errors.observe(now, result != Answered, errorSampleWeight)
	switch result {
	case Answered:
		s.latency.Observe(now, latency)
		s.pause, s.pausedUntil = 0, time.Time{}
	case ServerError:
		s.pause, s.pausedUntil = 0, time.Time{}
	case Failed:
		s.pause = min(max(2*s.pause, minPause), maxPause)
		s.pausedUntil = now.Add(s.pause)
	}
}

// Running returns the number of requests at each server, by name.
func (p *Picker) Running() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.servers))
	for name, s := range p.servers {
		if s.latency.Pending > 0 {
			out[name] = s.latency.Pending
		}
	}
	return out
}

func (p *Picker) server(name string) *plainServer {
	s, ok := p.servers[name]
	if !ok {
		s = &plainServer{}
		p.servers[name] = s
	}
	return s
}

package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
)

// Sizes and times of planned stops.
const (
	stopRounds   = 4
	stopClients  = 60
	stopInterval = 2 * time.Second         // mean time between two stops; the longest grace period is four times as long
	stopWork     = 1700 * time.Millisecond // of a plain server: longer than a head may take, so that stops find requests in flight
	stopSlack    = 200 * time.Millisecond  // a request whose connection ends sooner may have crossed the end of an idle connection
)

// gracePeriods are those of the instances, in turn.
var gracePeriods = []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second}

// stopInSeries stops and starts instances one after another while others reread their settings or get a new configuration, so
// that all of this overlaps. Nothing else disturbs them. Clients use their open connections until these are closed.
func (s *Soak) stopInSeries(ctx context.Context, env *environment, clients *clients) {
	random := rand.New(rand.NewPCG(s.Seed, 98))
	setDelay := func(delay time.Duration) {
		for _, server := range env.servers {
			if server.service == caller.PlainService {
				server.backend.SetFaults(backend.Faults{ResponseDelay: delay})
			}
		}
	}
	setDelay(stopWork)
	defer setDelay(0)
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stopTraffic()
	for n := range stopClients {
		running.Go(func() { clients.runThroughStops(trafficCtx, n) })
	}
	for round := range stopRounds {
		wait(ctx, time.Duration(random.Int64N(int64(2*stopInterval))))
		stopped := env.processes[(int(s.Seed)+round)%len(env.processes)]
		stopped.stop(syscall.SIGTERM)
		if err := stopped.start(); err != nil { // once it has ended
			fmt.Fprintln(s.Out, err)
		}
		env.processes[random.IntN(len(env.processes))].reload()
		if random.IntN(2) == 0 {
			if err := env.configure(ctx); err != nil && ctx.Err() == nil {
				fmt.Fprintln(s.Out, err)
			}
		}
	}
	wait(ctx, gracePeriods[len(gracePeriods)-1])
}

// stopResult is a request that was sent while instances stopped.
type stopResult struct {
	id       string
	took     time.Duration
	answered bool  // whether the header of a response came
	err      error // why no complete response came; nil if one did
}

// runThroughStops sends requests over kept connections until the context ends.
func (c *clients) runThroughStops(ctx context.Context, client int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(1000+client)))
	for n := 0; ctx.Err() == nil; n++ {
		res := c.sendThroughStops(random, fmt.Sprintf("s%d-%d", client, n))
		c.mu.Lock()
		c.stopResults = append(c.stopResults, res)
		c.mu.Unlock()
		wait(ctx, time.Duration(random.Int64N(int64(meanRequestPause))))
	}
}

func (c *clients) sendThroughStops(random *rand.Rand, id string) stopResult {
	ctx, stop := context.WithTimeout(context.Background(), requestTimeout)
	defer stop()
	path := requestPaths[random.IntN(len(requestPaths))]
	address := c.env.addresses[random.IntN(len(c.env.addresses))]
	method, text := http.MethodPost, "two lambs"
	headers := caller.Request{ID: id, Key: accountKey, Deadline: requestDeadline}
	switch {
	case strings.HasPrefix(path, "/status/"):
		method, text = http.MethodGet, ""
	case !strings.HasPrefix(path, "/order/"):
		headers.PromptTokens, headers.MaxOutputTokens, headers.LengthHint = promptTokens, 2*streamTokens, streamTokens
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(text))
	if err != nil {
		return stopResult{id: id, err: err}
	}
	req.GetBody, req.Host = nil, caller.Host
	headers.SetHeaders(req.Header)
	start := time.Now()
	resp, err := c.stopHTTP.Do(req)
	if err != nil {
		return stopResult{id: id, took: time.Since(start), err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return stopResult{id: id, took: time.Since(start), answered: true, err: err}
}

// checkStops checks that each request which an instance read during a planned stop got the header of a response. A stream that
// has begun may be cut at the end of the grace period.
func (c *clients) checkStops() {
	received := make(map[string]bool)
	for _, b := range c.env.servers {
		for _, request := range b.backend.Received() {
			received[request.ID] = true
		}
	}
	lost := 0
	for _, res := range c.stopResults {
		if !res.isLost(received[res.id]) {
			continue
		}
		if lost++; lost == 1 {
			c.addViolation("%s got no answer after %v, at a server: %v: %v", res.id, res.took, received[res.id], res.err)
		}
	}
	if lost > 1 {
		c.addViolation("%d of %d requests got no answer in planned stops", lost, len(c.stopResults))
	}
}

// isLost reports whether the request was read by an instance and got no answer.
func (r stopResult) isLost(received bool) bool {
	var op *net.OpError
	isRefused := errors.As(r.err, &op) && op.Op == "dial"
	return r.err != nil && !r.answered && !isRefused && (received || r.took > stopSlack)
}

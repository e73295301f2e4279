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
	lateClients  = 24                      // of each stop, which connect after its signal
	stopInterval = 2 * time.Second         // mean time between two stops; the longest grace period is four times as long
	stopWork     = 1700 * time.Millisecond // of a plain server: longer than a head may take, so that stops find requests in flight
	stopStream   = 3 * time.Second         // of a stream
	stopSlack    = 200 * time.Millisecond  // a request whose connection ends sooner may have crossed the end of an idle connection
)

// gracePeriods are those of the instances, in turn.
var gracePeriods = []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second}

// stopInSeries stops and starts instances one after another while others reread their settings or get a new configuration, so
// that all of this overlaps. Nothing else disturbs them. Clients use their open connections until these are closed.
func (s *Soak) stopInSeries(ctx context.Context, env *environment, clients *clients) {
	random := rand.New(rand.NewPCG(s.Seed, 98))
	setPace := func(delay, stream time.Duration) {
		for _, server := range env.servers {
			if server.service == caller.PlainService {
				server.backend.SetFaults(backend.Faults{ResponseDelay: delay})
			} else {
				server.backend.SetEventInterval(stream / streamEvents)
			}
		}
	}
	setPace(stopWork, stopStream)
	defer setPace(0, streamEvents*eventInterval)
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stopTraffic()
	for n := range stopClients {
		running.Go(func() { clients.runThroughStops(trafficCtx, n) })
	}
	wait(ctx, 4*stopStream) // until the pace of the engines, which has just changed, has been measured
	for round := range stopRounds {
		wait(ctx, time.Duration(random.Int64N(int64(2*stopInterval))))
		n := (int(s.Seed) + round) % len(env.processes)
		stopped := env.processes[n]
		ended := stopped.running()
		stopped.stop(syscall.SIGTERM)
		for client := range lateClients {
			running.Go(func() { clients.runAfterSignal(env.addresses[n], ended, round*lateClients+client) })
		}
		if random.IntN(2) == 0 {
			stopped.sendSignal(syscall.SIGTERM)
		}
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
	late     bool // whether it was sent after its instance got the signal to stop
	status   int
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

// runAfterSignal opens a connection to an instance that was told to stop, and uses it until the instance closes it. The first
// request comes at any time of the stop. The channel is closed when the process has ended.
func (c *clients) runAfterSignal(address string, ended <-chan struct{}, client int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(2000+client)))
	anyTime := func(most time.Duration) { time.Sleep(time.Duration(random.Int64N(int64(most)))) }
	anyTime(gracePeriods[len(gracePeriods)-1] / 3)
	if hasEnded(ended) {
		return // another process may have its address
	}
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		return // the instance accepts no connections any more
	}
	defer conn.Close()
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		if conn == nil {
			return nil, errConnUsed
		}
		out := conn
		conn = nil
		return out, nil
	}}
	defer transport.CloseIdleConnections()
	anyTime(gracePeriods[0])
	for n := 0; !hasEnded(ended); n++ {
		res := c.sendOnce(&http.Client{Transport: transport}, random, address, fmt.Sprintf("l%d-%d", client, n))
		if errors.Is(res.err, errConnUsed) {
			return
		}
		res.late = true
		c.mu.Lock()
		c.stopResults = append(c.stopResults, res)
		c.mu.Unlock()
		anyTime(meanRequestPause)
	}
}

// hasEnded reports whether a process has ended, by the channel that is closed then. A nil channel is that of no process.
func hasEnded(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	default:
		return ended == nil
	}
}

// errConnUsed means that a client has only one connection, which has ended.
var errConnUsed = errors.New("soak: the connection has ended")

func (c *clients) sendThroughStops(random *rand.Rand, id string) stopResult {
	return c.sendOnce(c.stopHTTP, random, c.env.addresses[random.IntN(len(c.env.addresses))], id)
}

// sendOnce sends a random request to an instance.
func (c *clients) sendOnce(client *http.Client, random *rand.Rand, address, id string) stopResult {
	ctx, stop := context.WithTimeout(context.Background(), requestTimeout)
	defer stop()
	path := requestPaths[random.IntN(len(requestPaths))]
	method, text := http.MethodPost, "two lambs"
	headers := caller.Request{ID: id, Key: accountKey, Deadline: requestDeadline}
	switch {
	case strings.HasPrefix(path, "/status/"):
		method, text = http.MethodGet, ""
	case !strings.HasPrefix(path, "/order/"):
		headers.PromptTokens, headers.MaxOutputTokens, headers.LengthHint = promptTokens, 2*streamTokens, streamTokens/2
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(text))
	if err != nil {
		return stopResult{id: id, err: err}
	}
	req.GetBody, req.Host = nil, caller.Host
	headers.SetHeaders(req.Header)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return stopResult{id: id, took: time.Since(start), err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return stopResult{id: id, took: time.Since(start), status: resp.StatusCode, answered: true, err: err}
}

// checkStops checks that each request which an instance read during a planned stop got the header of a response, and that each that
// was sent after the signal and passed on got a whole one. A stream that had begun before may be cut at the end of the grace period.
func (c *clients) checkStops() {
	received, ran := make(map[string]bool), make(map[string]bool)
	for _, b := range c.env.servers {
		for _, request := range b.backend.Received() {
			received[request.ID] = true
			ran[request.ID] = ran[request.ID] || request.Ran && !request.Prefill
		}
	}
	lost := 0
	for _, res := range c.stopResults {
		if res.late && res.answered && res.err != nil {
			c.addViolation("%s was sent after the signal to stop and cut after %v: %v", res.id, res.took, res.err)
		}
		if res.status == http.StatusServiceUnavailable && ran[res.id] {
			c.addViolation("%s was refused as not run and ran", res.id)
		}
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

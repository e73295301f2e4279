package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"teaselgate/standin/caller"
)

// Sizes of the traffic.
const (
	clientCount      = 12
	meanRequestPause = 30 * time.Millisecond
	requestTimeout   = 10 * time.Second
	streamEvents     = 12 // events, as the emulated engines make them
	cancelShare      = 0.1
	promptTokens     = 2000
	streamTokens     = 8 * streamEvents
	requestDeadline  = 9 * time.Second
	cancelAfter      = 60 * time.Millisecond
)

// result is one request with what its caller saw.
type result struct {
	id        string
	path      string
	status    int // 0 if there was no whole answer
	body      string
	cancelled bool // the caller left
}

// atMostOnce tells whether the request may run at most once.
func (c result) atMostOnce() bool {
	return strings.HasPrefix(c.path, "/order/") || strings.HasPrefix(c.path, "/draft/")
}

// rejected tells whether the answer states that the request has not run.
func (c result) rejected() bool {
	return c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
}

// clients send requests on kept connections and remember what they saw.
type clients struct {
	env  *environment
	http *http.Client
	seed uint64

	mu             sync.Mutex
	results        []result
	brokenPromises []string
	finalResults   []result // of the last requests, after all faults
}

func newClients(env *environment, seed uint64) *clients {
	return &clients{env: env, seed: seed, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientCount}}}
}

// run sends requests until the context ends; those that are under way are finished.
func (c *clients) run(ctx context.Context, client int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(100+client)))
	for n := 0; ctx.Err() == nil; n++ {
		res := c.send(random, fmt.Sprintf("c%d-%d", client, n), random.Float64() < cancelShare)
		c.mu.Lock()
		c.results = append(c.results, res)
		c.mu.Unlock()
		wait(ctx, time.Duration(random.Int64N(int64(2*meanRequestPause))))
	}
}

// sendFinal sends requests after all faults.
func (c *clients) sendFinal(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(c.seed, 99))
	for i := range n {
		if ctx.Err() != nil {
			return
		}
		c.finalResults = append(c.finalResults, c.send(random, fmt.Sprintf("last-%d", i), false))
	}
}

func (c *clients) send(random *rand.Rand, id string, cancels bool) result {
	path := []string{"/order/", "/status/", "/draft/", "/digest/"}[random.IntN(4)] + "1"
	address := c.env.addresses[random.IntN(len(c.env.addresses))]
	res := result{id: id, path: path, cancelled: cancels}
	timeout := requestTimeout
	if cancels {
		timeout = cancelAfter
	}
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	method, body := http.MethodPost, io.Reader(strings.NewReader("two lambs"))
	if path == "/status/1" {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return res
	}
	req.GetBody = nil // net/http must not send it again
	req.Host = caller.Host
	headers := caller.Request{ID: id, Key: accountKey, Deadline: requestDeadline}
	if path != "/order/1" && path != "/status/1" {
		headers.PromptTokens, headers.MaxOutputTokens, headers.LengthHint = promptTokens, 2*streamTokens, streamTokens
	}
	headers.SetHeaders(req.Header)
	resp, err := c.http.Do(req)
	if err != nil {
		return res
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return res
	}
	res.status, res.body = resp.StatusCode, string(text)
	return res
}

// check compares what callers saw with what servers saw, and returns the broken promises.
func (c *clients) check() []string {
	runs := make(map[string]int)
	for _, m := range c.env.servers {
		for _, seen := range m.server.Received() {
			if seen.Ran && !seen.Prefill {
				runs[seen.ID]++
			}
			if seen.HeadersContain(accountKey) {
				c.addBroken("%s reached %s with the caller's key", seen.ID, m.server.ID)
			}
			if seen.Account() != caller.Account {
				c.addBroken("%s reached %s for account %q", seen.ID, m.server.ID, seen.Account())
			}
		}
		if n := m.server.Running(); n > 0 {
			c.addBroken("%s still runs %d requests", m.server.ID, n)
		}
		if n := m.server.UsedTokens(); n > 0 {
			c.addBroken("%s still holds %d tokens", m.server.ID, n)
		}
	}
	c.mu.Lock()
	results := append(append([]result(nil), c.results...), c.finalResults...)
	c.mu.Unlock()
	for _, res := range results {
		c.checkResult(res, runs[res.id])
	}
	served := 0
	for _, res := range c.finalResults {
		if res.status == http.StatusOK {
			served++
		}
	}
	if float64(served) < minServedShare*float64(len(c.finalResults)) {
		c.addBroken("only %d of %d requests were served after all faults had ended", served, len(c.finalResults))
	}
	return c.brokenPromises
}

func (c *clients) checkResult(res result, runs int) {
	if res.atMostOnce() && runs > 1 {
		c.addBroken("%s %s ran %d times", res.id, res.path, runs)
	}
	if res.atMostOnce() && res.rejected() && runs > 0 {
		c.addBroken("%s %s was refused as not run, but ran", res.id, res.path)
	}
	if res.status != http.StatusOK {
		return
	}
	want := "whole answer of " + res.id
	if !strings.HasPrefix(res.path, "/order/") && !strings.HasPrefix(res.path, "/status/") {
		want = expectedStream(streamEvents)
	}
	if res.body != want {
		c.addBroken("%s %s got a wrong answer %.60q", res.id, res.path, res.body)
	}
}

func (c *clients) addBroken(format string, args ...any) {
	c.brokenPromises = append(c.brokenPromises, fmt.Sprintf(format, args...))
}

// summary counts the answers.
func (c *clients) summary() string {
	ok, rejected, other := 0, 0, 0
	for _, res := range c.results {
		switch {
		case res.status == http.StatusOK:
			ok++
		case res.rejected():
			rejected++
		case !res.cancelled:
			other++
		}
	}
	return fmt.Sprintf("%d requests, %d whole, %d refused, %d failed or cut, %d left, %d broken promises",
		len(c.results), ok, rejected, other, len(c.results)-ok-rejected-other, len(c.brokenPromises))
}

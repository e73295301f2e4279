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
	clientCount  = 12
	callPause    = 30 * time.Millisecond
	callTimeout  = 10 * time.Second
	streamSize   = 12 // events, as the emulated engines make them
	leaveShare   = 0.1
	promptTokens = 2000
	streamTokens = 8 * streamSize
	callDeadline = 9 * time.Second
	leaveAfter   = 60 * time.Millisecond
)

// call is one request with what its caller saw.
type call struct {
	id     string
	path   string
	status int // 0 if there was no whole answer
	body   string
	left   bool // the caller left
}

// once tells whether the request may run at most once.
func (c call) once() bool {
	return strings.HasPrefix(c.path, "/order/") || strings.HasPrefix(c.path, "/draft/")
}

// refused tells whether the answer states that the request has not run.
func (c call) refused() bool {
	return c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
}

// clients send requests on kept connections and remember what they saw.
type clients struct {
	world *world
	http  *http.Client
	seed  uint64

	mu     sync.Mutex
	calls  []call
	broken []string
	tail   []call // of the last requests, after all faults
}

func newClients(w *world, seed uint64) *clients {
	return &clients{world: w, seed: seed, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientCount}}}
}

// run sends requests until the context ends; those that are under way are finished.
func (c *clients) run(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(100+number)))
	for n := 0; ctx.Err() == nil; n++ {
		got := c.send(random, fmt.Sprintf("c%d-%d", number, n), random.Float64() < leaveShare)
		c.mu.Lock()
		c.calls = append(c.calls, got)
		c.mu.Unlock()
		wait(ctx, time.Duration(random.Int64N(int64(2*callPause))))
	}
}

// last sends requests after all faults.
func (c *clients) last(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(c.seed, 99))
	for i := range n {
		if ctx.Err() != nil {
			return
		}
		c.tail = append(c.tail, c.send(random, fmt.Sprintf("last-%d", i), false))
	}
}

func (c *clients) send(random *rand.Rand, id string, leaves bool) call {
	path := []string{"/order/", "/status/", "/draft/", "/digest/"}[random.IntN(4)] + "1"
	address := c.world.addresses[random.IntN(len(c.world.addresses))]
	out := call{id: id, path: path, left: leaves}
	timeout := callTimeout
	if leaves {
		timeout = leaveAfter
	}
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	method, body := http.MethodPost, io.Reader(strings.NewReader("two lambs"))
	if path == "/status/1" {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return out
	}
	req.GetBody = nil // net/http must not send it again
	req.Host = caller.Host
	mark := caller.Request{ID: id, Key: clientKey, Deadline: callDeadline}
	if path != "/order/1" && path != "/status/1" {
		mark.PromptTokens, mark.MaxOutputTokens, mark.LengthHint = promptTokens, 2*streamTokens, streamTokens
	}
	mark.SetHeaders(req.Header)
	resp, err := c.http.Do(req)
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return out
	}
	out.status, out.body = resp.StatusCode, string(text)
	return out
}

// check compares what callers saw with what servers saw, and returns the broken promises.
func (c *clients) check() []string {
	runs := make(map[string]int)
	for _, m := range c.world.members {
		for _, seen := range m.server.Received() {
			if seen.Ran && !seen.Prefill {
				runs[seen.ID]++
			}
			if seen.HeadersContain(clientKey) {
				c.fail("%s reached %s with the caller's key", seen.ID, m.server.ID)
			}
			if seen.Account() != caller.Account {
				c.fail("%s reached %s for account %q", seen.ID, m.server.ID, seen.Account())
			}
		}
		if n := m.server.Running(); n > 0 {
			c.fail("%s still runs %d requests", m.server.ID, n)
		}
		if n := m.server.UsedTokens(); n > 0 {
			c.fail("%s still holds %d tokens", m.server.ID, n)
		}
	}
	c.mu.Lock()
	calls := append(append([]call(nil), c.calls...), c.tail...)
	c.mu.Unlock()
	for _, got := range calls {
		c.checkCall(got, runs[got.id])
	}
	served := 0
	for _, got := range c.tail {
		if got.status == http.StatusOK {
			served++
		}
	}
	if float64(served) < recovered*float64(len(c.tail)) {
		c.fail("only %d of %d requests were served after all faults had ended", served, len(c.tail))
	}
	return c.broken
}

func (c *clients) checkCall(got call, runs int) {
	if got.once() && runs > 1 {
		c.fail("%s %s ran %d times", got.id, got.path, runs)
	}
	if got.once() && got.refused() && runs > 0 {
		c.fail("%s %s was refused as not run, but ran", got.id, got.path)
	}
	if got.status != http.StatusOK {
		return
	}
	want := "whole answer of " + got.id
	if !strings.HasPrefix(got.path, "/order/") && !strings.HasPrefix(got.path, "/status/") {
		want = wholeStream(streamSize)
	}
	if got.body != want {
		c.fail("%s %s got a wrong answer %.60q", got.id, got.path, got.body)
	}
}

func (c *clients) fail(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// summary counts the answers.
func (c *clients) summary() string {
	ok, refused, other := 0, 0, 0
	for _, got := range c.calls {
		switch {
		case got.status == http.StatusOK:
			ok++
		case got.refused():
			refused++
		case !got.left:
			other++
		}
	}
	return fmt.Sprintf("%d requests, %d whole, %d refused, %d failed or cut, %d left, %d broken promises",
		len(c.calls), ok, refused, other, len(c.calls)-ok-refused-other, len(c.broken))
}

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

// Sizes and times of the traffic.
const (
	clientCount      = 12
	meanRequestPause = 30 * time.Millisecond // mean pause between the requests of a client
	requestTimeout   = 10 * time.Second      // time after which a client gives up
	streamEvents     = 12                    // events in each stream of the decode engines
	cancelShare      = 0.1                   // share of the requests that a client cancels
	promptTokens     = 2000
	streamTokens     = 8 * streamEvents      // output tokens of a stream, 8 for each event
	requestDeadline  = 9 * time.Second       // deadline stated in each request
	deadlyShare      = 0.05                  // share of the streams whose prompts crash decode engines
	maxFinalDeadly   = 3                     // requests with deadly prompts that may reach engines after all faults
	slowShare        = 0.05                  // share of the responses that are read slowly
	slowReadBytes    = 16                    // bytes that a slow client reads at a time
	slowReadPause    = 10 * time.Millisecond // pause before each such read
	cancelAfter      = 60 * time.Millisecond // time after which a client cancels
)

// requestPaths are the paths of sound requests, one for each route.
var requestPaths = []string{"/order/1", "/status/1", "/draft/1", "/digest/1"}

// result is a request and the response that the client received.
type result struct {
	id        string
	path      string
	address   string // instance that got the request
	status    int    // 0 without a complete response
	body      string
	deadly    bool // the prompt crashes decode engines
	crashes   bool // the request crashes servers, whatever its prompt
	sent      time.Time
	ended     time.Time // when the client had the response or gave up
	cancelled bool      // the client cancels after cancelAfter, unless the response is complete by then
}

// atMostOnce reports whether the request may run at most once.
func (r result) atMostOnce() bool {
	return strings.HasPrefix(r.path, "/order/") || strings.HasPrefix(r.path, "/draft/")
}

// rejected reports whether the response states that the request did not run.
func (r result) rejected() bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
}

// clients send requests over keep-alive connections and record the results.
type clients struct {
	env  *environment
	http *http.Client
	seed uint64

	deadly []string // paths of the requests that crash servers

	mu           sync.Mutex
	results      []result
	violations   []string
	finalResults []result // results of the requests sent after all faults had ended

	stopHTTP    *http.Client // for the requests sent while instances stop
	stopResults []stopResult
}

func newClients(env *environment, seed uint64) *clients {
	return &clients{
		env: env, seed: seed, deadly: chooseDeadlyPaths(seed),
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientCount}},
		stopHTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: stopClients}},
	}
}

// run sends requests until the context ends. Requests in flight are finished. The seed of the run and the client number
// determine the requests.
func (c *clients) run(ctx context.Context, client int) {
	// Each client has a random stream of its own; streams below 100 are for sendFinal and injectFaults.
	random := rand.New(rand.NewPCG(c.seed, uint64(100+client)))
	for n := 0; ctx.Err() == nil; n++ {
		res := c.send(random, fmt.Sprintf("c%d-%d", client, n), random.Float64() < cancelShare)
		c.mu.Lock()
		c.results = append(c.results, res)
		c.mu.Unlock()
		wait(ctx, time.Duration(random.Int64N(int64(2*meanRequestPause))))
	}
}

// sendFinal sends n requests after all faults have ended, or fewer if the context ends.
func (c *clients) sendFinal(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(c.seed, 99))
	for i := range n {
		if ctx.Err() != nil {
			return
		}
		sent := time.Now()
		res := c.send(random, fmt.Sprintf("last-%d", i), false)
		res.sent, res.ended = sent, time.Now()
		c.finalResults = append(c.finalResults, res)
	}
}

// send sends a random request and waits up to requestTimeout for its response, or up to cancelAfter if the client is to
// cancel it.
func (c *clients) send(random *rand.Rand, id string, cancels bool) result {
	path := requestPaths[random.IntN(len(requestPaths))]
	crashes := random.Float64() < deadlyRequestShare
	if crashes {
		path = c.deadly[random.IntN(len(c.deadly))]
	}
	address := c.env.addresses[random.IntN(len(c.env.addresses))]
	res := result{id: id, path: path, address: address, cancelled: cancels, crashes: crashes}
	timeout := requestTimeout
	if cancels {
		timeout = cancelAfter
	}
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	headers := caller.Request{ID: id, Key: accountKey, Deadline: requestDeadline}
	method, text := http.MethodPost, "two lambs"
	isLookup, isOrder := strings.HasPrefix(path, "/status/"), strings.HasPrefix(path, "/order/")
	if isLookup {
		method, text = http.MethodGet, ""
	}
	if !isOrder && !isLookup {
		headers.PromptTokens, headers.MaxOutputTokens, headers.LengthHint = promptTokens, 2*streamTokens, streamTokens
		if random.Float64() < deadlyShare {
			res.deadly, headers.SharedParts = true, []string{"a", deadlyPart}
			text += " for " + id // no two requests with a deadly part are alike
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(text))
	if err != nil {
		return res
	}
	req.GetBody = nil // net/http must not send the body again
	req.Host = caller.Host
	headers.SetHeaders(req.Header)
	resp, err := c.http.Do(req)
	if err != nil {
		return res
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(&pacedReader{resp.Body, random.Float64() < slowShare})
	if err != nil {
		return res
	}
	res.status, res.body = resp.StatusCode, string(content)
	return res
}

// pacedReader reads a response, a few bytes at a time if it is slow.
type pacedReader struct {
	io.Reader
	slow bool
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	if r.slow {
		time.Sleep(slowReadPause)
		p = p[:min(len(p), slowReadBytes)]
	}
	return r.Reader.Read(p)
}

// check compares the results of the clients with the requests that backend servers received, and returns a description
// of each violated guarantee.
func (c *clients) check() []string {
	runs := make(map[string]int)
	for _, b := range c.env.servers {
		for _, received := range b.backend.Received() {
			if received.Ran && !received.Prefill {
				runs[received.ID]++
			}
			if received.HeadersContain(accountKey) {
				c.addViolation("%s reached %s with the caller's key", received.ID, b.backend.ID)
			}
			if received.Account() != caller.Account {
				c.addViolation("%s reached %s for account %q", received.ID, b.backend.ID, received.Account())
			}
		}
		if n := b.backend.Running(); n > 0 {
			c.addViolation("%s still runs %d requests", b.backend.ID, n)
		}
		if n := b.backend.UsedTokens(); n > 0 {
			c.addViolation("%s still holds %d tokens", b.backend.ID, n)
		}
	}
	c.mu.Lock()
	results := append(append([]result(nil), c.results...), c.finalResults...)
	c.mu.Unlock()
	for _, res := range results {
		c.checkResult(res, runs[res.id])
	}
	c.checkFinal(runs)
	c.checkLimits(results)
	c.checkEvacuations(results)
	c.checkColdServers()
	c.checkDeadlyRequests(results)
	c.checkProcesses()
	c.checkStops()
	return c.violations
}

// checkFinal checks the requests that were sent after all faults had ended, longer ago than instances need to tell each
// other of crashes.
func (c *clients) checkFinal(runs map[string]int) {
	sound, served, deadly := 0, 0, 0
	for _, res := range c.finalResults {
		switch {
		case res.deadly && runs[res.id] > 0:
			deadly++
		case !res.deadly && !res.crashes && !c.crashedDuring(res.sent.Add(-serverRestartTime), res.ended):
			sound++
			if res.status == http.StatusOK {
				served++
			}
		}
	}
	if float64(served) < minServedShare*float64(sound) {
		c.addViolation("only %d of %d requests were served after all faults had ended", served, sound)
	}
	if deadly > maxFinalDeadly {
		c.addViolation("%d requests that crash engines reached them after all faults had ended", deadly)
	}
}

// checkResult checks the result of a request that ran the given number of times.
func (c *clients) checkResult(res result, runs int) {
	if res.atMostOnce() && runs > 1 {
		c.addViolation("%s %s ran %d times", res.id, res.path, runs)
	}
	if res.atMostOnce() && res.rejected() && runs > 0 {
		c.addViolation("%s %s was refused as not run, but ran", res.id, res.path)
	}
	if res.status != http.StatusOK {
		return
	}
	want := "whole answer of " + res.id
	if !strings.HasPrefix(res.path, "/order/") && !strings.HasPrefix(res.path, "/status/") {
		want = expectedStream(streamEvents)
	}
	if res.body != want {
		c.addViolation("%s %s got a wrong answer %.60q", res.id, res.path, res.body)
	}
}

// addViolation adds the description of a violated guarantee.
func (c *clients) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// summary returns the number of results of each kind among the requests sent under faults, and of violated
// guarantees.
func (c *clients) summary() string {
	ok, rejected, failed := 0, 0, 0
	for _, res := range c.results {
		switch {
		case res.status == http.StatusOK:
			ok++
		case res.rejected():
			rejected++
		case !res.cancelled:
			failed++
		}
	}
	late, lateWhole, lateRefused := 0, 0, 0
	for _, res := range c.stopResults {
		switch {
		case !res.late:
		case res.status == http.StatusServiceUnavailable:
			lateRefused++
		case res.err == nil:
			lateWhole++
		}
		if res.late {
			late++
		}
	}
	return fmt.Sprintf("%d requests, %d whole, %d refused, %d failed or cut, %d left, %d through planned stops "+
		"(%d after a signal: %d whole, %d refused), %d broken promises",
		len(c.results), ok, rejected, failed, len(c.results)-ok-rejected-failed, len(c.stopResults),
		late, lateWhole, lateRefused, len(c.violations))
}

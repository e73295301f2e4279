package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"teaselgate/outcome"
	standengine "teaselgate/standin/engine"
)

// Shape of the demo's traffic.
const (
	seed           = 7
	callInterval   = 40 * time.Millisecond // between two calls of one client account
	requestTimeout = 10 * time.Second
	maxAnswer      = 48  // tokens
	maxPromptWords = 800 // words of a prompt
	orderShare     = 4   // one call in so many places an order
)

// traffic sends calls of several client accounts and checks the answers.
type traffic struct {
	fleet  *fleet
	client *http.Client

	mu       sync.Mutex
	accounts map[string]*result
	failures []string
	orders   []string // confirmed orders
}

func newTraffic(f *fleet) *traffic {
	t := &traffic{
		fleet:    f,
		client:   &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		accounts: make(map[string]*result),
	}
	for name := range f.keys {
		t.accounts[name] = newResult(name)
	}
	return t
}

// run sends until the given time and waits for all answers.
func (t *traffic) run(ctx context.Context, until time.Time) {
	ctx, stop := context.WithDeadline(ctx, until)
	defer stop()
	var senders sync.WaitGroup
	for name := range t.accounts {
		senders.Go(func() { t.send(ctx, name) })
	}
	senders.Wait()
	t.client.CloseIdleConnections()
}

func (t *traffic) send(ctx context.Context, name string) {
	random := rand.New(rand.NewPCG(seed, uint64(len(name))))
	tick := time.NewTicker(callInterval)
	defer tick.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		address := t.fleet.addresses[random.IntN(len(t.fleet.addresses))]
		if n%orderShare == 0 {
			calls.Go(func() { t.order(name, address, fmt.Sprintf("%s-%d", name, n)) })
			continue
		}
		prompt := fmt.Sprintf("%s %d %s", name, n, strings.Repeat("lamb ", random.IntN(maxPromptWords)))
		tokens := 1 + random.IntN(maxAnswer)
		calls.Go(func() { t.complete(name, address, prompt, tokens) })
	}
}

func (t *traffic) request(name, address, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+t.fleet.keys[name])
	req.Header.Set("Content-Type", "application/json")
	return t.client.Do(req)
}

// order places one order; each has a text of its own, by which the service counts its runs.
func (t *traffic) order(name, address, id string) {
	start := time.Now()
	resp, err := t.request(name, address, "/orders", []byte(id))
	if err != nil {
		t.fail(name, "order "+id+": "+err.Error())
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		t.refused(name, resp)
		return
	}
	if err != nil || !bytes.Contains(text, []byte(id)) || resp.Trailer.Get("Service-Check") != "whole" {
		t.fail(name, "order "+id+" was not answered whole")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders = append(t.orders, id)
	t.accounts[name].order(time.Since(start))
}

type streamChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// complete asks for a streamed completion and checks every token.
func (t *traffic) complete(name, address, prompt string, tokens int) {
	body, _ := json.Marshal(map[string]any{"model": "chat", "prompt": prompt, "max_tokens": tokens, "stream": true})
	start := time.Now()
	resp, err := t.request(name, address, "/v1/completions", body)
	if err != nil {
		t.fail(name, err.Error())
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.refused(name, resp)
		return
	}
	t.readStream(name, prompt, tokens, start, resp.Body)
}

func (t *traffic) readStream(name, prompt string, tokens int, start time.Time, body io.Reader) {
	var arrivals []time.Time
	next, done := 0, false
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			break
		}
		var c streamChunk
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 {
			t.fail(name, "bad chunk: "+data)
			return
		}
		if c.Choices[0].Text == "" {
			continue
		}
		if c.Choices[0].Text != standengine.Token(prompt, next) {
			t.fail(name, fmt.Sprintf("token %d is wrong: %q", next, c.Choices[0].Text))
			return
		}
		arrivals = append(arrivals, time.Now())
		next++
	}
	if !done || next != tokens {
		t.fail(name, fmt.Sprintf("stream ended after %d of %d tokens", next, tokens))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accounts[name].stream(start, arrivals)
}

func (t *traffic) refused(name string, resp *http.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if resp.Header.Get(outcome.Header) == string(outcome.NotRun) {
		t.accounts[name].notRun++
		return
	}
	t.accounts[name].unknown++
}

func (t *traffic) fail(name, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accounts[name].failed++
	t.failures = append(t.failures, name+": "+text)
}

// broken lists the answers that were not whole.
func (t *traffic) broken() []string { return t.failures }

// placed lists the orders that were confirmed.
func (t *traffic) placed() []string { return t.orders }

package instance_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	standengine "teaselgate/standin/engine"
	standplatform "teaselgate/standin/platform"
	"teaselgate/standin/service"
	"teaselgate/standin/site"
)

// Load of the shutdown test.
const (
	streams      = 30
	streamTokens = 60
	orders       = 10
)

// streamCompletion requests one streamed completion and checks that all tokens arrive. It calls started once, at the
// first line of the response or when it returns.
func streamCompletion(client *http.Client, address, key, prompt string, started func()) error {
	var once sync.Once
	defer once.Do(started)
	body, _ := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": streamTokens, "stream": true})
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	received, done := 0, false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		once.Do(started)
		if token := standengine.TokenText(prompt, received); strings.Contains(lines.Text(), `"`+token+`"`) {
			received++
		}
		done = done || lines.Text() == "data: [DONE]"
	}
	if err := lines.Err(); err != nil || !done || received != streamTokens {
		return fmt.Errorf("stream of status %d ended after %d of %d tokens, done %v: %w",
			resp.StatusCode, received, streamTokens, done, err)
	}
	return nil
}

// TestShutdownUnderLoadCompletesRequestsInFlight stops an instance while streams and orders are in flight.
func TestShutdownUnderLoadCompletesRequestsInFlight(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	s := startSite(t)
	s.Services()[0].SetFaults(service.Faults{Delay: 300 * time.Millisecond})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams + orders}}
	key, address := s.Keys()[accountName], s.Addresses()[0]
	results := make(chan error, streams+orders)
	var started, running sync.WaitGroup
	started.Add(streams)
	for n := range streams {
		running.Go(func() { results <- streamCompletion(client, address, key, fmt.Sprintf("cut %d", n), started.Done) })
	}
	started.Wait()
	for n := range orders {
		running.Go(func() { results <- sendOrder(client, address, key, fmt.Sprintf("order %d", n)) })
	}
	poll(t, func() bool { return len(s.Services()[0].Runs()) == orders })
	s.Instances()[0].Stop()
	running.Wait()
	close(results)
	for err := range results {
		if err != nil {
			t.Errorf("unexpected failure of a request in flight: %v", err)
		}
	}
	for _, e := range s.Engines() {
		if n := e.UsedPieces(); n > 0 {
			t.Errorf("unexpected %d KV cache pieces still held at %s", n, e.Name)
		}
	}
	if resp := sendRequest(client, http.MethodGet, "http://"+address+"/catalogue", "", nil); resp.err == nil {
		t.Error("unexpected response of an instance that has left")
	}
	if err := s.Stop(); err != nil {
		t.Errorf("unexpected error %v", err)
	}
	client.CloseIdleConnections()
}

func sendOrder(client *http.Client, address, key, text string) error {
	resp := sendRequest(client, http.MethodPost, "http://"+address+"/orders", key, strings.NewReader(text))
	if resp.err != nil || resp.status != http.StatusOK || !strings.Contains(resp.body, text) {
		return fmt.Errorf("unexpected response to an order: %d %q: %w", resp.status, resp.body, resp.err)
	}
	return nil
}

// poll waits until a condition is true, and fails the test after 10 seconds.
func poll(t *testing.T, condition func() bool) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatal("condition not met within 10 s")
		case <-ticker.C:
		}
	}
}

// TestLeavingInstanceIsNotReady keeps one order in flight by not ending its body, so that the instance can be queried
// while it is leaving.
func TestLeavingInstanceIsNotReady(t *testing.T) {
	s := startSite(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	fetch := func() health { return fetchHealth(t, client, s.Instances()[0].Admin()) }
	if h := fetch(); !h.Ready || h.Leaving {
		t.Errorf("unexpected health before leaving: %v", h)
	}
	body, bodyWriter := io.Pipe()
	var running sync.WaitGroup
	running.Go(func() {
		resp := sendRequest(client, http.MethodPost, "http://"+s.Addresses()[0]+"/orders", s.Keys()[accountName], body)
		if resp.err != nil || resp.status != http.StatusOK || !strings.Contains(resp.body, "two lambs") {
			t.Errorf("unexpected response to an order in flight: %d %q %v", resp.status, resp.body, resp.err)
		}
	})
	_, _ = io.WriteString(bodyWriter, "two ")
	poll(t, func() bool { return fetch().InFlight == 1 })
	running.Go(func() { s.Instances()[0].Stop() })
	poll(t, func() bool { return fetch().Leaving })
	if h := fetch(); h.Ready {
		t.Errorf("unexpected health while leaving: %v", h)
	}
	if resp := sendRequest(
		client, http.MethodGet, "http://"+s.Instances()[0].Admin()+"/ready", "", nil,
	); resp.status != http.StatusServiceUnavailable {
		t.Errorf("unexpected readiness while leaving: %d %v", resp.status, resp.err)
	}
	_, _ = io.WriteString(bodyWriter, "lambs")
	bodyWriter.Close()
	running.Wait()
	if err := s.Stop(); err != nil {
		t.Errorf("unexpected error %v", err)
	}
}

// health holds the fields of GET /health that the tests read.
type health struct {
	Ready    bool  `json:"ready"`
	Leaving  bool  `json:"leaving"`
	InFlight int64 `json:"in_flight"`

	Members map[string]int `json:"members"`
}

func fetchHealth(t *testing.T, client *http.Client, admin string) health {
	t.Helper()
	var h health
	resp := sendRequest(client, http.MethodGet, "http://"+admin+"/health", site.Secrets.Admin, nil)
	if err := json.Unmarshal([]byte(resp.body), &h); err != nil || resp.err != nil {
		t.Fatalf("unexpected response of GET /health: %d %q: %v", resp.status, resp.body, resp.err)
	}
	return h
}

func TestAdminListenerRequiresToken(t *testing.T) {
	s := startSite(t)
	admin := "http://" + s.Instances()[0].Admin()
	tests := []struct {
		path, token string
		want        int
	}{
		{"/ready", "", http.StatusOK},
		{"/health", "", http.StatusUnauthorized},
		{"/health", "wrong", http.StatusUnauthorized},
		{"/health", site.Secrets.Admin, http.StatusOK},
		{"/metrics", "", http.StatusUnauthorized},
		{"/metrics", site.Secrets.Admin, http.StatusOK},
		{"/events", "", http.StatusUnauthorized},
		{"/events?last=1m", site.Secrets.Admin, http.StatusOK},
		{"/events?last=soon", site.Secrets.Admin, http.StatusBadRequest},
		{"/nothing", site.Secrets.Admin, http.StatusNotFound},
	}
	for _, test := range tests {
		if resp := sendRequest(
			http.DefaultClient, http.MethodGet, admin+test.path, test.token, nil,
		); resp.status != test.want {
			t.Errorf("unexpected status of %s with token %q, got %d instead of %d",
				test.path, test.token, resp.status, test.want)
		}
	}
	if err := s.Stop(); err != nil {
		t.Errorf("unexpected error %v", err)
	}
}

// A platform that answers slowly holds up the hand-over of the allowance. The shutdown deadline counts from the beginning of the
// stop all the same, and a caller whose order is unfinished then gets its answer. It came later by the hand-over, or not at all.
func TestShutdownDeadlineCountsFromTheBeginning(t *testing.T) {
	const delay, timeout, slack = 600 * time.Millisecond, 1400 * time.Millisecond, time.Second
	s := startSiteWith(t, func(c *site.Config) { c.BalancerDelay, c.ShutdownTimeout = delay, timeout })
	s.Services()[0].SetFaults(service.Faults{Delay: 10 * time.Second})
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var stopping time.Time
	answered := make(chan time.Time, 1)
	go func() {
		resp := sendRequest(client, http.MethodPost, "http://"+s.Addresses()[0]+"/orders", s.Keys()[accountName], strings.NewReader("lambs"))
		if resp.status != http.StatusServiceUnavailable || !strings.Contains(resp.body, `"leaving"`) {
			t.Errorf("unexpected response to an unfinished order: %d %q %v", resp.status, resp.body, resp.err)
		}
		answered <- time.Now()
	}()
	poll(t, func() bool { return len(s.Services()[0].Runs()) == 1 })
	s.Platform().SetFaults(standplatform.Faults{Delay: 3 * time.Second})
	stopping = time.Now()
	s.Instances()[0].Stop()
	if took := (<-answered).Sub(stopping); took < delay+timeout || took > delay+timeout+slack {
		t.Errorf("the answer came %v after the beginning of the stop instead of %v", took, delay+timeout)
	}
	s.Platform().SetFaults(standplatform.Faults{})
	_ = s.Stop() // the instance has aborted a request
}

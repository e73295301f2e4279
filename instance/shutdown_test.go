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
	"teaselgate/standin/service"
	"teaselgate/standin/site"
)

// Load of the shutdown test.
const (
	streams      = 30
	streamTokens = 60
	orders       = 10
)

// stream runs one completion and reports its first token; it returns what was wrong with the answer.
func stream(client *http.Client, address, key, prompt string, begun func()) error {
	var once sync.Once
	defer once.Do(begun)
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
	next, done := 0, false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		once.Do(begun)
		if token := standengine.TokenText(prompt, next); strings.Contains(lines.Text(), `"`+token+`"`) {
			next++
		}
		done = done || lines.Text() == "data: [DONE]"
	}
	if err := lines.Err(); err != nil || !done || next != streamTokens {
		return fmt.Errorf("stream of status %d ended after %d of %d tokens, done %v: %w", resp.StatusCode, next, streamTokens, done, err)
	}
	return nil
}

// TestShutdownUnderLoadCutsNothing lets an instance leave while streams and orders are in flight.
func TestShutdownUnderLoadCutsNothing(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	s := startSite(t)
	s.Services()[0].SetFaults(service.Faults{Delay: 300 * time.Millisecond})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams + orders}}
	key, address := s.Keys()[accountName], s.Addresses()[0]
	failures := make(chan error, streams+orders)
	var begun, running sync.WaitGroup
	begun.Add(streams)
	for n := range streams {
		running.Go(func() { failures <- stream(client, address, key, fmt.Sprintf("cut %d", n), begun.Done) })
	}
	begun.Wait()
	for n := range orders {
		running.Go(func() { failures <- placeOrder(client, address, key, fmt.Sprintf("order %d", n)) })
	}
	poll(t, func() bool { return len(s.Services()[0].Runs()) == orders })
	s.Instances()[0].Stop()
	running.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			t.Errorf("unexpected cut: %v", err)
		}
	}
	for _, e := range s.Engines() {
		if n := e.UsedPieces(); n > 0 {
			t.Errorf("unexpected %d pieces held at %s", n, e.Name)
		}
	}
	if a := call(client, http.MethodGet, "http://"+address+"/catalogue", "", nil); a.err == nil {
		t.Error("unexpected answer of an instance that left")
	}
	if err := s.Stop(); err != nil {
		t.Errorf("unexpected error %v", err)
	}
	client.CloseIdleConnections()
}

func placeOrder(client *http.Client, address, key, text string) error {
	a := call(client, http.MethodPost, "http://"+address+"/orders", key, strings.NewReader(text))
	if a.err != nil || a.status != http.StatusOK || !strings.Contains(a.body, text) {
		return fmt.Errorf("order answered with %d %q: %w", a.status, a.body, a.err)
	}
	return nil
}

// poll waits until a condition holds.
func poll(t *testing.T, holds func() bool) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			t.Fatal("unexpected wait for a condition")
		case <-tick.C:
		}
	}
}

// TestLeavingInstanceIsNotReady holds one order open by its body, so that the instance can be asked while it leaves.
func TestLeavingInstanceIsNotReady(t *testing.T) {
	s := startSite(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ask := func() health { return getHealth(t, client, s.Instances()[0].Admin()) }
	if h := ask(); !h.Ready || h.Leaving {
		t.Errorf("unexpected health before leaving: %v", h)
	}
	body, end := io.Pipe()
	var running sync.WaitGroup
	running.Go(func() {
		a := call(client, http.MethodPost, "http://"+s.Addresses()[0]+"/orders", s.Keys()[accountName], body)
		if a.err != nil || a.status != http.StatusOK || !strings.Contains(a.body, "two lambs") {
			t.Errorf("unexpected answer to an order in flight: %d %q %v", a.status, a.body, a.err)
		}
	})
	_, _ = io.WriteString(end, "two ")
	poll(t, func() bool { return ask().InFlight == 1 })
	running.Go(func() { s.Instances()[0].Stop() })
	poll(t, func() bool { return ask().Leaving })
	if h := ask(); h.Ready {
		t.Errorf("unexpected health while leaving: %v", h)
	}
	if a := call(client, http.MethodGet, "http://"+s.Instances()[0].Admin()+"/ready", "", nil); a.status != http.StatusServiceUnavailable {
		t.Errorf("unexpected readiness while leaving: %d %v", a.status, a.err)
	}
	_, _ = io.WriteString(end, "lambs")
	end.Close()
	running.Wait()
	if err := s.Stop(); err != nil {
		t.Errorf("unexpected error %v", err)
	}
}

// health is what the tests read of an instance's account of itself.
type health struct {
	Ready    bool  `json:"ready"`
	Leaving  bool  `json:"leaving"`
	InFlight int64 `json:"in_flight"`

	Members map[string]int `json:"members"`
}

func getHealth(t *testing.T, client *http.Client, admin string) health {
	t.Helper()
	var h health
	a := call(client, http.MethodGet, "http://"+admin+"/health", site.Secrets.Admin, nil)
	if err := json.Unmarshal([]byte(a.body), &h); err != nil || a.err != nil {
		t.Fatalf("unexpected health %d %q: %v", a.status, a.body, a.err)
	}
	return h
}

func TestAdminListenerNeedsItsToken(t *testing.T) {
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
		if a := call(http.DefaultClient, http.MethodGet, admin+test.path, test.token, nil); a.status != test.want {
			t.Errorf("unexpected status of %s with token %q, got %d instead of %d", test.path, test.token, a.status, test.want)
		}
	}
	if err := s.Stop(); err != nil {
		t.Errorf("unexpected error %v", err)
	}
}

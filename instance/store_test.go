package instance_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"teaselgate/instance"
	"teaselgate/option"
	"teaselgate/platform"
	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
	store "teaselgate/standin/platform"
)

const storeKey = "key-of-store"

// What comes in the background is looked for each awaitPause, far longer than it can take on a busy machine.
const (
	awaitPause  = 50 * time.Millisecond
	awaitChecks = 1000
)

// storeSite is a store, backend servers and one instance that follows the store.
type storeSite struct {
	instance *instance.Instance
	options  *option.Options
}

// startStoreSite starts everything on loopback; the test's end stops it.
func startStoreSite(t *testing.T) *storeSite {
	t.Helper()
	objects := store.NewServer("")
	storeServer := httptest.NewServer(objects.Handler())
	t.Cleanup(storeServer.Close)
	client := platform.NewClient(storeServer.URL, "")
	settings := caller.Settings{Version: 1, PlainTimeout: time.Second, EngineSlots: 8, EngineKVTokens: 32000, AccountRate: 10_000_000, Key: storeKey}
	if _, err := client.Create(t.Context(), platform.ConfigurationKind, platform.ConfigurationName, caller.Configuration(settings)); err != nil {
		t.Fatal(err)
	}
	addServers(t, client)
	o := option.Default()
	o.Name, o.Zone, o.Platform, o.Source = "i1", "a", storeServer.URL, option.SourceStore
	o.Listen, o.Admin, o.Peer, o.Metrics = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	i := &instance.Instance{Options: o}
	if err := i.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("unexpected error %v", err)
		}
	})
	return &storeSite{i, o}
}

// addServers starts one server of each duty and writes its entry.
func addServers(t *testing.T, client *platform.Client) {
	t.Helper()
	prefill := &backend.Server{ID: "p0", Stage: "prefill", Slots: 1, QueueLimit: 16, PrefillRate: 100_000, HandleLifetime: time.Second / 2}
	for _, s := range []*backend.Server{
		{ID: "s0", Slots: 6, QueueLimit: 24, ServiceTime: time.Millisecond},
		prefill,
		{ID: "d0", Stage: "decode", Slots: 8, KVTokens: 32000, StreamEvents: 3, EventInterval: time.Millisecond, FindServer: func(string) *backend.Server { return prefill }},
	} {
		service := caller.ModelService
		if s.Stage == "" {
			service = caller.PlainService
		}
		server := httptest.NewServer(s.Init())
		t.Cleanup(server.Close)
		entry := map[string]any{
			"service": service, "address": strings.TrimPrefix(server.URL, "http://"), "zone": "a", "slots": s.Slots, "state": "ready", "stage": s.Stage,
		}
		if _, err := client.Create(t.Context(), platform.ServerKind, s.ID, entry); err != nil {
			t.Fatal(err)
		}
	}
}

// ask sends one request and returns its status and body.
func (s *storeSite) ask(t *testing.T, path string, c caller.Request) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.instance.Address()+path, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = caller.Host
	c.Deadline = 5 * time.Second
	c.SetHeaders(req.Header)
	return read(t, req)
}

func read(t *testing.T, req *http.Request) (int, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// awaitServed repeats a request until the instance has read the store.
func (s *storeSite) awaitServed(t *testing.T) {
	t.Helper()
	for n := 0; ; n++ {
		status, text := s.ask(t, "/status/1", caller.Request{ID: fmt.Sprintf("first-%d", n), Key: storeKey})
		if status == http.StatusOK {
			return
		}
		if n == awaitChecks {
			t.Fatalf("unexpected status %d of every request: %s", status, text)
		}
		<-time.After(awaitPause)
	}
}

func (s *storeSite) metrics(t *testing.T) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.instance.MetricsAddress()+"/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	status, text := read(t, req)
	if status != http.StatusOK {
		t.Fatalf("unexpected status %d of the metrics", status)
	}
	return text
}

func TestMetricsOfAnInstanceThatFollowsTheStore(t *testing.T) {
	s := startStoreSite(t)
	s.awaitServed(t)
	if status, text := s.ask(t, "/draft/1", caller.Request{ID: "d", Key: storeKey, PromptTokens: 500, MaxOutputTokens: 40, LengthHint: 24}); status != http.StatusOK {
		t.Fatalf("unexpected status %d of a model request: %s", status, text)
	}
	if status, _ := s.ask(t, "/order/1", caller.Request{ID: "o", Key: "wrong " + storeKey}); status != http.StatusUnauthorized {
		t.Errorf("unexpected status %d for a wrong key", status)
	}
	want := []string{
		`teaselgate_answers{kind="idempotent",outcome="done"}`,
		`teaselgate_answers{kind="streaming",outcome="done"} 1`,
		`teaselgate_answers{kind="once",outcome="not-run"} 1`,
		`teaselgate_stage_seconds_count{stage="queue"} 1`,
		`teaselgate_stage_seconds_count{stage="prefill"} 1`,
		`teaselgate_stage_seconds_count{stage="transfer"} 1`,
		`teaselgate_stage_seconds_count{stage="service"}`,
		`teaselgate_store_calls{method="GET",result="ok"}`,
		`teaselgate_servers{duty="decode",state="live"} 1`,
		`teaselgate_servers{duty="plain",state="leaving"} 0`,
		`teaselgate_belief_age_seconds{belief="store"}`,
		`teaselgate_retries_left{service="shop"}`,
		`teaselgate_rate_share 1`,
		`teaselgate_log_lines_dropped 0`,
	}
	var missing []string
	for range awaitChecks { // values are handed over each second
		text := s.metrics(t)
		if strings.Contains(text, storeKey) {
			t.Fatal("a key stands in the metrics")
		}
		missing = missing[:0]
		for _, line := range want {
			if !strings.Contains(text, line) {
				missing = append(missing, line)
			}
		}
		if len(missing) == 0 {
			return
		}
		<-time.After(awaitPause)
	}
	t.Errorf("unexpected metrics, without %q", missing)
}

package instance_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"teaselgate/platform"
	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
	standplatform "teaselgate/standin/platform"
)

// The users' rule on requests that crash servers, and the load of the test.
const (
	deadlyCrashes     = 3 // servers that a request may crash before all instances must know it
	deadlyLateRetries = 3 // times that it may be sent later than limitContact after that
	deadlyRestart     = time.Second
	deadlyPause       = 100 * time.Millisecond
)

// restartingServer is a backend server whose process ends at a crash: its connections break and its address refuses new
// ones until it is back.
type restartingServer struct {
	*backend.Server
	address string
	mu      sync.Mutex
	http    *http.Server
	done    bool
}

// startRestartingServer starts a plain server and writes its entry to the store.
func startRestartingServer(t *testing.T, client *platform.Client, s *backend.Server) *restartingServer {
	t.Helper()
	r := &restartingServer{Server: s, address: "127.0.0.1:0"}
	s.RestartTime = deadlyRestart
	s.OnCrash = r.restart
	s.Init()
	if err := r.listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.stop)
	entry := map[string]any{"service": caller.PlainService, "address": r.address, "zone": "a", "slots": s.Slots, "state": "ready", "stage": ""}
	if _, err := client.Create(t.Context(), platform.ServerKind, s.ID, entry); err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *restartingServer) listen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		return nil
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.address = listener.Addr().String()
	r.http = &http.Server{Handler: r.Server}
	go func() { _ = r.http.Serve(listener) }()
	return nil
}

// restart ends the server's process, and starts it again some time later.
func (r *restartingServer) restart() {
	r.mu.Lock()
	_ = r.http.Close()
	r.mu.Unlock()
	time.AfterFunc(r.RestartTime, func() { _ = r.listen() })
}

func (r *restartingServer) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
	_ = r.http.Close()
}

// A lookup that crashes each server which runs it comes to three instances in turn, one of which is replaced and must learn
// from the others, while the store is away. Beside it a popular sound lookup is served.
func TestDeadlyRequestsAreKnownToAllInstances(t *testing.T) {
	s := newStoreSite(t)
	sound, err := s.client.Get(t.Context(), platform.ServerKind, "s0") // it would answer the lookup
	if err != nil {
		t.Fatal(err)
	}
	if err := s.client.Delete(t.Context(), platform.ServerKind, "s0", sound.Version); err != nil {
		t.Fatal(err)
	}
	servers := make([]*restartingServer, 4)
	for n := range servers {
		servers[n] = startRestartingServer(t, s.client, &backend.Server{
			ID: fmt.Sprint("crash", n), Slots: 6, QueueLimit: 24, ServiceTime: time.Millisecond,
			DeadlyRequests: []backend.DeadlyRequest{{Text: "/status/deadly", After: 80 * time.Millisecond}},
		})
	}
	addresses := &addressList{}
	for n := range 3 {
		started, stop := s.startInstance(t, fmt.Sprint("i", n))
		if n == 0 {
			s.instance = started
			defer stop()
		}
		addresses.add(started.Address())
	}
	s.awaitConfiguration(t)
	send := func(path, id string) int {
		return s.sendTo(addresses.pick(), path, caller.Request{ID: id, Key: accountKey})
	}
	for n := range 20 {
		send("/status/deadly", fmt.Sprint("deadly", n))
		time.Sleep(deadlyPause)
	}
	replacement, _ := s.startInstance(t, "i3")
	time.Sleep(limitContact)
	s.store.SetFaults(standplatform.Faults{Outage: true})
	defer s.store.SetFaults(standplatform.Faults{})
	addresses.add(replacement.Address())
	served := 0
	for n := range 40 {
		send("/status/deadly", fmt.Sprint("again", n))
		if send("/status/sound", fmt.Sprint("sound", n)) == http.StatusOK {
			served++
		}
		time.Sleep(deadlyPause / 5)
	}
	checkDeadlyServers(t, servers)
	if served < 40 {
		t.Errorf("%d of 40 sound lookups were served", served)
	}
}

// checkDeadlyServers checks the rule from what the servers received.
func checkDeadlyServers(t *testing.T, servers []*restartingServer) {
	t.Helper()
	crashes := make([]time.Time, 0, len(servers))
	for _, s := range servers {
		crashes = append(crashes, s.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) > deadlyCrashes {
		t.Errorf("%d servers crashed, aim %d", len(crashes), deadlyCrashes)
	}
	if len(crashes) < deadlyCrashes {
		return
	}
	known, late := crashes[deadlyCrashes-1].Add(limitContact), 0
	for _, s := range servers {
		for _, received := range s.Received() {
			if received.Path == "/status/deadly" && received.ReceivedAt.After(known) {
				late++
			}
		}
	}
	if late > deadlyLateRetries {
		t.Errorf("the lookup was sent to servers %d times later than %v after it had crashed three", late, limitContact)
	}
}

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"teaselgate/standin/backend"
)

func init() { cases["deadly-request"] = runDeadlyRequest }

// The deployment and the deadly request of the case.
const (
	deadlyInstances = 9
	prefillEngines  = 4
	decodeEngines   = 24
	engineDowntime  = 3 * time.Second         // a crashed engine is back after that
	crashAfter      = 2200 * time.Millisecond // of a run of the deadly request
	deadlyPath      = "/draft/week"
	deadlyPart      = "dead"
	partVolley      = 48                    // requests with the deadly part at once, so that each engine gets some
	repeatEvery     = 3 * time.Second       // the deadly request comes again at each machine
	soundEvery      = 90 * time.Millisecond // a sound request comes at each machine
	crashesToKnow   = 3
	maxTries        = 8 // of the deadly request, until it has crashed three engines
	maxLateRetries  = 3
)

// fleet is the engines of a service for models. An engine that crashes is back at its address under another id.
type fleet struct {
	d       *deployment
	mu      sync.Mutex
	boots   []*backend.Server          // all starts of all engines
	current map[string]*backend.Server // by address
}

// start starts an engine at an address, or at a free one.
func (f *fleet) start(name, stage, address string, boot int) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	address = listener.Addr().String()
	s := &backend.Server{
		ID: fmt.Sprintf("i-%s-%d", name, boot), Stage: stage, Slots: 48, QueueLimit: 2, PrefillRate: 100_000, KVTokens: 32546,
		EventInterval: 60 * time.Millisecond, StreamEvents: 40, HandleLifetime: 500 * time.Millisecond, RestartTime: time.Hour,
		FindServer: f.at,
	}
	if stage == "decode" {
		s.DeadlyParts = []string{deadlyPart}
		s.DeadlyRequests = []backend.DeadlyRequest{{Text: deadlyPath, After: crashAfter}}
	}
	server := &http.Server{Handler: s.Init()}
	s.OnCrash = func() {
		f.d.record.Printf("engine %s crashes", s.ID)
		server.Close()
		time.AfterFunc(engineDowntime, func() {
			_ = f.d.remove("servers", s.ID)
			if err := f.start(name, stage, address, boot+1); err != nil {
				f.d.record.Printf("engine %s can't start again: %v", name, err)
			}
		})
	}
	f.mu.Lock()
	f.boots, f.current[address] = append(f.boots, s), s
	f.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	f.d.atEnd(func() { server.Close() })
	return f.d.put("servers", s.ID, map[string]any{
		"service": "llm", "address": address, "zone": "zone-a", "version": "1", "slots": 48, "state": "ready", "coldLeftMs": 0,
		"stage": stage, "models": []any{map[string]any{"name": "m", "version": 1}}, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// at returns the engine at an address, or nil.
func (f *fleet) at(address string) *backend.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current[address]
}

// arrivals returns when requests with a path reached engines, and at which.
func (f *fleet) arrivals(path string) (out []string, at []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.boots {
		for _, r := range s.Received() {
			if r.Path == path && !r.Prefill && r.Ran {
				out, at = append(out, s.ID), append(at, r.ReceivedAt)
			}
		}
	}
	return out, at
}

// endedUnder returns when engines crashed on which a request with a path ran, the first crash first.
func (f *fleet) endedUnder(path string) (out []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.boots {
		crashes := s.Crashes()
		if len(crashes) == 0 {
			continue
		}
		for _, r := range s.Received() {
			if r.Path == path && !r.Prefill && r.Ran {
				out = append(out, crashes[0])
				break
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// crashes returns when engines crashed.
func (f *fleet) crashes() (out []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.boots {
		out = append(out, s.Crashes()...)
	}
	return out
}

// stream sends a request to an instance and reads the stream. It returns the status, and whether the stream was whole.
func (f *fleet) stream(i *instance, id, path, part, body string) (int, bool) {
	conn, err := net.Dial("tcp", i.front)
	if err != nil {
		return 0, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeBudgetMS * time.Millisecond))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"+
		"Model-Name: m\r\nToken-Count: 400,320\r\nPrompt-Prefix: %s:200,%s:200\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		path, plainHost, id, timeBudgetMS, clientKey, part, id, len(body), body)
	if err != nil {
		return 0, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err == nil && resp.StatusCode == http.StatusOK
}

// runDeadlyRequest has one request crash three engines, at one of them together with a request that has a deadly part. While it
// is refused, that part crashes another engine.
func runDeadlyRequest(d *deployment) ([]string, error) {
	manifest := plainManifest(map[string]any{
		"name": "r-draft", "hostname": plainHost, "pathPrefix": "/draft/", "routeType": "streaming", "timeoutMs": timeBudgetMS,
		"targetLatencyMs": 900, "priority": 1, "service": "llm", "maxAttempts": 1, "public": false, "sticky": true,
		"resumable": false, "gapAimMs": 300,
	})
	manifest["services"] = append(manifest["services"].([]any), map[string]any{
		"name": "llm", "healthPath": "/health", "maxConnections": 310, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 48, "kvCapacityTokens": 32546, "kvTokenBytes": 18432, "linkMbps": 180000.0, "stride": 8, "kvHoldS": 0.5,
			"roleSwitchS": 6.0,
		},
	})
	tenant := manifest["tenants"].([]any)[0].(map[string]any)
	tenant["ratePerS"], tenant["burst"] = 200_000, 200_000
	if err := d.put("config", "main", manifest); err != nil {
		return nil, err
	}
	f := &fleet{d: d, current: make(map[string]*backend.Server)}
	for n := range prefillEngines + decodeEngines {
		stage, name := "decode", fmt.Sprintf("d%d", n)
		if n < prefillEngines {
			stage, name = "prefill", fmt.Sprintf("p%d", n)
		}
		if err := f.start(name, stage, "127.0.0.1:0", 1); err != nil {
			return nil, err
		}
	}
	if err := d.startInstances(deadlyInstances); err != nil {
		return nil, err
	}
	time.Sleep(contactTime + time.Second) // all machines are in touch from here on
	ids := 0
	var mu sync.Mutex
	nextID := func() string {
		mu.Lock()
		defer mu.Unlock()
		ids++
		return fmt.Sprintf("%016x", ids)
	}
	sendDeadly := func(i *instance) {
		id := nextID()
		status, whole := f.stream(i, id, deadlyPath, "week", "the same body")
		d.record.Printf("the deadly request %s at %s: status %d, whole %v", id, i.name, status, whole)
	}
	sendPart := func(i *instance) {
		id := nextID()
		status, whole := f.stream(i, id, "/draft/"+id, deadlyPart, id)
		d.record.Printf("a request with the deadly part, %s at %s: status %d, whole %v", id, i.name, status, whole)
	}
	var sound sync.WaitGroup
	stop := make(chan struct{})
	var sent, cut int
	for n, i := range d.instances {
		sound.Go(func() { // callers whose requests are sound
			time.Sleep(soundEvery * time.Duration(n) / time.Duration(len(d.instances)))
			tick := time.NewTicker(soundEvery)
			defer tick.Stop()
			for {
				sound.Go(func() {
					id := nextID()
					status, whole := f.stream(i, id, "/draft/"+id, "sound", id)
					mu.Lock()
					defer mu.Unlock()
					sent++
					if status == http.StatusOK && !whole {
						cut++
					}
				})
				select {
				case <-stop:
					return
				case <-tick.C:
				}
			}
		})
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	wg.Go(func() { sendDeadly(d.instances[0]) })
	time.Sleep(300 * time.Millisecond)
	if d.trouble {
		for n := range partVolley {
			wg.Go(func() { sendPart(d.instances[n%len(d.instances)]) })
		}
	}
	wg.Wait()
	for n := 0; len(f.endedUnder(deadlyPath)) < crashesToKnow; n++ {
		if n == maxTries {
			return nil, errors.New("the deadly request has not run three times")
		}
		time.Sleep(engineDowntime + time.Second)
		sendDeadly(d.instances[1+n%2])
	}
	known := f.endedUnder(deadlyPath)[crashesToKnow-1]
	d.record.Printf("the deadly request has crashed three engines")
	time.Sleep(time.Second) // a caller comes again after a moment, so that the machines know it by then
	for n, i := range d.instances {
		wg.Go(func() { // a caller that repeats the deadly request
			time.Sleep(repeatEvery * time.Duration(n) / time.Duration(len(d.instances)))
			tick := time.NewTicker(repeatEvery)
			defer tick.Stop()
			for {
				wg.Go(func() { sendDeadly(i) })
				select {
				case <-stop:
					return
				case <-tick.C:
				}
			}
		})
	}
	time.Sleep(2 * contactTime)
	if d.trouble {
		sendPart(d.instances[3])
	}
	time.Sleep(2 * contactTime)
	close(stop)
	wg.Wait()
	sound.Wait()
	servers, at := f.arrivals(deadlyPath)
	var late []string
	for n, t := range at {
		d.record.Printf("the deadly request reached %s %v after its third crash", servers[n], t.Sub(known).Round(time.Millisecond))
		if t.After(known.Add(contactTime)) {
			late = append(late, fmt.Sprintf("%s: reached %v after the third crash under the same request", servers[n], t.Sub(known).Round(time.Millisecond)))
		}
	}
	d.record.Printf("%d engines have crashed; of %d sound requests %d streams were cut", len(f.crashes()), sent, cut)
	if len(late) <= maxLateRetries {
		return nil, nil
	}
	return late, nil
}

package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// bed is a small deployment on loopback: the store, replicas and instances.
type bed struct {
	record    *record
	store     *store
	zones     []string
	replicas  []*replica
	instances []*instance
	folder    string
}

// errCannotRun means that a case could not be run.
var errCannotRun = errors.New("the case could not be run")

// newBed starts the store and the replicas, and writes the replicas' entries and the manifest.
func newBed(r *record, replicas []*replica, manifest map[string]any) (*bed, error) {
	b := &bed{record: r, zones: []string{"a", "b", "c"}, replicas: replicas}
	var err error
	if b.folder, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	b.closeOnSignal()
	if b.store, err = startStore(); err != nil {
		return nil, err
	}
	for _, s := range replicas {
		s.record = r
		if err := s.start(); err != nil {
			return nil, err
		}
		if err := b.store.put("servers", s.id, s.entry()); err != nil {
			return nil, err
		}
	}
	if manifest == nil {
		return b, nil
	}
	return b, b.store.put("config", "main", manifest)
}

// newOwnBed starts the store and a server for instances that follow a rules file.
func newOwnBed(r *record, s *replica) (*bed, error) {
	b, err := newBed(r, nil, nil)
	if err != nil {
		return nil, err
	}
	s.record = r
	b.replicas = []*replica{s}
	return b, s.start()
}

// startOwnInstances starts n instances that follow a rules file and waits until all are ready.
func (b *bed) startOwnInstances(n int) error {
	var err error
	if b.instances, err = newInstances(n, b.zones); err != nil {
		return err
	}
	for _, in := range b.instances {
		if err := in.writeOwnSettings(b.folder, b.instances, b.store.address); err != nil {
			return err
		}
	}
	for _, in := range b.instances {
		if err := in.start(b.folder); err != nil {
			return err
		}
	}
	return b.awaitReady(10 * time.Second)
}

// startInstances starts n instances and waits until all are ready.
func (b *bed) startInstances(n int, fenced bool) error {
	var err error
	if b.instances, err = newInstances(n, b.zones); err != nil {
		return err
	}
	for _, in := range b.instances {
		if err := in.writeSettings(b.folder, b.zones, b.instances, b.store.address, fenced); err != nil {
			return err
		}
		if err := in.start(b.folder); err != nil {
			return err
		}
	}
	return b.awaitReady(10 * time.Second)
}

func (b *bed) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, in := range b.instances {
		for !in.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%w: %s is not ready", errCannotRun, in.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes of the bed.
func (b *bed) close() {
	for _, in := range b.instances {
		in.kill()
	}
	for _, s := range b.replicas {
		s.http.Close()
	}
	b.store.http.Close()
	os.RemoveAll(b.folder)
}

// closeOnSignal ends the processes of the bed if the script is told to stop.
func (b *bed) closeOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-told
		b.close()
		os.Exit(2)
	}()
}

// Names in the manifests.
const (
	modelService = "huvo11a"
	plainService = "wuno96b"
	hostName     = "ficu95.example"
	apiKey       = "3d3zji9n73hh2b9wu3fe"
	tenantName   = "huka270"
)

// clientLimits returns limits as the users' sites have them.
func clientLimits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// modelEntry returns the service of the engines, with memory for so many tokens of so many bytes.
func modelEntry(kvTokens, tokenBytes int) map[string]any {
	return map[string]any{
		"name": modelService, "healthPath": "/health", "maxConnections": 310, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 48, "kvCapacityTokens": kvTokens, "kvTokenBytes": tokenBytes, "linkMbps": 180000.0, "moves": true, "backups": true,
			"stride": 8, "most": 12, "kvHoldS": 0.5, "roleSwitchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0,
			"models": []any{map[string]any{"name": "m"}},
		},
	}
}

func plainEntry() map[string]any {
	return map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 310, "protocol": "h1", "tls": false}
}

// streamRoute returns a route to the engines whose streams may not be resumed.
func streamRoute() map[string]any {
	return map[string]any{
		"name": "r-1", "hostname": hostName, "pathPrefix": "/pufi791/", "routeType": "streaming", "timeoutMs": 14000,
		"targetLatencyMs": 900, "priority": 1, "service": modelService, "maxAttempts": 1, "public": false, "sticky": true,
		"resumable": false, "gapAimMs": 300,
	}
}

// orderRoute returns a route to the plain service whose requests may run once.
func orderRoute() map[string]any {
	return map[string]any{
		"name": "r-1", "hostname": hostName, "pathPrefix": "/pule252/", "routeType": "non_idempotent", "timeoutMs": 600,
		"targetLatencyMs": 100, "priority": 2, "service": plainService, "maxAttempts": 1, "public": false,
	}
}

func oneTenant() []any {
	return []any{map[string]any{"name": tenantName, "apiKeys": []string{apiKey}, "priority": 1}}
}

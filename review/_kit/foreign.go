package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["foreign-entry"] = runForeignEntry }

// Timing of the case.
const (
	checkIn      = 1200 * time.Millisecond // heartbeatMs
	foreignCount = 3                       // entries of another writer, one after the other
)

// runForeignEntry has another writer write an entry with missing fields under the id of a replica of a second service, which
// the replica replaces with its next check-in.
func runForeignEntry(d *deployment) ([]string, error) {
	manifest := plainManifest(plainRoute("/orders/", "non_idempotent", 1))
	manifest["services"] = append(manifest["services"].([]any), map[string]any{
		"name": "billing", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false,
	})
	if err := d.put("config", "main", manifest); err != nil {
		return nil, err
	}
	if _, err := d.startPlainReplicas(2); err != nil {
		return nil, err
	}
	billing := &plainReplicas{record: d.record}
	url, err := d.serve(billing.handler("i-billing1"))
	if err != nil {
		return nil, err
	}
	address := strings.TrimPrefix(url, "http://")
	born := time.Now().UnixMilli()
	sequence := 0
	writeOwn := func() error {
		sequence++
		return d.put("servers", "i-billing1", map[string]any{
			"service": "billing", "address": address, "zone": "zone-a", "version": "1", "slots": 6, "state": "ready",
			"coldLeftMs": 0, "sequence": sequence, "born": born,
		})
	}
	if err := writeOwn(); err != nil {
		return nil, err
	}
	if err := d.startInstances(3); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			id, i := fmt.Sprintf("%016x", n+1), d.instances[n%len(d.instances)]
			status := post(i, id, fmt.Sprintf("/orders/%d", n), "{}")
			d.record.Printf("client sends %s: POST /orders/%d to %s and gets status %d", id, n, i.name, status)
		}
	})
	for range foreignCount {
		time.Sleep(contactTime)
		if d.trouble {
			err := d.put("servers", "i-billing1", map[string]any{
				"service": plainService, "address": address, "zone": "zone-a", "state": "ready",
			})
			if err != nil {
				return nil, err
			}
			d.record.Printf("another writer writes servers/i-billing1 for the service %s, without version, slots, coldLeftMs, sequence and born", plainService)
		}
		time.Sleep(checkIn)
		if err := writeOwn(); err != nil {
			return nil, err
		}
		d.record.Printf("i-billing1 checks in: its entry is its own again")
	}
	close(stop)
	wg.Wait()
	var breaks []string
	for _, run := range billing.all() {
		breaks = append(breaks, fmt.Sprintf("%s: %s %s, which the manifest sends to %s alone, ran at %s of the service billing",
			run.id, run.method, run.target, plainService, run.replica))
	}
	return breaks, nil
}

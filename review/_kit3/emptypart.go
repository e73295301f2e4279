package main

import (
	"bufio"
	"time"
)

// emptyPart sends requests whose path begins with an empty part. Without the trouble the empty part is elsewhere in the path.
func emptyPart(r *record, trouble bool) (bool, error) {
	b, err := newBed(r, []*replica{
		{id: "i-s1", service: plainService, zone: "a", work: 15 * time.Millisecond},
		{id: "i-s2", service: plainService, zone: "b", work: 15 * time.Millisecond},
	}, map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "hostname": hostName, "pathPrefix": "/", "routeType": "non_idempotent", "timeoutMs": 4000,
			"targetLatencyMs": 300, "priority": 1, "service": plainService, "maxAttempts": 1, "public": false,
		}},
		"services": []any{plainEntry()}, "limits": clientLimits(), "tenants": oneTenant(),
	})
	if err != nil {
		return false, err
	}
	defer b.close()
	if err := b.startInstances(3, true); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	paths := []string{"//orders/2f", "//orders/2f?from=1", "//place/order"}
	if !trouble {
		paths = []string{"/orders//2f", "/orders//2f?from=1", "/place//order"}
	}
	sent := make(map[string]string) // path and query by id
	for n := range 9 {
		id, path := newAttemptID(), paths[n%3]
		sent[id] = path
		conn, err := dial(b.instances[n%3].front)
		if err != nil {
			return false, err
		}
		r.add("client sends %s: POST %s", id, path)
		a := send(conn, bufio.NewReader(conn), plainHead("POST", path, id, 4*time.Second), 5*time.Second)
		r.add("client %s: status %d, whole %v, sealed %v, %q, %v", id, a.status, a.whole, a.sealed, a.body, a.err)
		conn.Close()
	}
	changed, ran := 0, 0
	for _, s := range b.replicas {
		for _, run := range s.all() {
			ran++
			if run.target != sent[run.id] {
				changed++
				r.say("UNASKED: replica %s has run %s with the path %q, the client sent %q", s.id, run.id, run.target, sent[run.id])
			}
		}
	}
	if ran == 0 {
		return false, errCannotRun
	}
	return changed > 0, nil
}

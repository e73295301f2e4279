package main

import (
	"bufio"
	"strings"
	"time"
)

// encodedSlash sends requests whose path has an encoded slash at the place of the last slash of a route's prefix, so that the
// prefix does not begin the path. Without the trouble the slash is not encoded.
func encodedSlash(r *record, trouble bool) (bool, error) {
	const ledger = "nawu31c"
	rest := []*replica{{id: "i-s1", service: plainService, zone: "a", work: 5 * time.Millisecond}}
	orders := []*replica{{id: "i-o1", service: ledger, zone: "b", work: 5 * time.Millisecond}}
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostName, "pathPrefix": prefix, "routeType": "non_idempotent", "timeoutMs": 4000,
			"targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 1, "public": false,
		}
	}
	ledgerEntry := plainEntry()
	ledgerEntry["name"] = ledger
	b, err := newBed(r, append(rest, orders...), map[string]any{
		"version": 7, "routes": []any{route("r-1", "/", plainService), route("r-2", "/orders/", ledger)},
		"services": []any{plainEntry(), ledgerEntry}, "limits": clientLimits(), "tenants": oneTenant(),
	})
	if err != nil {
		return false, err
	}
	defer b.close()
	if err := b.startInstances(3, true); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	allowed := make(map[string]string) // service to which the manifest sends a request, by id
	for n := range 9 {
		path, service := []string{"/orders%2F2f", "/orders%2fnew", "/orders%2F2f/a"}[n%3], plainService
		if !trouble {
			path, service = strings.NewReplacer("%2F", "/", "%2f", "/").Replace(path), ledger
		}
		id := newAttemptID()
		allowed[id] = service
		conn, err := dial(b.instances[n%3].front)
		if err != nil {
			return false, err
		}
		r.add("client sends %s: POST %s", id, path)
		a := send(conn, bufio.NewReader(conn), plainHead("POST", path, id, 4*time.Second), 5*time.Second)
		r.add("client %s: status %d, whole %v, sealed %v, %q, %v", id, a.status, a.whole, a.sealed, a.body, a.err)
		conn.Close()
	}
	wrong, ran := 0, 0
	for _, s := range b.replicas {
		for _, run := range s.all() {
			ran++
			if allowed[run.id] != s.service {
				wrong++
				r.say("ROUTE: %s, POST %s, ran at a replica of %s; its path begins with the prefix of the route to %s only",
					run.id, run.target, s.service, allowed[run.id])
			}
		}
	}
	if ran == 0 {
		return false, errCannotRun
	}
	return wrong > 0, nil
}

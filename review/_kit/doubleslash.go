package main

import (
	"fmt"
	"strings"
)

func init() { cases["double-slash"] = runDoubleSlash }

// runDoubleSlash sends requests whose path begins with an empty segment, as clients do that join a base address with a slash
// at its end and a path with one at its beginning.
func runDoubleSlash(d *deployment) ([]string, error) {
	if err := d.put("config", "main", plainManifest(plainRoute("/", "non_idempotent", 1))); err != nil {
		return nil, err
	}
	replicas, err := d.startPlainReplicas(3)
	if err != nil {
		return nil, err
	}
	if err := d.startInstances(3); err != nil {
		return nil, err
	}
	base := "/"
	if !d.trouble {
		base = ""
	}
	var breaks []string
	for n, path := range []string{
		"/orders/7", "/orders/7/cancel?reason=late", "/orders", "/accounts/4/orders", "/orders/8?copies=1", "/a.example/orders/9",
	} {
		target, id := base+path, fmt.Sprintf("%016x", n+1)
		i := d.instances[n%len(d.instances)]
		status := post(i, id, target, "{}")
		d.record.Printf("client sends %s: POST %s to %s and gets status %d", id, target, i.name, status)
		for _, run := range replicas.byID(id) {
			path, host := seenByReplica(run)
			if path != target || host != plainHost {
				breaks = append(breaks, fmt.Sprintf("%s: the client sent POST %s for host %s, and %s ran POST %s for host %s (its request line said %q)",
					id, target, plainHost, run.replica, path, host, run.target))
			}
		}
	}
	return breaks, nil
}

// seenByReplica returns the path with the query, and the host, of a request as a server of HTTP/1.1 takes them from its
// request line: one that gives an absolute address names the host too.
func seenByReplica(run replicaRun) (path, host string) {
	rest, ok := strings.CutPrefix(run.target, "http://")
	if !ok {
		return run.target, run.host
	}
	at := strings.IndexAny(rest, "/?")
	if at < 0 {
		return "/", rest
	}
	return rest[at:], rest[:at]
}

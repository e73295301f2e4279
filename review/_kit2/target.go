package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// received is a request as the backend server received it.
type received struct {
	target string // as it stands in the request line
	path   string // path of the resource that it names
	host   string
}

// targetServer is a plain service that records what it received.
type targetServer struct {
	id   string
	mu   sync.Mutex
	runs map[string]received // by the id of the request
}

// ServeHTTP implements http.Handler.
func (s *targetServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Attempt-Id")
	s.mu.Lock()
	s.runs[id] = received{r.RequestURI, r.URL.Path, r.Host}
	s.mu.Unlock()
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", "seal."+id)
	_, _ = io.WriteString(w, "done")
}

// changedTarget sends orders whose path begins with two slashes, on a route for all paths.
func changedTarget(b *bed, trouble bool) (bool, error) {
	const budget = 5 * time.Second
	routes := route("r-all", "/", "non_idempotent", budget, 500*time.Millisecond)
	if err := b.put("config", "main", manifest(routes)); err != nil {
		return false, err
	}
	server := &targetServer{id: "i-7f3a91c2", runs: make(map[string]received)}
	address, err := serve(server)
	if err != nil {
		return false, err
	}
	if err := b.register(plainName, "", server.id, address, 6); err != nil {
		return false, err
	}
	if err := b.startInstances(2); err != nil {
		return false, err
	}
	targets := []string{"/orders/lamb/confirm?table=4", "/orders/lamb/cancel", "/order"}
	if trouble {
		targets = []string{"//orders/lamb/confirm?table=4", "//orders/lamb/cancel", "//order"}
	}
	changed := 0
	for n, target := range targets {
		for k, i := range b.instances {
			c, err := connect(i.front, 0)
			if err != nil {
				return false, err
			}
			out, err := c.send(http.MethodPost, target, fmt.Sprintf("9c41d07be2a3%02x%02x", n, k), budget, "", "two lambs")
			if err != nil {
				return false, err
			}
			c.receive(out, http.MethodPost, time.Now().Add(budget))
			c.conn.Close()
			server.mu.Lock()
			got, ran := server.runs[out.id]
			server.mu.Unlock()
			isChanged := ran && got.target != target
			if isChanged {
				changed++
			}
			b.record.printf("sent %s POST %s; %v; run: %v, request line POST %s, so path %q of host %q; changed: %v",
				out.id, target, out, ran, got.target, got.path, got.host, isChanged)
		}
	}
	b.record.printf("%d requests were run with a changed path", changed)
	return changed > 0, nil
}

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Names in the manifest of the plain deployments.
const (
	plainHost    = "desk.example"
	plainService = "desk"
	clientKey    = "3d3zji9n73hh2b9wu3fe"
	tenantName   = "huka270"
)

// timeBudgetMS is the time budget of each request, and the timeoutMs of its route: the longest of the sheets.
const timeBudgetMS = 14000

// shortAnswer is the longest answer that exchange reads whole.
const shortAnswer = 64 << 10

// plainRoute returns a route to the plain service. Its requests are tried at so many replicas at most.
func plainRoute(prefix, routeType string, maxAttempts int) map[string]any {
	return map[string]any{
		"name": "r-" + routeType, "hostname": plainHost, "pathPrefix": prefix, "routeType": routeType, "timeoutMs": timeBudgetMS,
		"targetLatencyMs": 900, "priority": 1, "service": plainService, "maxAttempts": maxAttempts, "public": false,
		"sticky": false, "resumable": false,
	}
}

// plainManifest returns a manifest with one plain service and routes to it.
func plainManifest(routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": 1,
		"routes":  routes,
		"services": []any{map[string]any{
			"name": plainService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []any{map[string]any{
			"name": tenantName, "apiKeys": []string{clientKey}, "priority": 1, "unit": "tokens", "plainTokens": 200,
			"ratePerS": 69431, "burst": 69431,
		}},
	}
}

// replicaRun is what a replica ran.
type replicaRun struct {
	replica, id, method, target, host string
	body                              []byte
}

// plainReplicas are sound replicas of the plain service. They run each request that names them, and answer after
// the time and with the number of bytes that the client asks for in the headers Work-Ms and Answer-Bytes.
type plainReplicas struct {
	record *recorder
	mu     sync.Mutex
	runs   []replicaRun
}

// startPlainReplicas starts n replicas and registers them in the store.
func (d *deployment) startPlainReplicas(n int) (*plainReplicas, error) {
	p := &plainReplicas{record: d.record}
	for k := range n {
		id := fmt.Sprintf("i-desk%d", k+1)
		url, err := d.serve(p.handler(id))
		if err != nil {
			return nil, err
		}
		entry := map[string]any{
			"service": plainService, "address": strings.TrimPrefix(url, "http://"), "zone": "zone-" + string(rune('a'+k%3)),
			"version": "1", "slots": 6, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		}
		if err := d.put("servers", id, entry); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *plainReplicas) handler(replica string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != replica {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		run := replicaRun{replica: replica, id: id, method: r.Method, target: r.RequestURI, host: r.Host, body: body}
		p.add(run)
		p.record.Printf("%s runs %s: %s %s", replica, id, r.Method, r.RequestURI)
		size, work := 2, 0
		_, _ = fmt.Sscan(r.Header.Get("Answer-Bytes"), &size)
		_, _ = fmt.Sscan(r.Header.Get("Work-Ms"), &work)
		select {
		case <-time.After(time.Duration(work) * time.Millisecond):
		case <-r.Context().Done():
			p.record.Printf("%s drops %s, since its channel was closed", replica, id)
			return
		}
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Response-Seal", "seal-"+id)
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", fmt.Sprint(size))
		if _, err := w.Write(bytes.Repeat([]byte("x"), size)); err != nil {
			p.record.Printf("%s can't hand over its answer to %s: %v", replica, id, err)
		}
	})
}

func (p *plainReplicas) add(run replicaRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, run)
}

// byID returns the runs of a client attempt.
func (p *plainReplicas) byID(id string) []replicaRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []replicaRun
	for _, r := range p.runs {
		if r.id == id {
			out = append(out, r)
		}
	}
	return out
}

// all returns all runs.
func (p *plainReplicas) all() []replicaRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]replicaRun(nil), p.runs...)
}

// exchange sends a request that takes its replica some time, and reads the head of its answer; a short answer is read whole.
func exchange(conn net.Conn, reader *bufio.Reader, id string, answer int, work time.Duration) (*http.Response, error) {
	_, err := fmt.Fprintf(conn, "POST /orders/7 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"+
		"Authorization: Bearer %s\r\nAnswer-Bytes: %d\r\nWork-Ms: %d\r\nContent-Length: 2\r\n\r\n{}",
		plainHost, id, timeBudgetMS, clientKey, answer, work.Milliseconds())
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil || answer > shortAnswer {
		return resp, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return resp, nil
}

// post sends a POST request on a new channel and returns the status of the answer, or 0 if none came.
func post(i *instance, id, target, body string) int {
	conn, err := net.Dial("tcp", i.front)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeBudgetMS * time.Millisecond))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"+
		"Authorization: Bearer %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		target, plainHost, id, timeBudgetMS, clientKey, len(body), body)
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

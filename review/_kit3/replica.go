package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a backend server: of a plain service, or an engine if it has a stage.
type replica struct {
	id, service, zone, stage string

	work     time.Duration // time to run a plain request
	reads    int           // prompt tokens that an engine reads in a ms; 0 for any number
	reading  chan struct{} // gets a value when an engine begins to read a prompt; may be nil
	events   int           // events of a stream
	interval time.Duration // time between them

	address string
	http    *http.Server
	record  *record

	mu      sync.Mutex
	runs    []run
	handles map[string]bool
	made    int
}

// run is a request that a replica has run.
type run struct {
	at       time.Time
	id       string
	method   string
	target   string // path and query
	tenant   string
	finished bool
}

func (r *replica) start() error {
	listener, err := listen()
	if err != nil {
		return err
	}
	r.address, r.handles = listener.Addr().String(), make(map[string]bool)
	r.http = &http.Server{Handler: r} //nolint:gosec // a stand-in for a trial
	go func() { _ = r.http.Serve(listener) }()
	return nil
}

// entry is what the replica writes to the store about itself.
func (r *replica) entry() map[string]any {
	e := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 48, "state": "ready",
		"coldLeftMs": 0, "sequence": 0, "born": bornMS,
	}
	if r.stage != "" {
		e["stage"], e["models"] = r.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return e
}

var bornMS = time.Now().UnixMilli()

// ServeHTTP answers a request as the users' protocol says.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case strings.HasPrefix(q.URL.Path, "/-/"):
		r.serveControl(w, q)
		return
	case q.Header.Get("Expected-Instance") != "" && q.Header.Get("Expected-Instance") != r.id:
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	switch {
	case q.Header.Get("Serving-Stage") == "prefill" && r.stage == "prefill":
		r.servePrefill(w, q)
	case r.stage == "decode":
		r.serveStream(w, q)
	case r.stage == "":
		r.servePlain(w, q)
	default:
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
}

func (r *replica) serveControl(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == "/-/report":
		writeJSON(w, map[string]any{
			"stage": r.stage, "busy": false, "sequence": 0, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 100000,
			"kvHandles": 0, "born": bornMS,
		})
	case q.URL.Path == "/-/order":
		w.WriteHeader(http.StatusConflict)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (r *replica) servePrefill(w http.ResponseWriter, q *http.Request) {
	text, _, _ := strings.Cut(q.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(text)
	id := q.Header.Get("Attempt-Id")
	r.record.add("replica %s reads the prompt of %s, %d tokens", r.id, id, tokens)
	select {
	case r.reading <- struct{}{}:
	default:
	}
	if r.reads > 0 {
		select {
		case <-time.After(time.Duration(tokens/r.reads) * time.Millisecond):
		case <-q.Context().Done():
			r.record.add("replica %s stops reading %s: its channel was closed", r.id, id)
			return
		}
	}
	r.record.add("replica %s has read the prompt of %s", r.id, id)
	r.mu.Lock()
	r.made++
	handle := fmt.Sprintf("%s-%d", r.id, r.made)
	r.handles[handle] = true
	r.mu.Unlock()
	writeJSON(w, map[string]any{"kvHandle": handle, "tokens": tokens, "version": 1})
}

// begin records that a request has begun to run and returns its index.
func (r *replica) begin(q *http.Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := run{at: time.Now(), id: q.Header.Get("Attempt-Id"), method: q.Method, target: q.RequestURI, tenant: q.Header.Get("Tenant-Name")}
	r.runs = append(r.runs, at)
	r.record.add("replica %s runs %s: %s %s", r.id, at.id, at.method, at.target)
	return len(r.runs) - 1
}

func (r *replica) end(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[n].finished = true
}

func (r *replica) servePlain(w http.ResponseWriter, q *http.Request) {
	n := r.begin(q)
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		r.record.add("replica %s stops %s", r.id, q.Header.Get("Attempt-Id"))
		return
	}
	body := "done " + q.Header.Get("Attempt-Id")
	w.Header().Set("Response-Seal", "seal."+r.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
	r.end(n)
}

func (r *replica) serveStream(w http.ResponseWriter, q *http.Request) {
	n := r.begin(q)
	w.Header().Set("Response-Seal", "seal."+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for event := last + 1; event <= r.events; event++ {
		select {
		case <-time.After(r.interval):
		case <-q.Context().Done():
			r.record.add("replica %s stops %s: its channel was closed after event %d of %d", r.id, r.runs[n].id, event-1, r.events)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", event, event)
		if control.Flush() != nil {
			return
		}
	}
	r.end(n)
	r.record.add("replica %s has made all events of %s", r.id, r.runs[n].id)
}

// all returns the requests that the replica has run.
func (r *replica) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Package platform is a small stand-in for the platform's store, with fault switches.
package platform

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"teaselgate/standin/fault"
)

// Limits of the store.
const (
	maxValueBytes       = 1 << 20
	maxMetadataBytes    = 64 << 10
	defaultPageItems    = 500
	maxWaitMilliseconds = 30_000
)

// object is a stored value in the form of the store's protocol.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// listPage answers a listing.
type listPage struct {
	Items []object `json:"items"`
	More  bool     `json:"morePages"`
	AsOf  uint64   `json:"asOf"`
}

// watchEvent is one event of a watch, changes its answer.
type watchEvent struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

type watchResponse struct {
	Events []watchEvent `json:"events"`
	AsOf   uint64       `json:"asOf"`
}

// snapshot is what stale listings of a kind are answered with.
type snapshot struct {
	at      time.Time
	version uint64
	objects map[string]object
}

// Server is the stand-in. Its exported fields are set before use.
type Server struct {
	Token        string        // empty: none is asked for
	StaleListAge time.Duration // age of stale listings
	PageSize     int           // objects in a page; 0: as many as the platform gives

	ReadLimit  *rate.Limiter // readings and watches; nil: without a limit
	WriteLimit *rate.Limiter // nil: without a limit
	Hook       fault.Hook    // decides at each step of a write

	mu             sync.Mutex
	version        uint64
	droppedThrough uint64 // changes up to this version are forgotten
	objects        map[string]map[string]object
	deleted        map[string]map[string]object
	changed        chan struct{} // closed at each change
	faults         Faults
	calls          map[string]int
	staleLists     map[string]snapshot
}

// Steps of writes at which the hook is asked. Attempt is the object's kind.
const (
	StepWrite   = "write"   // the request has arrived
	StepWritten = "written" // the write has taken effect, its answer not yet sent
)

// Faults are the switches of the stand-in.
type Faults struct {
	Outage             bool          // every call is answered with 503
	Delay              time.Duration // before each call
	LoseWriteResponses int           // this many writes take effect and then lose their answer
}

// NewServer returns an empty store.
func NewServer(token string) *Server {
	return &Server{
		Token:      token,
		version:    1,
		objects:    make(map[string]map[string]object),
		deleted:    make(map[string]map[string]object),
		staleLists: make(map[string]snapshot),
		changed:    make(chan struct{}),
		calls:      make(map[string]int),
	}
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Calls returns the number of calls by HTTP method; a watch counts as "WATCH".
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for method, n := range s.calls {
		out[method] = n
	}
	return out
}

// Handler serves the object API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.getList)
	mux.HandleFunc("POST /-/objects/{kind}", s.postObject)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.getObject)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", s.putObject)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", s.deleteObject)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Token != "" && r.Header.Get("Authorization") != "Bearer "+s.Token {
			http.Error(w, "bad token", http.StatusUnauthorized)
			return
		}
		if s.admit(w, r) {
			mux.ServeHTTP(w, r)
		}
	})
}

func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	method := r.Method
	if r.URL.Query().Has("watch") {
		method = "WATCH"
	}
	s.calls[method]++
	faults := s.faults
	s.mu.Unlock()
	if limiter := s.limiter(r.Method); limiter != nil && !limiter.Allow() {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Server) limiter(method string) *rate.Limiter {
	if method == http.MethodGet {
		return s.ReadLimit
	}
	return s.WriteLimit
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// postObject creates an object that must not exist yet.
func (s *Server) postObject(w http.ResponseWriter, r *http.Request) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	s.write(w, r, o, func(old object, exists bool) (int, bool) { return http.StatusConflict, !exists })
}

// putObject replaces an object, at the version that the call names.
func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	o.Metadata.Name = r.PathValue("name")
	s.write(w, r, o, func(old object, exists bool) (int, bool) {
		if !exists {
			return http.StatusNotFound, false
		}
		return http.StatusConflict, o.Metadata.Revision == 0 || o.Metadata.Revision == old.Metadata.Revision
	})
}

// readObject reads the body of a write; without an object the call has its answer.
func readObject(w http.ResponseWriter, r *http.Request) (object, bool) {
	var o object
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes+maxMetadataBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return o, false
	}
	if err := json.Unmarshal(text, &o); err != nil || len(o.Spec) > maxValueBytes {
		http.Error(w, "bad object", http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// write carries out a write if the check allows it. A write that changes nothing makes no new revision.
func (s *Server) write(w http.ResponseWriter, r *http.Request, o object, check func(old object, exists bool) (int, bool)) {
	kind := r.PathValue("kind")
	if s.Hook.Apply(w, r, fault.Step{Name: StepWrite, Subject: kind}) == fault.Reject {
		return
	}
	s.mu.Lock()
	old, exists := s.objects[kind][o.Metadata.Name]
	if status, ok := check(old, exists); !ok {
		s.mu.Unlock()
		writeJSON(w, status, old)
		return
	}
	o.Metadata.Revision, o.Metadata.Created = old.Metadata.Revision, old.Metadata.Created
	if !exists || !bytes.Equal(old.Spec, o.Spec) {
		s.version++
		o.Metadata.Revision = s.version
		if !exists {
			o.Metadata.Created = s.version
		}
		s.insert(kind, o)
	}
	loseResponse := s.takeLostResponse()
	s.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	_ = s.Hook.Apply(w, r, fault.Step{Name: StepWritten, Subject: kind})
	writeJSON(w, http.StatusOK, o)
}

// insert keeps an object and wakes the watches; the caller holds the lock.
func (s *Server) insert(kind string, o object) {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Metadata.Name] = o
	delete(s.deleted[kind], o.Metadata.Name)
	s.notifyWatches()
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	o, exists := s.objects[kind][name]
	if !exists {
		s.mu.Unlock()
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if want := r.URL.Query().Get("revision"); want != "" && want != strconv.FormatUint(o.Metadata.Revision, 10) {
		s.mu.Unlock()
		writeJSON(w, http.StatusConflict, o)
		return
	}
	s.version++
	o.Metadata.Revision = s.version
	delete(s.objects[kind], name)
	if s.deleted[kind] == nil {
		s.deleted[kind] = make(map[string]object)
	}
	s.deleted[kind][name] = o
	s.notifyWatches()
	loseResponse := s.takeLostResponse()
	s.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, o)
}

// DropHistory forgets all changes so far: watches from before get 410.
func (s *Server) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedThrough = s.version
	s.notifyWatches()
}

// takeLostResponse uses up one lost answer; the caller holds the lock.
func (s *Server) takeLostResponse() bool {
	if s.faults.LoseWriteResponses == 0 {
		return false
	}
	s.faults.LoseWriteResponses--
	return true
}

// notifyWatches lets all watches look again; the caller holds the lock.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// getList answers with a page of a kind, or waits for changes if the call is a watch.
func (s *Server) getList(w http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	if after, err := strconv.ParseUint(query.Get("watch"), 10, 64); err == nil {
		s.watch(w, r, kind, after)
		return
	}
	s.mu.Lock()
	if query.Has("staleOk") && s.StaleListAge > 0 {
		s.refreshStaleList(kind)
		p := newPage(s.staleLists[kind].objects, s.staleLists[kind].version, query.Get("after"), s.pageItems())
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, p)
		return
	}
	p := newPage(s.objects[kind], s.version, query.Get("after"), s.pageItems())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, p)
}

func (s *Server) pageItems() int { return cmp.Or(s.PageSize, defaultPageItems) }

// refreshStaleList takes the objects of a kind anew once the kept ones are older than the lag; the caller holds the lock.
func (s *Server) refreshStaleList(kind string) {
	old, ok := s.staleLists[kind]
	if now := time.Now(); !ok || now.Sub(old.at) >= s.StaleListAge {
		s.staleLists[kind] = snapshot{at: now, version: s.version, objects: maps.Clone(s.objects[kind])}
	}
}

// newPage returns the objects after a name, up to a number of them.
func newPage(objects map[string]object, version uint64, after string, limit int) listPage {
	p := listPage{Items: []object{}, AsOf: version}
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		if name <= after {
			continue
		}
		if len(p.Items) == limit {
			p.More = true
			break
		}
		p.Items = append(p.Items, objects[name])
	}
	return p
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, kind string, after uint64) {
	wait, err := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || wait < 0 || wait > maxWaitMilliseconds {
		http.Error(w, "bad waitMs", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		response, status, changed := s.changesAfter(kind, after)
		if status != http.StatusOK || len(response.Events) > 0 {
			writeJSON(w, status, response)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, status, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns what has changed in a kind after a version, and a channel that closes at the next change.
func (s *Server) changesAfter(kind string, after uint64) (watchResponse, int, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := watchResponse{Events: []watchEvent{}, AsOf: s.version}
	if s.faults.Outage {
		return response, http.StatusServiceUnavailable, s.changed
	}
	if after < s.droppedThrough {
		return response, http.StatusGone, s.changed
	}
	for _, o := range s.objects[kind] {
		if o.Metadata.Revision > after {
			response.Events = append(response.Events, watchEvent{Object: o})
		}
	}
	for _, o := range s.deleted[kind] {
		if o.Metadata.Revision > after {
			response.Events = append(response.Events, watchEvent{Object: o, Removed: true})
		}
	}
	slices.SortFunc(response.Events, func(a, b watchEvent) int {
		return cmp.Compare(a.Object.Metadata.Revision, b.Object.Metadata.Revision)
	})
	return response, http.StatusOK, s.changed
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(fmt.Errorf("standin: unable to encode an answer: %w", err))
	}
}

// Package platform is a small stand-in for the platform store, with fault injection.
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

// Limits of the platform store.
const (
	maxValueBytes    = 1 << 20
	maxMetadataBytes = 64 << 10
	defaultPageSize  = 500
	maxWaitMS        = 30_000
)

// object is a stored object in the JSON form of the platform store's API.
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

// listPage is the response to a list call.
type listPage struct {
	Items []object `json:"items"`
	More  bool     `json:"morePages"`
	AsOf  uint64   `json:"asOf"`
}

// watchEvent is one change of an object.
type watchEvent struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// watchResponse is the response to a watch call.
type watchResponse struct {
	Events []watchEvent `json:"events"`
	AsOf   uint64       `json:"asOf"`
}

// snapshot holds the objects of a kind that stale lists return.
type snapshot struct {
	takenAt time.Time
	version uint64
	objects map[string]object
}

// Server is the stand-in. Its exported fields must be set before use.
type Server struct {
	Token        string        // bearer token that callers must send; empty accepts every call
	StaleListAge time.Duration // how old the result of a stale list may be; 0 makes stale lists current
	PageSize     int           // objects per page; 0 means the page size of the real platform store

	ReadLimit  *rate.Limiter // rate limit of reads and watches; nil means unlimited
	WriteLimit *rate.Limiter // rate limit of writes; nil means unlimited
	Hook       fault.Hook    // injects faults when an object is created or replaced

	mu             sync.Mutex
	version        uint64
	era            uint64                       // number of restores
	droppedThrough uint64                       // version up to which the change history has been dropped
	objects        map[string]map[string]object // by kind and name
	deleted        map[string]map[string]object // deleted objects by kind and name, for watches
	changed        chan struct{}                // closed and replaced when watches must check for changes
	faults         Faults
	calls          map[string]int      // number of calls by method, as Calls returns them
	staleLists     map[string]snapshot // snapshots for stale lists, by kind
}

// Steps of creating and replacing objects at which Hook is called. The step's subject is the object kind.
const (
	StepWrite   = "write"   // the request has arrived
	StepWritten = "written" // the write has taken effect, the response has not been sent
)

// Faults are the faults to inject.
type Faults struct {
	Outage             bool          // every call gets a 503 response
	Delay              time.Duration // delay before each call
	LoseWriteResponses int           // number of upcoming writes that take effect but get no response
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

// SetFaults replaces the injected faults.
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
		w = &eraWriter{w, s}
		if s.Token != "" && r.Header.Get("Authorization") != "Bearer "+s.Token {
			http.Error(w, "bad token", http.StatusUnauthorized)
			return
		}
		if s.admit(w, r) {
			mux.ServeHTTP(w, r)
		}
	})
}

// admit counts a call and reports whether it may go on; otherwise it has written an error response.
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

// limiter returns the rate limiter for an HTTP method, or nil.
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

// postObject creates an object and responds with a conflict if it exists.
func (s *Server) postObject(w http.ResponseWriter, r *http.Request) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	s.write(w, r, o, func(old object, exists bool) (int, bool) { return http.StatusConflict, !exists })
}

// putObject replaces an object. If the request names a revision, it must be the current one.
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

// readObject reads an object from the request body. If it returns false, it has written an error response.
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

// write stores an object if check returns true, and otherwise responds with the status that check returns. A write that
// does not change the object's spec stores nothing, and the object keeps its revision.
func (s *Server) write(
	w http.ResponseWriter, r *http.Request, o object, check func(old object, exists bool) (int, bool),
) {
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
	loseResponse := s.consumeLostResponse()
	s.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	_ = s.Hook.Apply(w, r, fault.Step{Name: StepWritten, Subject: kind})
	writeJSON(w, http.StatusOK, o)
}

// insert stores an object and notifies the watches; s.mu must be held.
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
	loseResponse := s.consumeLostResponse()
	s.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, o)
}

// DropHistory drops the change history: watches that start at an older version get a 410 response.
func (s *Server) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedThrough = s.version
	s.notifyWatches()
}

// consumeLostResponse reports whether this write gets no response, and counts down LoseWriteResponses; s.mu must be
// held.
func (s *Server) consumeLostResponse() bool {
	if s.faults.LoseWriteResponses == 0 {
		return false
	}
	s.faults.LoseWriteResponses--
	return true
}

// notifyWatches makes all watches check for changes; s.mu must be held.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// getList responds with a page of the objects of a kind, or waits for changes if the call is a watch.
func (s *Server) getList(w http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	if after, err := strconv.ParseUint(query.Get("watch"), 10, 64); err == nil {
		s.watch(w, r, kind, after)
		return
	}
	s.mu.Lock()
	if query.Has("staleOk") && s.StaleListAge > 0 {
		s.refreshStaleList(kind)
		p := newPage(s.staleLists[kind].objects, s.staleLists[kind].version, query.Get("after"), s.pageSize())
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, p)
		return
	}
	p := newPage(s.objects[kind], s.version, query.Get("after"), s.pageSize())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, p)
}

// pageSize returns the number of objects per page.
func (s *Server) pageSize() int { return cmp.Or(s.PageSize, defaultPageSize) }

// refreshStaleList takes a snapshot of a kind if there is none or the last one is at least StaleListAge old; s.mu must
// be held.
func (s *Server) refreshStaleList(kind string) {
	old, ok := s.staleLists[kind]
	if now := time.Now(); !ok || now.Sub(old.takenAt) >= s.StaleListAge {
		s.staleLists[kind] = snapshot{takenAt: now, version: s.version, objects: maps.Clone(s.objects[kind])}
	}
}

// newPage returns up to limit objects whose names sort after the given name.
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

// watch responds with the changes of a kind after a version, and waits up to waitMs for the first.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, kind string, after uint64) {
	wait, err := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || wait < 0 || wait > maxWaitMS {
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

// changesAfter returns the changes of a kind after a version, the response status, and a channel that is closed when
// there may be more changes.
func (s *Server) changesAfter(kind string, after uint64) (watchResponse, int, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := watchResponse{Events: []watchEvent{}, AsOf: s.version}
	if s.faults.Outage {
		return response, http.StatusServiceUnavailable, s.changed
	}
	if after < s.droppedThrough || after > s.version {
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
		panic(fmt.Errorf("platform: unable to encode a response: %w", err))
	}
}

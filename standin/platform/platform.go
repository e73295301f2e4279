// Package platform is a small stand-in for the platform's object API, with fault switches.
package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	api "teaselgate/platform"
	"teaselgate/standin/fault"
)

const (
	maxValueBytes = 1 << 20
	watchTimeout  = 20 * time.Second
	instanceKind  = "instance"
)

// Server is the stand-in. Its exported fields are set before use.
type Server struct {
	Token string
	Lag   time.Duration // age of the list of instances

	Reads  *rate.Limiter // readings and watches; nil: without a limit
	Writes *rate.Limiter // nil: without a limit
	Hook   fault.Hook    // decides at each step of a write

	mu       sync.Mutex
	version  uint64
	objects  map[string]map[string]api.Object
	deleted  map[string][]api.Object
	changed  chan struct{} // closed at each change
	faults   Faults
	calls    map[string]int
	listed   []api.Instance
	listedAt time.Time
}

// Steps of writes at which the hook is asked. Attempt is the object's kind.
const (
	StepWrite   = "write"   // the request has arrived
	StepWritten = "written" // the write has taken effect, its answer not yet sent
)

// Faults are the switches of the stand-in.
type Faults struct {
	Outage     bool          // every call is answered with 503
	Delay      time.Duration // before each call
	LoseWrites int           // this many writes take effect and then lose their answer
}

// NewServer returns an empty store.
func NewServer(token string) *Server {
	return &Server{
		Token:   token,
		objects: make(map[string]map[string]api.Object),
		deleted: make(map[string][]api.Object),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
	}
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
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
	mux.HandleFunc("GET /instances", s.getInstances)
	mux.HandleFunc("GET /objects/{kind}", s.getList)
	mux.HandleFunc("GET /objects/{kind}/{name}", s.getObject)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.putObject)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.deleteObject)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+s.Token {
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
	if r.URL.Query().Has("after") {
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
		return s.Reads
	}
	return s.Writes
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	answer(w, o)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	if s.Hook.At(w, r, fault.Step{Name: StepWrite, Attempt: kind}) == fault.Refuse {
		return
	}
	s.mu.Lock()
	if !s.matches(kind, name, r.Header.Get("If-Match")) {
		s.mu.Unlock()
		http.Error(w, "another version is stored", http.StatusPreconditionFailed)
		return
	}
	s.version++
	o := api.Object{Kind: kind, Name: name, Version: s.version, Data: data}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]api.Object)
	}
	s.objects[kind][name] = o
	s.wake()
	lose := s.loseAnswer()
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	_ = s.Hook.At(w, r, fault.Step{Name: StepWritten, Attempt: kind})
	answer(w, o)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	if !s.matches(kind, name, r.Header.Get("If-Match")) {
		s.mu.Unlock()
		http.Error(w, "another version is stored", http.StatusPreconditionFailed)
		return
	}
	s.version++
	o := api.Object{Kind: kind, Name: name, Version: s.version, Deleted: true}
	delete(s.objects[kind], name)
	s.deleted[kind] = append(s.deleted[kind], o)
	s.wake()
	lose := s.loseAnswer()
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	answer(w, o)
}

// matches checks a conditional write; the caller holds the lock.
func (s *Server) matches(kind, name, match string) bool {
	return match == strconv.FormatUint(s.objects[kind][name].Version, 10)
}

// loseAnswer uses up one lost answer; the caller holds the lock.
func (s *Server) loseAnswer() bool {
	if s.faults.LoseWrites == 0 {
		return false
	}
	s.faults.LoseWrites--
	return true
}

// wake lets all watches look again; the caller holds the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) getList(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	watch := err == nil
	timeout := time.After(watchTimeout)
	for {
		list, changed, outage := s.list(r.PathValue("kind"), after, watch)
		if outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if !watch || len(list.Objects) > 0 {
			answer(w, list)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) list(kind string, after uint64, watch bool) (api.List, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := api.List{Version: s.version}
	for _, o := range s.objects[kind] {
		if o.Version > after {
			list.Objects = append(list.Objects, o)
		}
	}
	for _, o := range s.deleted[kind] {
		if watch && o.Version > after {
			list.Objects = append(list.Objects, o)
		}
	}
	sort.Slice(list.Objects, func(i, j int) bool { return list.Objects[i].Version < list.Objects[j].Version })
	return list, s.changed, s.faults.Outage
}

// getInstances answers with a list that is up to Lag old.
func (s *Server) getInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.listed == nil || now.Sub(s.listedAt) >= s.Lag {
		s.listed = s.readInstances()
		s.listedAt = now
	}
	answer(w, s.listed)
}

// readInstances decodes the instance objects; the caller holds the lock.
func (s *Server) readInstances() []api.Instance {
	out := make([]api.Instance, 0, len(s.objects[instanceKind]))
	for _, o := range s.objects[instanceKind] {
		var i api.Instance
		if json.Unmarshal(o.Data, &i) == nil {
			out = append(out, i)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(fmt.Errorf("standin: unable to encode an answer: %w", err))
	}
}

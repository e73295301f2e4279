// Package backend emulates the users' backend servers: plain services and model engines with separate prefill, in the
// users' protocol, with fault switches. It states what it saw, so that tests can check promises.
package backend

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server is one backend server. Its exported fields are set before it serves.
type Server struct {
	ID    string
	Stage string // prefill, decode, or empty for a plain service

	Slots   int           // requests that run at once
	QueueLimit   int           // requests that wait; more are rejected
	ServiceTime    time.Duration // of a plain request
	KVTokens  int           // tokens of an engine, given out in blocks
	PrefillRate    float64       // prompt tokens computed a second
	EventInterval    time.Duration // between events of a stream that runs alone
	EventIntervalPerStream   time.Duration // that each other stream adds to it
	StreamEvents  int           // of a stream
	HandleLifetime    time.Duration // life of a computed prompt
	ReportInterval     time.Duration // age of reports at most
	StageChangeTime   time.Duration // that an order takes
	IdleTimeout    time.Duration // after which idle connections are closed; what is said of them is Told
	AdvertisedIdleTimeout    time.Duration // how long idle connections are said to be kept; 0 if nothing is said
	FindServer func(address string) *Server

	mu      sync.Mutex
	stage   string    // in force
	fence   uint64    // highest seen
	orders  int64     // accepted
	until   time.Time // end of the order in progress
	report  []byte    // of a moment ago
	taken   time.Time // when the report was taken
	faults  Faults
	arrived int
	busy    int
	waiting int
	used    int
	handles map[string]int // tokens by handle
	next    int
	seen    []ReceivedRequest
	working map[string]int // runs in progress by id
	wake    chan struct{}
}

// Faults are the switches of a server.
type Faults struct {
	Fail       bool // runs and answers 500
	Reject       bool // rejects, without running
	LoseResponse bool // runs and never answers
	Truncate        bool // ends the answer halfway
	OmitSeal   bool // answers without proof
	WrongID    bool // answers with another request's id
	WrongServer    bool // another server has the address
	Silent     bool // takes requests and does nothing
	AbortAfterEvents int  // events, after which a stream is cut
	NoReport   bool // gives no reports, though it works
	Duplicate     bool // sends each answer of a plain service twice

	ResponseDelay  time.Duration // that answers come late, after the work
	EveryNth int           // one in so many requests meets the faults, as at a grey server; 0: all
}

// meets tells whether the next request meets the faults, and counts it; the caller holds the lock.
func (s *Server) meets() bool {
	s.arrived++
	return s.faults.EveryNth == 0 || s.arrived%s.faults.EveryNth == 0
}

// ReceivedRequest is one request as it arrived.
type ReceivedRequest struct {
	ID      string
	Path    string
	Body    string
	Header  http.Header
	Ran     bool
	Prefill bool
	ReceivedAt      time.Time
}

// Header names of the protocol that a server reads or writes.
const (
	headerID        = "Attempt-Id"
	headerSeal      = "Response-Seal"
	headerNotRun    = "Not-Executed"
	headerServer    = "Expected-Instance"
	headerStage     = "Serving-Stage"
	headerSource    = "Kv-Source"
	headerTokens    = "Token-Count"
	headerLast      = "Last-Event-Id"
	headerSelf      = "Instance-Id"
	headerKeepAlive = "Keep-Alive"
	stagePrefill    = "prefill"
	eventTokens     = 8 // in one event of a stream
	halfAnswer      = "half"
	wholeAnswer     = "whole answer of "
	foreignAnswer   = "another-request"
)

// Init makes the server ready to serve.
func (s *Server) Init() *Server {
	s.handles = make(map[string]int)
	s.working = make(map[string]int)
	s.wake = make(chan struct{})
	s.stage = s.Stage
	return s
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Received returns the requests that arrived.
func (s *Server) Received() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedRequest(nil), s.seen...)
}

// Runs returns how often the server ran a request.
func (s *Server) Runs(id string) int {
	n := 0
	for _, seen := range s.Received() {
		if seen.ID == id && seen.Ran {
			n++
		}
	}
	return n
}

// Running returns the number of requests that run now.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.working)
}

// UsedTokens returns the tokens in memory that runs and computed prompts hold.
func (s *Server) UsedTokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/-/") {
		s.serveControl(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	call := ReceivedRequest{
		ID: r.Header.Get(headerID), Path: r.RequestURI, Body: string(body), Header: r.Header.Clone(),
		Prefill: r.Header.Get(headerStage) == stagePrefill, ReceivedAt: time.Now(),
	}
	s.mu.Lock()
	faults, changing := s.faults, time.Now().Before(s.until)
	if !s.meets() {
		faults = Faults{}
	}
	s.mu.Unlock()
	if s.AdvertisedIdleTimeout > 0 {
		w.Header().Set(headerKeepAlive, fmt.Sprintf("timeout=%d", int(s.AdvertisedIdleTimeout.Seconds())))
	}
	switch {
	case faults.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case faults.WrongServer || r.Header.Get(headerServer) != "" && r.Header.Get(headerServer) != s.ID:
		s.note(call, false)
		w.Header().Set(headerSelf, "another")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case faults.Reject || changing:
		s.note(call, false)
		reject(w)
	case s.Stage == "":
		s.servePlain(w, r, call, faults)
	case call.Prefill:
		s.servePrefill(w, r, call, faults)
	default:
		s.serveDecode(w, r, call, faults)
	}
}

func reject(w http.ResponseWriter) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) note(call ReceivedRequest, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.Ran = ran
	s.seen = append(s.seen, call)
}

// begin takes a slot, waiting in the queue for one; it returns false if the request was rejected or its caller left.
func (s *Server) begin(w http.ResponseWriter, r *http.Request, call ReceivedRequest, tokens int) bool {
	s.mu.Lock()
	if s.busy >= s.Slots && s.waiting >= s.QueueLimit || s.KVTokens > 0 && s.used+tokens > s.KVTokens {
		s.mu.Unlock()
		s.note(call, false)
		reject(w)
		return false
	}
	s.waiting++
	for s.busy >= s.Slots {
		wake := s.wake
		s.mu.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
			s.mu.Lock()
			s.waiting--
			s.mu.Unlock()
			s.note(call, false)
			return false
		}
		s.mu.Lock()
	}
	s.waiting--
	s.busy++
	s.used += tokens
	s.working[call.ID]++
	s.mu.Unlock()
	s.note(call, true)
	return true
}

// end gives the slot and the memory back.
func (s *Server) end(call ReceivedRequest, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.used -= tokens
	if s.working[call.ID]--; s.working[call.ID] == 0 {
		delete(s.working, call.ID)
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

// work passes time unless the caller leaves.
func work(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, call ReceivedRequest, faults Faults) {
	if !s.begin(w, r, call, 0) {
		return
	}
	defer s.end(call, 0)
	if !work(r, s.ServiceTime) {
		panic(http.ErrAbortHandler)
	}
	if faults.LoseResponse {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !work(r, faults.ResponseDelay) {
		panic(http.ErrAbortHandler)
	}
	s.seal(w, call, faults)
	text := wholeAnswer + call.ID
	if faults.Duplicate {
		sendTwice(w, text)
		return
	}
	if faults.Truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, halfAnswer)
		panic(http.ErrAbortHandler)
	}
	if faults.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		text = "failed"
	}
	_, _ = io.WriteString(w, text)
}

// sendTwice answers twice on one connection, as a server does that mixes its answers up.
func sendTwice(w http.ResponseWriter, text string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(text))
	if err := w.Header().Write(&answer); err != nil {
		panic(http.ErrAbortHandler)
	}
	answer.WriteString("\r\n" + text)
	_, _ = buffer.Write(answer.Bytes())
	_, _ = buffer.Write(answer.Bytes())
	_ = buffer.Flush() // the caller may be gone
}

// seal sets the headers of the server's own answers.
func (s *Server) seal(w http.ResponseWriter, call ReceivedRequest, faults Faults) {
	id := call.ID
	if faults.WrongID {
		id = foreignAnswer
	}
	w.Header().Set(headerID, id)
	if !faults.OmitSeal {
		w.Header().Set(headerSeal, "seal."+s.ID+"."+id)
	}
}

// Account returns the client account for which a request came.
func (s ReceivedRequest) Account() string { return s.Header.Get("Tenant-Name") }

// ExpectedServer returns the server for which a request was meant.
func (s ReceivedRequest) ExpectedServer() string { return s.Header.Get(headerServer) }

// KVSource returns where a prompt's KV cache was to be fetched.
func (s ReceivedRequest) KVSource() string { return s.Header.Get(headerSource) }

// TimeLeft returns how long the caller still waited, or false if the request does not say.
func (s ReceivedRequest) TimeLeft() (time.Duration, bool) {
	ms, err := strconv.Atoi(s.Header.Get("Deadline-Ms"))
	return time.Duration(ms) * time.Millisecond, err == nil
}

// HeadersContain tells whether a text stands in any header of a request.
func (s ReceivedRequest) HeadersContain(text string) bool {
	for _, values := range s.Header {
		if strings.Contains(strings.Join(values, " "), text) {
			return true
		}
	}
	return false
}

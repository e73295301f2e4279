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

	Slots                  int           // requests that run at once
	QueueLimit             int           // requests that wait; more are rejected
	ServiceTime            time.Duration // of a plain request
	KVTokens               int           // tokens of an engine, given out in blocks
	PrefillRate            float64       // prompt tokens computed a second
	EventInterval          time.Duration // between events of a stream that runs alone
	EventIntervalPerStream time.Duration // that each other stream adds to it
	StreamEvents           int           // of a stream
	HandleLifetime         time.Duration // life of a computed prompt
	ReportInterval         time.Duration // age of reports at most
	StageChangeTime        time.Duration // that an order takes
	IdleTimeout            time.Duration // after which idle connections are closed; what is said of them is Told
	AdvertisedIdleTimeout  time.Duration // how long idle connections are said to be kept; 0 if nothing is said
	FindServer             func(address string) *Server

	mu             sync.Mutex
	currentStage   string    // in force
	highestFence   uint64    // highest seen
	acceptedOrders int64     // accepted
	stageChangeEnd time.Time // end of the order in progress
	lastReport     []byte    // of a moment ago
	lastReportTime time.Time // when the report was taken
	faults         Faults
	requestCount   int
	usedSlots      int
	queued         int
	usedTokens     int
	handleTokens   map[string]int // tokens by handle
	handleCount    int
	received       []ReceivedRequest
	runningByID    map[string]int // runs in progress by id
	slotReleased   chan struct{}
}

// Faults are the switches of a server.
type Faults struct {
	Fail             bool // runs and answers 500
	Reject           bool // rejects, without running
	LoseResponse     bool // runs and never answers
	Truncate         bool // ends the answer halfway
	OmitSeal         bool // answers without proof
	WrongID          bool // answers with another request's id
	WrongServer      bool // another server has the address
	Silent           bool // takes requests and does nothing
	AbortAfterEvents int  // events, after which a stream is cut
	NoReport         bool // gives no reports, though it works
	Duplicate        bool // sends each answer of a plain service twice

	ResponseDelay time.Duration // that answers come late, after the work
	EveryNth      int           // one in so many requests meets the faults, as at a grey server; 0: all
}

// nextRequestFails tells whether the next request meets the faults, and counts it; the caller holds the lock.
func (s *Server) nextRequestFails() bool {
	s.requestCount++
	return s.faults.EveryNth == 0 || s.requestCount%s.faults.EveryNth == 0
}

// ReceivedRequest is one request as it arrived.
type ReceivedRequest struct {
	ID         string
	Path       string
	Body       string
	Header     http.Header
	Ran        bool
	Prefill    bool
	ReceivedAt time.Time
}

// Header names of the protocol that a server reads or writes.
const (
	headerID             = "Attempt-Id"
	headerSeal           = "Response-Seal"
	headerNotExecuted    = "Not-Executed"
	headerExpectedServer = "Expected-Instance"
	headerStage          = "Serving-Stage"
	headerKVSource       = "Kv-Source"
	headerTokens         = "Token-Count"
	headerLastEventID    = "Last-Event-Id"
	headerInstanceID     = "Instance-Id"
	headerKeepAlive      = "Keep-Alive"
	stagePrefill         = "prefill"
	eventTokens          = 8 // in one event of a stream
	partialBody          = "half"
	bodyPrefix           = "whole answer of "
	otherRequestID       = "another-request"
)

// Init makes the server ready to serve.
func (s *Server) Init() *Server {
	s.handleTokens = make(map[string]int)
	s.runningByID = make(map[string]int)
	s.slotReleased = make(chan struct{})
	s.currentStage = s.Stage
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
	return append([]ReceivedRequest(nil), s.received...)
}

// Runs returns how often the server ran a request.
func (s *Server) Runs(id string) int {
	n := 0
	for _, request := range s.Received() {
		if request.ID == id && request.Ran {
			n++
		}
	}
	return n
}

// Running returns the number of requests that run now.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runningByID)
}

// UsedTokens returns the tokens in memory that runs and computed prompts hold.
func (s *Server) UsedTokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usedTokens
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
	received := ReceivedRequest{
		ID: r.Header.Get(headerID), Path: r.RequestURI, Body: string(body), Header: r.Header.Clone(),
		Prefill: r.Header.Get(headerStage) == stagePrefill, ReceivedAt: time.Now(),
	}
	s.mu.Lock()
	faults, stageChanging := s.faults, time.Now().Before(s.stageChangeEnd)
	if !s.nextRequestFails() {
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
	case faults.WrongServer || r.Header.Get(headerExpectedServer) != "" && r.Header.Get(headerExpectedServer) != s.ID:
		s.record(received, false)
		w.Header().Set(headerInstanceID, "another")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case faults.Reject || stageChanging:
		s.record(received, false)
		reject(w)
	case s.Stage == "":
		s.servePlain(w, r, received, faults)
	case received.Prefill:
		s.servePrefill(w, r, received, faults)
	default:
		s.serveDecode(w, r, received, faults)
	}
}

func reject(w http.ResponseWriter) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) record(received ReceivedRequest, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	received.Ran = ran
	s.received = append(s.received, received)
}

// acquireSlot takes a slot, waiting in the queue for one; it returns false if the request was rejected or its caller left.
func (s *Server) acquireSlot(w http.ResponseWriter, r *http.Request, received ReceivedRequest, tokens int) bool {
	s.mu.Lock()
	if s.usedSlots >= s.Slots && s.queued >= s.QueueLimit || s.KVTokens > 0 && s.usedTokens+tokens > s.KVTokens {
		s.mu.Unlock()
		s.record(received, false)
		reject(w)
		return false
	}
	s.queued++
	for s.usedSlots >= s.Slots {
		slotReleased := s.slotReleased
		s.mu.Unlock()
		select {
		case <-slotReleased:
		case <-r.Context().Done():
			s.mu.Lock()
			s.queued--
			s.mu.Unlock()
			s.record(received, false)
			return false
		}
		s.mu.Lock()
	}
	s.queued--
	s.usedSlots++
	s.usedTokens += tokens
	s.runningByID[received.ID]++
	s.mu.Unlock()
	s.record(received, true)
	return true
}

// releaseSlot gives the slot and the memory back.
func (s *Server) releaseSlot(received ReceivedRequest, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedSlots--
	s.usedTokens -= tokens
	if s.runningByID[received.ID]--; s.runningByID[received.ID] == 0 {
		delete(s.runningByID, received.ID)
	}
	close(s.slotReleased)
	s.slotReleased = make(chan struct{})
}

// sleep passes time unless the caller leaves.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, received ReceivedRequest, faults Faults) {
	if !s.acquireSlot(w, r, received, 0) {
		return
	}
	defer s.releaseSlot(received, 0)
	if !sleep(r, s.ServiceTime) {
		panic(http.ErrAbortHandler)
	}
	if faults.LoseResponse {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !sleep(r, faults.ResponseDelay) {
		panic(http.ErrAbortHandler)
	}
	s.setResponseHeaders(w, received, faults)
	body := bodyPrefix + received.ID
	if faults.Duplicate {
		sendTwice(w, body)
		return
	}
	if faults.Truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, partialBody)
		panic(http.ErrAbortHandler)
	}
	if faults.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		body = "failed"
	}
	_, _ = io.WriteString(w, body)
}

// sendTwice answers twice on one connection, as a server does that mixes its answers up.
func sendTwice(w http.ResponseWriter, body string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	var response bytes.Buffer
	fmt.Fprintf(&response, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body))
	if err := w.Header().Write(&response); err != nil {
		panic(http.ErrAbortHandler)
	}
	response.WriteString("\r\n" + body)
	_, _ = buffer.Write(response.Bytes())
	_, _ = buffer.Write(response.Bytes())
	_ = buffer.Flush() // the caller may be gone
}

// setResponseHeaders sets the headers of the server's own answers.
func (s *Server) setResponseHeaders(w http.ResponseWriter, received ReceivedRequest, faults Faults) {
	id := received.ID
	if faults.WrongID {
		id = otherRequestID
	}
	w.Header().Set(headerID, id)
	if !faults.OmitSeal {
		w.Header().Set(headerSeal, "seal."+s.ID+"."+id)
	}
}

// Account returns the client account for which a request came.
func (s ReceivedRequest) Account() string { return s.Header.Get("Tenant-Name") }

// ExpectedServer returns the server for which a request was meant.
func (s ReceivedRequest) ExpectedServer() string { return s.Header.Get(headerExpectedServer) }

// KVSource returns where a prompt's KV cache was to be fetched.
func (s ReceivedRequest) KVSource() string { return s.Header.Get(headerKVSource) }

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

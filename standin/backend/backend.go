// Package backend emulates backend servers that speak the users' protocol: plain services and engines for prefill and
// decode. It injects faults and records the requests that it received, for tests to check.
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

// Server is one backend server. Its exported fields must be set before it serves.
type Server struct {
	ID    string
	Stage string // stage at the start: prefill, decode, or empty for a plain service

	Slots                  int                          // requests that may run at once
	QueueLimit             int                          // requests that may wait for a slot; more are rejected
	ServiceTime            time.Duration                // time to run a plain request
	KVTokens               int                          // KV cache capacity, allocated in blocks; 0 means no limit
	PrefillRate            float64                      // prompt tokens computed per second
	EventInterval          time.Duration                // time between the events of a stream that runs alone
	EventIntervalPerStream time.Duration                // added to EventInterval by each other running stream
	StreamEvents           int                          // number of events in a stream
	HandleLifetime         time.Duration                // how long the KV cache of a computed prompt is kept if it is not taken
	ReportInterval         time.Duration                // how long a report is served before a new one is taken
	StageChangeTime        time.Duration                // time that a stage change takes
	IdleTimeout            time.Duration                // idle timeout for the http.Server that runs it; not applied here
	AdvertisedIdleTimeout  time.Duration                // stated in the Keep-Alive header; 0 sends no header
	FindServer             func(address string) *Server // finds the prefill engine at an address, or nil
	DeadlyParts            []string                     // parts of prompts on which an engine crashes when it begins to write
	DeadlyRequests         []DeadlyRequest              // requests that crash the server
	RestartTime            time.Duration                // time from a crash until the server is back
	OnCrash                func()                       // called when the server crashes; may be nil

	mu             sync.Mutex
	currentStage   string
	highestFence   uint64    // highest fencing number of the orders carried out
	stageChanges   int64     // number of stage changes begun
	stageChangeEnd time.Time // end of the last stage change
	lastReport     []byte    // last report, as JSON
	lastReportTime time.Time // when lastReport was taken
	faults         Faults
	requestCount   int // requests received, control calls not included
	usedSlots      int
	queued         int            // requests that wait for a slot
	usedTokens     int            // KV cache tokens in use
	handleTokens   map[string]int // KV cache tokens by handle
	handleCount    int            // handles given out so far
	received       []ReceivedRequest
	runningByID    map[string]int // number of running requests by id
	slotReleased   chan struct{}  // closed and replaced when a slot is released
	crashes        []time.Time    // when the server crashed
	crashPaths     []string       // path of the request that crashed it, by crash
	crashed        chan struct{}  // closed and replaced when the server crashes
	limits         []namedLimit   // limits that the server has named, the newest last
	arrivals       []arrival      // requests and calls, in the order in which they came in
	cold           coldPeriod
	coldCrashes    int
}

// Faults are the faults to inject. Of the faults of requests, a prefill meets only Reject, LoseResponse, WrongServer,
// Silent and ResponseDelay; Truncate and Duplicate apply only to plain services.
type Faults struct {
	Fail             bool   // runs the request and responds with 500
	Reject           bool   // rejects the request without running it
	LoseResponse     bool   // runs the request and never responds
	Truncate         bool   // closes the connection in the middle of the response
	OmitSeal         bool   // responds without a seal
	WrongID          bool   // responds with the id of another request
	WrongServer      bool   // responds as if another server had its address
	Silent           bool   // neither runs requests nor responds to them
	Endless          string // a response consists of this text, sent again and again until the connection is closed
	LongBody         int    // bytes of a plain response or of an engine's failure; 0 means a short one
	AbortAfterEvents int    // streams are aborted after this many events; 0 means never
	EndAfterEvents   int    // streams end after this many events, in the middle of an event, with no error in their framing
	UnsoundHead      string // status line, and fields, with which a plain response or a stream begins; its body is another one
	Unframed         bool   // streams have neither a length nor chunks and end with the connection
	NoReport         bool   // gives no reports, but serves requests
	Duplicate        bool   // sends each response of a plain service twice

	Leaving    bool     // says in all responses that the server is leaving, but serves
	RetryAfter []string // values of Retry-After in the responses to rejected requests

	ResponseDelay time.Duration // delay between the end of the work and the response; streams have none
	EveryNth      int           // only every nth request meets the faults, as at a partly failed server; 0 means all
}

// nextRequestFaulty counts a request and reports whether it meets the faults; s.mu must be held.
func (s *Server) nextRequestFaulty() bool {
	s.requestCount++
	return s.faults.EveryNth == 0 || s.requestCount%s.faults.EveryNth == 0
}

// ReceivedRequest is a request as the server received it, and whether it ran.
type ReceivedRequest struct {
	ID         string
	Path       string // path and query
	Body       string
	Header     http.Header
	Ran        bool // took a slot and was run
	Prefill    bool // asked for a prefill only
	ReceivedAt time.Time
}

// Headers of the users' protocol, and values that the server sends in headers and bodies.
const (
	headerID             = "Attempt-Id"
	headerSeal           = "Response-Seal"
	headerNotExecuted    = "Not-Executed"
	headerExpectedServer = "Expected-Instance"
	headerStage          = "Serving-Stage"
	headerKVSource       = "Kv-Source"
	headerTokens         = "Token-Count"
	headerPrefix         = "Prompt-Prefix"
	headerLastEventID    = "Last-Event-Id"
	headerInstanceID     = "Instance-Id"
	headerKeepAlive      = "Keep-Alive"
	headerLeaving        = "Server-Leaving"
	headerRetryAfter     = "Retry-After"
	headerLimit          = "Server-Limit"
	stagePrefill         = "prefill"
	eventTokens          = 8 // output tokens counted per event of a stream
	partialBody          = "half"
	bodyPrefix           = "whole answer of "
	otherRequestID       = "another-request"
)

// Init prepares the server to serve and returns it.
func (s *Server) Init() *Server {
	s.handleTokens = make(map[string]int)
	s.runningByID = make(map[string]int)
	s.slotReleased = make(chan struct{})
	s.crashed = make(chan struct{})
	s.currentStage = s.Stage
	return s
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Received returns the requests that the server ran, rejected or dropped from its queue.
func (s *Server) Received() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedRequest(nil), s.received...)
}

// Runs returns how often the server ran the request with an id.
func (s *Server) Runs(id string) int {
	n := 0
	for _, request := range s.Received() {
		if request.ID == id && request.Ran {
			n++
		}
	}
	return n
}

// Running returns the number of different request ids that are running.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runningByID)
}

// UsedTokens returns the KV cache tokens that running requests and computed prompts hold.
func (s *Server) UsedTokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usedTokens
}

// markLeaving adds the header of a leaving server to a response.
func (s *Server) markLeaving(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Leaving {
		w.Header().Set(headerLeaving, "1")
	}
}

// isExpected reports whether a request names this server, or none, as the one that it is addressed to.
func (s *Server) isExpected(r *http.Request) bool {
	expected := r.Header.Get(headerExpectedServer)
	return expected == "" || expected == s.ID
}

// ServeHTTP serves requests, and control calls under /-/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Down() {
		panic(http.ErrAbortHandler) // the connection was open when the server crashed
	}
	s.recordArrival(r)
	s.markLeaving(w)
	s.nameLimit(w)
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
	if !s.nextRequestFaulty() {
		faults = Faults{}
	}
	s.mu.Unlock()
	if s.AdvertisedIdleTimeout > 0 {
		w.Header().Set(headerKeepAlive, fmt.Sprintf("timeout=%d", int(s.AdvertisedIdleTimeout.Seconds())))
	}
	misdirected := faults.WrongServer || !s.isExpected(r)
	if !misdirected && !s.takesRequest(received.ReceivedAt) {
		s.crash(received.Path)
		panic(http.ErrAbortHandler)
	}
	switch {
	case faults.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case misdirected:
		s.record(received, false)
		w.Header().Set(headerInstanceID, "another")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case faults.Reject || stageChanging:
		s.record(received, false)
		if len(faults.RetryAfter) > 0 {
			w.Header()[headerRetryAfter] = faults.RetryAfter
		}
		reject(w)
	case s.Stage == "":
		s.servePlain(w, r, received, faults)
	case received.Prefill:
		s.servePrefill(w, r, received, faults)
	default:
		s.serveDecode(w, r, received, faults)
	}
}

// reject responds that the request was not executed.
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

// acquireSlot takes a slot and memory, and waits for the slot if the queue has room. It returns false if it rejected
// the request or the caller closed the connection.
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
	s.scheduleCrash(received)
	return true
}

// releaseSlot releases the slot and the memory of a request.
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

// sleep waits for d. It returns false if the caller closes the connection before.
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
	serviceTime := s.ServiceTime
	if deadly := s.findDeadly(received); deadly != nil {
		serviceTime = deadly.After + time.Hour // it crashes first
	}
	if !s.sleepOrCrash(r, serviceTime) {
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
	if faults.UnsoundHead != "" {
		writeUnsound(w, faults.UnsoundHead)
		return
	}
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
	if faults.LongBody > 0 {
		body = strings.Repeat("x", faults.LongBody)
	}
	if !faults.Unframed {
		writeBody(w, body, faults)
		return
	}
	conn := startUnframed(w)
	defer conn.Close()
	writeBody(conn, body, faults)
}

// sendTwice sends a response twice on one connection, as a faulty server may.
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

// setResponseHeaders sets the headers that identify the request and seal the response.
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

// Account returns the client account named in the request.
func (r ReceivedRequest) Account() string { return r.Header.Get("Tenant-Name") }

// ExpectedServer returns the id of the server that the request was meant for, or an empty string.
func (r ReceivedRequest) ExpectedServer() string { return r.Header.Get(headerExpectedServer) }

// KVSource returns where to fetch the prompt's KV cache, in the form ADDRESS/HANDLE, or an empty string.
func (r ReceivedRequest) KVSource() string { return r.Header.Get(headerKVSource) }

// TimeLeft returns the time left until the deadline in the request, and whether the request has one.
func (r ReceivedRequest) TimeLeft() (time.Duration, bool) {
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	return time.Duration(ms) * time.Millisecond, err == nil
}

// HeadersContain reports whether any header of the request contains a text.
func (r ReceivedRequest) HeadersContain(text string) bool {
	for _, values := range r.Header {
		if strings.Contains(strings.Join(values, " "), text) {
			return true
		}
	}
	return false
}

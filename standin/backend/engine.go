package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// blockTokens is the size of a block of an engine's memory.
const blockTokens = 16

// blocks rounds tokens up to whole blocks.
func blocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

func promptTokens(r *http.Request) int {
	text, _, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

func (s *Server) servePrefill(w http.ResponseWriter, r *http.Request, call ReceivedRequest, faults Faults) {
	tokens := promptTokens(r)
	if !s.begin(w, r, call, 0) {
		return
	}
	defer s.end(call, 0)
	if !work(r, time.Duration(float64(tokens)/s.PrefillRate*float64(time.Second))) {
		panic(http.ErrAbortHandler)
	}
	if faults.LoseResponse {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !work(r, faults.ResponseDelay) {
		panic(http.ErrAbortHandler)
	}
	handle := s.keep(blocks(tokens))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerID, call.ID)
	_ = json.NewEncoder(w).Encode(map[string]any{"kvHandle": handle, "tokens": tokens, "version": 1})
}

// keep holds a computed prompt until it is taken or expires.
func (s *Server) keep(tokens int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	handle := fmt.Sprintf("h%d", s.next)
	s.handles[handle] = tokens
	s.used += tokens
	time.AfterFunc(s.HandleLifetime, func() { s.TakeHandle(handle) })
	return handle
}

// TakeHandle removes a computed prompt and returns its tokens, or false if it is gone.
func (s *Server) TakeHandle(handle string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens, ok := s.handles[handle]
	if ok {
		delete(s.handles, handle)
		s.used -= tokens
	}
	return tokens, ok
}

func (s *Server) serveDecode(w http.ResponseWriter, r *http.Request, call ReceivedRequest, faults Faults) {
	if source := r.Header.Get(headerSource); source != "" {
		address, handle, _ := strings.Cut(source, "/")
		if from := s.FindServer(address); from == nil || !from.takes(handle) {
			s.note(call, false)
			reject(w)
			return
		}
	}
	tokens := blocks(promptTokens(r) + s.StreamEvents*eventTokens)
	if !s.begin(w, r, call, tokens) {
		return
	}
	defer s.end(call, tokens)
	if faults.LoseResponse {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if faults.Fail {
		s.seal(w, call, faults)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.stream(w, r, call, faults)
}

func (s *Server) takes(handle string) bool {
	_, ok := s.TakeHandle(handle)
	return ok
}

// step returns the time of one step with the streams that run now.
func (s *Server) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.EventInterval + time.Duration(max(s.busy-1, 0))*s.EventIntervalPerStream
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, call ReceivedRequest, faults Faults) {
	s.seal(w, call, faults)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	first, err := strconv.Atoi(r.Header.Get(headerLast))
	if err != nil {
		first = 0
	}
	for n := first + 1; n <= s.StreamEvents; n++ {
		if !work(r, s.step()) {
			panic(http.ErrAbortHandler)
		}
		if faults.AbortAfterEvents > 0 && n-first > faults.AbortAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", n) // torn in the middle of an event
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		if control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

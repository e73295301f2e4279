package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// blockTokens is the size of a KV cache block, in tokens.
const blockTokens = 16

// roundUpToBlocks rounds tokens up to whole blocks.
func roundUpToBlocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// promptTokens returns the prompt tokens that the request states, or 0.
func promptTokens(r *http.Request) int {
	prompt, _, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	n, err := strconv.Atoi(prompt)
	if err != nil {
		return 0
	}
	return n
}

func (s *Server) servePrefill(w http.ResponseWriter, r *http.Request, received ReceivedRequest, faults Faults) {
	tokens := promptTokens(r)
	if !s.acquireSlot(w, r, received, 0) {
		return
	}
	defer s.releaseSlot(received, 0)
	if !s.sleepOrCrash(r, time.Duration(float64(tokens)/s.PrefillRate*float64(time.Second))) {
		panic(http.ErrAbortHandler)
	}
	if faults.LoseResponse {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !sleep(r, faults.ResponseDelay) {
		panic(http.ErrAbortHandler)
	}
	handle := s.storePrompt(roundUpToBlocks(tokens))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerID, received.ID)
	_ = json.NewEncoder(w).Encode(map[string]any{"kvHandle": handle, "tokens": tokens, "version": 1})
}

// storePrompt keeps the KV cache of a computed prompt until it is taken or expires, and returns its handle.
func (s *Server) storePrompt(tokens int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleCount++
	handle := fmt.Sprintf("h%d", s.handleCount)
	s.handleTokens[handle] = tokens
	s.usedTokens += tokens
	time.AfterFunc(s.HandleLifetime, func() { s.TakeHandle(handle) })
	return handle
}

// TakeHandle removes the KV cache of a computed prompt. It returns its tokens, and whether the handle existed.
func (s *Server) TakeHandle(handle string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens, ok := s.handleTokens[handle]
	if ok {
		delete(s.handleTokens, handle)
		s.usedTokens -= tokens
	}
	return tokens, ok
}

func (s *Server) serveDecode(w http.ResponseWriter, r *http.Request, received ReceivedRequest, faults Faults) {
	if kvSource := r.Header.Get(headerKVSource); kvSource != "" {
		address, handle, _ := strings.Cut(kvSource, "/")
		if source := s.FindServer(address); source == nil || !source.dropHandle(handle) {
			s.record(received, false)
			reject(w)
			return
		}
	}
	tokens := roundUpToBlocks(promptTokens(r) + s.StreamEvents*eventTokens)
	if !s.acquireSlot(w, r, received, tokens) {
		return
	}
	defer s.releaseSlot(received, tokens)
	if faults.LoseResponse {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if faults.Fail {
		s.setResponseHeaders(w, received, faults)
		w.WriteHeader(http.StatusInternalServerError)
		writeBody(w, strings.Repeat("x", faults.LongBody), faults)
		return
	}
	s.writeEvents(w, r, received, faults)
}

// dropHandle removes the KV cache of a computed prompt and reports whether the handle existed.
func (s *Server) dropHandle(handle string) bool {
	_, ok := s.TakeHandle(handle)
	return ok
}

// SetEventInterval changes the time between the events of a stream that runs alone, also of those that run.
func (s *Server) SetEventInterval(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.EventInterval = d
}

// currentEventInterval returns the time between events with the streams that are running now.
func (s *Server) currentEventInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.EventInterval + time.Duration(max(s.usedSlots-1, 0))*s.EventIntervalPerStream
}

// writeEvents streams the events after the one that the request names as its last, or all of them.
func (s *Server) writeEvents(w http.ResponseWriter, r *http.Request, received ReceivedRequest, faults Faults) {
	s.setResponseHeaders(w, received, faults)
	w.Header().Set("Content-Type", "text/event-stream")
	if faults.UnsoundHead != "" {
		writeUnsound(w, faults.UnsoundHead)
		return
	}
	controller := http.NewResponseController(w)
	lastID, err := strconv.Atoi(r.Header.Get(headerLastEventID))
	if err != nil {
		lastID = 0
	}
	if s.isDeadly(r) {
		if controller.Flush() == nil && s.sleepOrCrash(r, s.currentEventInterval()) {
			s.crash(received.Path)
		}
		panic(http.ErrAbortHandler)
	}
	if faults.Unframed {
		s.writeUnframed(w, lastID, faults)
		return
	}
	if faults.Endless != "" {
		writeBody(w, "", faults)
		panic(http.ErrAbortHandler)
	}
	for n := lastID + 1; n <= s.StreamEvents; n++ {
		if !s.sleepOrCrash(r, s.currentEventInterval()) {
			panic(http.ErrAbortHandler)
		}
		if faults.EndAfterEvents > 0 && n-lastID > faults.EndAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", n)
			return
		}
		if faults.AbortAfterEvents > 0 && n-lastID > faults.AbortAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", n) // aborts in the middle of an event
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		if controller.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// writeUnframed streams events without a length or chunks, and ends the stream by closing the connection.
func (s *Server) writeUnframed(w http.ResponseWriter, lastID int, faults Faults) {
	conn := startUnframed(w)
	defer conn.Close()
	for n := lastID + 1; n <= s.StreamEvents; n++ {
		time.Sleep(s.currentEventInterval())
		if faults.EndAfterEvents > 0 && n-lastID > faults.EndAfterEvents {
			_, _ = fmt.Fprintf(conn, "id: %d\ndata: to", n)
			return
		}
		_, _ = fmt.Fprintf(conn, "id: %d\ndata: token %d\n\n", n, n)
	}
}

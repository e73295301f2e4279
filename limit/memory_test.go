package limit

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselgate/event"
)

// All that is held together must stay within the limit, whoever asks at the same time, and what was refused must take nothing.
func TestMemoryStaysWithinItsLimit(t *testing.T) {
	m := NewMemory(1000)
	var held atomic.Int64
	var users sync.WaitGroup
	for range 20 {
		users.Go(func() {
			for n := range 500 {
				size := int64(n%97 + 1)
				if !m.Reserve(size) {
					continue
				}
				if held.Add(size) > 1000 {
					t.Error("more is held than the limit allows")
				}
				held.Add(-size)
				m.Release(size)
			}
		})
	}
	users.Wait()
	if m.Used() != 0 || !m.Fits(1000) || m.Fits(1001) || m.Reserve(1001) || m.Used() != 0 {
		t.Errorf("%d bytes are in use after all were given back", m.Used())
	}
	if unlimited := NewMemory(0); !unlimited.Reserve(1<<40) || !unlimited.Fits(1) {
		t.Error("a memory without a limit is full")
	}
}

// A body that does not fit must be refused before it is read: reading it would take the memory that is missing.
func TestBodyThatDoesNotFitIsNotRead(t *testing.T) {
	memory := NewMemory(1000)
	if !memory.Reserve(600) {
		t.Fatal("the memory is full")
	}
	read := 0
	body := readerFunc(func(p []byte) (int, error) {
		read++
		return len(p), nil
	})
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/model", body)
	r.ContentLength = 500
	w := httptest.NewRecorder()
	h := &Handler{
		Next: http.NotFoundHandler(), MaxBodyBytes: 1 << 20, Memory: memory, IsBuffered: isModelPath,
		StallTimeout: time.Second, MinBytesPerSecond: 1, Record: func(event.Event) {}, Now: time.Now,
	}
	h.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || read > 0 {
		t.Errorf("status %d, Retry-After %q, %d reads", w.Code, w.Header().Get("Retry-After"), read)
	}
	if memory.Used() != 600 {
		t.Errorf("%d bytes are in use after the refusal", memory.Used())
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

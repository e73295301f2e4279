package limit

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/standin/bubble"
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

func TestBufferedBodiesAreLimited(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		testLimits := limits
		testLimits.Connections = 10
		release := make(chan struct{})
		var refused, accepted atomic.Int64
		s := startServer(t, testLimits, func(w http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			var refusal *outcome.Refusal
			if errors.As(err, &refusal) {
				refused.Add(1)
				refusal.Write(w, time.Now())
				return
			}
			accepted.Add(1)
			<-release
		})
		body := strings.Repeat("x", 400<<10)
		sendWith := func(path, framing, body string) net.Conn {
			conn := s.dial()
			writeInBackground(t, conn, func() {
				_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n%s", path, framing, body)
			})
			synctest.Wait()
			return conn
		}
		send := func(path string) net.Conn {
			return sendWith(path, fmt.Sprintf("Content-Length: %d", len(body)), body)
		}
		sendChunked := func(path string) net.Conn {
			return sendWith(path, "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body))
		}
		first := send("/model")
		send("/model")
		// A body whose length is known is refused before it is read, another one as soon as it does not fit.
		for read, conn := range []net.Conn{send("/model"), sendChunked("/model")} {
			if got := readResponse(t, conn); got.status != http.StatusServiceUnavailable ||
				got.header.Get("Retry-After") == "" || got.header.Get(outcome.Header) != string(outcome.NotRun) {
				t.Errorf("unexpected response to a third body of 400 KiB with a limit of 1 MiB: %v", got)
			}
			if refused.Load() > 1 || read == 0 && accepted.Load() != 2 {
				t.Errorf("%d bodies were read and refused, %d accepted", refused.Load(), accepted.Load())
			}
		}
		// Bodies that are passed on without buffering are not counted.
		send("/plain")
		if refused.Load() != 1 || accepted.Load() != 3 {
			t.Errorf("unexpected requests, got %d refused and %d accepted instead of 1 and 3", refused.Load(), accepted.Load())
		}
		close(release)
		readResponse(t, first)
		synctest.Wait()
		retried := send("/model")
		if got := readResponse(t, retried); got.status != http.StatusOK {
			t.Errorf("unexpected refusal after the memory was released: %v", got)
		}
	})
}

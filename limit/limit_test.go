package limit

import (
	"bufio"
	"crypto/tls"
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
	"teaselgate/option"
	"teaselgate/outcome"
)

// pipeListener accepts in-memory connections, so that time can be faked.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	l.conns <- theirs
	return ours
}

// bench is a server with faked time.
type bench struct {
	*pipeListener
	server *http.Server

	mu    sync.Mutex
	codes []event.Code
}

func (b *bench) record(e event.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.codes = append(b.codes, e.Code)
}

func (b *bench) saw(code event.Code) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.codes {
		if c == code {
			return true
		}
	}
	return false
}

func startBench(t *testing.T, bounds option.Limit, next http.HandlerFunc) *bench {
	t.Helper()
	b := &bench{pipeListener: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}}
	b.server = NewServer(next, bounds, isModel, b.record)
	listener := LimitListener(b.server, b.pipeListener, bounds.Connections, b.record)
	go func() { _ = b.server.Serve(listener) }()
	t.Cleanup(func() {
		b.server.Close()
		pause(time.Second) // the server lingers on connections that it ends
	})
	return b
}

var bounds = option.Limit{
	Connections: 2,
	Header:      4 << 10,
	Body:        1 << 20,
	Memory:      1 << 20,
	Begin:       5 * time.Second,
	Stall:       10 * time.Second,
	Pace:        1 << 10,
	Idle:        time.Minute,
}

func isModel(path string) bool { return path == "/model" }

// closedAfter reads until the server closes the connection, and returns when that was.
func closedAfter(conn net.Conn) time.Duration {
	start := time.Now()
	_, _ = io.Copy(io.Discard, conn)
	return time.Since(start)
}

func TestSlowHeaderIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench(t, bounds, func(http.ResponseWriter, *http.Request) { t.Error("unexpected request") })
		conn := b.dial()
		feed(t, conn, func() {
			for _, c := range "GET / HTTP/1.1\r\nHost: x\r\n" {
				if _, err := conn.Write([]byte(string(c))); err != nil {
					return
				}
				pause(time.Second)
			}
		})
		if got := closedAfter(conn); got != bounds.Begin {
			t.Errorf("unexpected time until the cut, got %v instead of %v", got, bounds.Begin)
		}
	})
}

// pause waits in the faked time of a test.
func pause(d time.Duration) { <-time.After(d) }

// feed writes to a connection in the background; the test waits for its end after closing the connection.
func feed(t *testing.T, conn net.Conn, write func()) {
	t.Helper()
	var writer sync.WaitGroup
	writer.Go(write)
	t.Cleanup(func() {
		conn.Close()
		writer.Wait()
	})
}

// drip writes one byte each interval until the connection is closed.
func drip(conn net.Conn, interval time.Duration) {
	for {
		if _, err := conn.Write([]byte("x")); err != nil {
			return
		}
		pause(interval)
	}
}

func TestSlowBodyIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failure error
		b := startBench(t, bounds, func(w http.ResponseWriter, r *http.Request) {
			_, failure = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusRequestTimeout)
		})
		conn := b.dial()
		feed(t, conn, func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
			drip(conn, time.Second)
		})
		got := closedAfter(conn)
		synctest.Wait()
		// The ten bytes that came earn a little time at 1,024 bytes a second.
		if got < bounds.Stall || got > bounds.Stall+time.Second {
			t.Errorf("unexpected time until the cut, got %v instead of about %v", got, bounds.Stall)
		}
		var timeout net.Error
		if !errors.As(failure, &timeout) || !timeout.Timeout() {
			t.Errorf("unexpected error of the body, got %v instead of a timeout", failure)
		}
		if !b.saw(event.CallerStalled) {
			t.Error("unexpected silence about a stalled caller")
		}
	})
}

func TestBodyThatNobodyReadsIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench(t, bounds, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
		conn := b.dial()
		feed(t, conn, func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
			drip(conn, time.Second)
		})
		if got := closedAfter(conn); got > bounds.Stall+time.Second {
			t.Errorf("unexpected time until the cut, got %v instead of at most about %v", got, bounds.Stall)
		}
	})
}

func TestSteadyBodyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var length int64
		b := startBench(t, bounds, func(_ http.ResponseWriter, r *http.Request) { length, _ = io.Copy(io.Discard, r.Body) })
		conn := b.dial()
		feed(t, conn, func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 122880\r\n\r\n")
			for range 60 {
				pause(time.Second)
				_, _ = conn.Write(make([]byte, 2048))
			}
		})
		got := receive(t, conn)
		synctest.Wait()
		if got.status != http.StatusOK || length != 122880 {
			t.Errorf("unexpected answer to a steady body, got %v and %d bytes read", got, length)
		}
	})
}

func TestSlowReaderIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var took time.Duration
		b := startBench(t, bounds, func(w http.ResponseWriter, _ *http.Request) {
			start := time.Now()
			for {
				if _, err := w.Write(make([]byte, 32<<10)); err != nil {
					break
				}
			}
			took = time.Since(start)
		})
		conn := b.dial()
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		one := make([]byte, 1)
		for {
			if _, err := conn.Read(one); err != nil {
				break
			}
			pause(time.Second)
		}
		synctest.Wait()
		if took < bounds.Stall || took > bounds.Stall+time.Second {
			t.Errorf("unexpected time until the cut, got %v instead of about %v", took, bounds.Stall)
		}
		if !b.saw(event.CallerStalled) {
			t.Error("unexpected silence about a stalled caller")
		}
	})
}

func TestPausesBetweenTokensAreNotTheCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pauses = 5
		b := startBench(t, bounds, func(w http.ResponseWriter, r *http.Request) {
			for range pauses {
				pause(2 * bounds.Stall)
				_, _ = io.WriteString(w, "token")
				if err := http.NewResponseController(w).Flush(); err != nil || r.Context().Err() != nil {
					t.Errorf("unexpected end of a slow stream: %v, %v", err, r.Context().Err())
				}
			}
		})
		conn := b.dial()
		defer conn.Close()
		go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") }()
		if got := receive(t, conn); got.text != strings.Repeat("token", pauses) {
			t.Errorf("unexpected answer, got %q", got.text)
		}
	})
}

// reply is a whole answer.
type reply struct {
	status int
	header http.Header
	closes bool
	text   string
}

// receive reads one answer.
func receive(t *testing.T, conn net.Conn) reply {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("unexpected error %v", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("unexpected end of an answer: %v", err)
	}
	return reply{resp.StatusCode, resp.Header, resp.Close, string(text)}
}

// exchange sends a request and reads its answer.
func exchange(t *testing.T, conn net.Conn, request string) reply {
	t.Helper()
	go func() { _, _ = io.WriteString(conn, request) }()
	return receive(t, conn)
}

const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

func TestConnectionsAboveTheBoundAreRefusedTruthfully(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hold := make(chan struct{})
		var served atomic.Int64
		b := startBench(t, bounds, func(http.ResponseWriter, *http.Request) {
			served.Add(1)
			<-hold
		})
		busy := make([]net.Conn, 0, bounds.Connections)
		for range bounds.Connections {
			conn := b.dial()
			_, _ = io.WriteString(conn, get)
			busy = append(busy, conn)
		}
		synctest.Wait()
		crowded := b.dial()
		resp := exchange(t, crowded, get)
		if resp.status != http.StatusServiceUnavailable || resp.header.Get(outcome.Header) != string(outcome.NotRun) ||
			resp.header.Get("Retry-After") == "" || !resp.closes {
			t.Errorf("unexpected refusal, got %v", resp)
		}
		synctest.Wait()
		silent := make([]net.Conn, 0, bounds.Connections)
		for range bounds.Connections {
			silent = append(silent, b.dial())
		}
		synctest.Wait()
		if got := closedAfter(b.dial()); got != 0 || !b.saw(event.ConnectionRejected) {
			t.Errorf("unexpected patience of %v with a connection far above the bound", got)
		}
		if got := served.Load(); got != int64(bounds.Connections) {
			t.Errorf("unexpected number of requests served, got %d instead of %d", got, bounds.Connections)
		}
		close(hold)
		for _, conn := range append(append(busy, silent...), crowded) {
			conn.Close()
		}
	})
}

func TestLongestIdleConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench(t, bounds, func(http.ResponseWriter, *http.Request) {})
		idle := make([]net.Conn, 0, bounds.Connections)
		for range bounds.Connections {
			conn := b.dial()
			exchange(t, conn, get)
			pause(time.Second)
			idle = append(idle, conn)
		}
		next := b.dial()
		if resp := exchange(t, next, get); resp.status != http.StatusOK {
			t.Errorf("unexpected refusal while a connection is idle: %q", resp.text)
		}
		if closedAfter(idle[0]) != 0 {
			t.Error("unexpected life of the longest idle connection")
		}
		if resp := exchange(t, idle[1], get); resp.status != http.StatusOK {
			t.Errorf("unexpected end of a newer idle connection: %q", resp.text)
		}
		idle[1].Close()
		next.Close()
	})
}

func TestOversizedRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name, request string
		want          int
	}{
		{"body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1048577\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"header", "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := startBench(t, bounds, func(http.ResponseWriter, *http.Request) { t.Error("unexpected request") })
				conn := b.dial()
				defer conn.Close()
				if resp := exchange(t, conn, test.request); resp.status != test.want {
					t.Errorf("unexpected status, got %d instead of %d", resp.status, test.want)
				}
			})
		})
	}
}

func TestStreamsPassOverHTTP2(t *testing.T) {
	const chunks = 5
	handler := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for range chunks {
			_, _ = io.WriteString(w, "token")
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Errorf("unexpected error %v", err)
			}
		}
	}), bounds, isModel, func(event.Event) {}).Handler
	server := httptest.NewUnstartedServer(handler)
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	resp, err := server.Client().Post(server.URL, "text/plain", strings.NewReader("ask"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.ProtoMajor != 2 || string(text) != strings.Repeat("token", chunks) {
		t.Errorf("unexpected answer by %s, got %q, %v", resp.Proto, text, err)
	}
}

func TestBodiesHeldAtOnceAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wide := bounds
		wide.Connections = 10
		hold := make(chan struct{})
		var refused, whole atomic.Int64
		b := startBench(t, wide, func(w http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			var refusal *outcome.Refusal
			if errors.As(err, &refusal) {
				refused.Add(1)
				refusal.Write(w, time.Now())
				return
			}
			whole.Add(1)
			<-hold
		})
		body := strings.Repeat("x", 400<<10)
		send := func(path string) net.Conn {
			conn := b.dial()
			feed(t, conn, func() {
				_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
			})
			synctest.Wait()
			return conn
		}
		first := send("/model")
		send("/model")
		if got := receive(t, send("/model")); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" ||
			got.header.Get(outcome.Header) != string(outcome.NotRun) {
			t.Errorf("unexpected answer to a third body of 400 KiB where 1 MiB is allowed: %v", got)
		}
		// Bodies that are passed on are not counted.
		send("/plain")
		if refused.Load() != 1 || whole.Load() != 3 {
			t.Errorf("unexpected requests, %d refused and %d whole instead of 1 and 3", refused.Load(), whole.Load())
		}
		close(hold)
		receive(t, first)
		synctest.Wait()
		again := send("/model")
		if got := receive(t, again); got.status != http.StatusOK {
			t.Errorf("unexpected refusal after the memory was given back: %v", got)
		}
	})
}

func TestSilentHandshakeIsCut(t *testing.T) {
	lender := httptest.NewTLSServer(nil)
	defer lender.Close()
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(http.NotFoundHandler(), bounds, isModel, func(event.Event) {})
		server.TLSConfig = &tls.Config{Certificates: lender.TLS.Certificates}
		inner := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		go func() {
			_ = server.ServeTLS(LimitListener(server, inner, bounds.Connections, func(event.Event) {}), "", "")
		}()
		conn := inner.dial()
		if got := closedAfter(conn); got != bounds.Begin {
			t.Errorf("unexpected time until the cut, got %v instead of %v", got, bounds.Begin)
		}
		server.Close()
		conn.Close()
	})
}

// A transport may go on reading a request's body after the answer to it has been passed on.
func TestLateReadLeavesTheNextRequestAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := make(chan struct{})
		b := startBench(t, bounds, func(_ http.ResponseWriter, r *http.Request) {
			go func() {
				<-late
				_, _ = io.Copy(io.Discard, r.Body)
			}()
		})
		conn := b.dial()
		defer conn.Close()
		exchange(t, conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nlamb")
		synctest.Wait()
		close(late)
		pause(2 * bounds.Stall)
		if got := exchange(t, conn, get); got.status != http.StatusOK {
			t.Errorf("unexpected answer on a kept connection: %v", got)
		}
	})
}

package limit

import (
	"bufio"
	"crypto/tls"
	"errors"
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
	"teaselgate/standin/bubble"
)

// pipeListener accepts in-memory connections, so that tests can run in a synctest bubble with a fake clock.
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

// dial opens a connection to the listener.
func (l *pipeListener) dial() net.Conn {
	clientConn, serverConn := net.Pipe()
	l.conns <- serverConn
	return clientConn
}

// testServer is a server on in-memory connections that records its events.
type testServer struct {
	*pipeListener
	server   *http.Server
	listener *Listener

	mu    sync.Mutex
	codes []event.Code
}

func (s *testServer) record(e event.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.codes = append(s.codes, e.Code)
}

// recorded reports whether an event with the given code was recorded.
func (s *testServer) recorded(code event.Code) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.codes {
		if c == code {
			return true
		}
	}
	return false
}

// startServer starts a server with the given limits, and stops it when the test ends.
func startServer(t *testing.T, limits option.Limit, handler http.HandlerFunc) *testServer {
	t.Helper()
	return startServerWith(t, limits, handler, func(*http.Server) {})
}

// startServerWith is startServer with a function that changes the server before it serves.
func startServerWith(t *testing.T, limits option.Limit, handler http.HandlerFunc, change func(*http.Server)) *testServer {
	t.Helper()
	s := &testServer{pipeListener: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}}
	s.server = NewServer(handler, limits, NewMemory(limits.Memory), isModelPath, s.record)
	s.listener = WrapListener(s.server, s.pipeListener, limits.Connections, s.record)
	change(s.server)
	go func() { _ = s.server.Serve(s.listener) }()
	t.Cleanup(func() {
		s.server.Close()
		sleep(time.Second) // the server waits a while before it closes a connection that it ends
	})
	return s
}

var limits = option.Limit{
	Connections: 2,
	Header:      4 << 10,
	Body:        1 << 20,
	Memory:      1 << 20,
	Begin:       5 * time.Second,
	Stall:       10 * time.Second,
	Pace:        1 << 10,
	Idle:        time.Minute,
}

// isModelPath reports whether the server under test buffers request bodies for a path.
func isModelPath(path string) bool { return path == "/model" }

// timeUntilClosed reads until the server closes the connection, and returns how long that took.
func timeUntilClosed(conn net.Conn) time.Duration {
	start := time.Now()
	_, _ = io.Copy(io.Discard, conn)
	return time.Since(start)
}

func TestSlowHeaderTimesOut(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := startServer(t, limits, func(http.ResponseWriter, *http.Request) { t.Error("unexpected request") })
		conn := s.dial()
		writeInBackground(t, conn, func() {
			for _, c := range "GET / HTTP/1.1\r\nHost: x\r\n" {
				if _, err := conn.Write([]byte(string(c))); err != nil {
					return
				}
				sleep(time.Second)
			}
		})
		if got := timeUntilClosed(conn); got != limits.Begin {
			t.Errorf("unexpected time until the connection was closed, got %v instead of %v", got, limits.Begin)
		}
	})
}

// sleep waits on the fake clock of a test.
func sleep(d time.Duration) { <-time.After(d) }

// writeInBackground runs write in the background. When the test ends, it closes the connection and waits for write.
func writeInBackground(t *testing.T, conn net.Conn, write func()) {
	t.Helper()
	var writer sync.WaitGroup
	writer.Go(write)
	t.Cleanup(func() {
		conn.Close()
		writer.Wait()
	})
}

// writeSlowly writes a byte at each interval until the connection is closed.
func writeSlowly(conn net.Conn, interval time.Duration) {
	for {
		if _, err := conn.Write([]byte("x")); err != nil {
			return
		}
		sleep(interval)
	}
}

func TestSlowBodyTimesOut(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var failure error
		s := startServer(t, limits, func(w http.ResponseWriter, r *http.Request) {
			_, failure = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusRequestTimeout)
		})
		conn := s.dial()
		writeInBackground(t, conn, func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
			writeSlowly(conn, time.Second)
		})
		got := timeUntilClosed(conn)
		synctest.Wait()
		// The ten bytes received extend the stall timeout slightly, at 1,024 bytes per second.
		if got < limits.Stall || got > limits.Stall+time.Second {
			t.Errorf("unexpected time until the connection was closed, got %v instead of about %v", got, limits.Stall)
		}
		var timeout net.Error
		if !errors.As(failure, &timeout) || !timeout.Timeout() {
			t.Errorf("unexpected error of reading the body, got %v instead of a timeout", failure)
		}
		if !s.recorded(event.CallerStalled) {
			t.Error("unexpected events, the stalled caller was not recorded")
		}
	})
}

func TestUnreadSlowBodyTimesOut(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := startServer(t, limits, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
		conn := s.dial()
		writeInBackground(t, conn, func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
			writeSlowly(conn, time.Second)
		})
		if got := timeUntilClosed(conn); got > limits.Stall+time.Second {
			t.Errorf("unexpected time until the connection was closed, got %v instead of at most about %v", got, limits.Stall)
		}
	})
}

func TestBodyAboveMinimumRateIsRead(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var length int64
		s := startServer(t, limits, func(_ http.ResponseWriter, r *http.Request) { length, _ = io.Copy(io.Discard, r.Body) })
		conn := s.dial()
		writeInBackground(t, conn, func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 122880\r\n\r\n")
			for range 60 {
				sleep(time.Second)
				_, _ = conn.Write(make([]byte, 2048))
			}
		})
		got := readResponse(t, conn)
		synctest.Wait()
		if got.status != http.StatusOK || length != 122880 {
			t.Errorf("unexpected response to a steady body, got %v and %d bytes read", got, length)
		}
	})
}

func TestSlowReaderTimesOut(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var took time.Duration
		s := startServer(t, limits, func(w http.ResponseWriter, _ *http.Request) {
			start := time.Now()
			for {
				if _, err := w.Write(make([]byte, 32<<10)); err != nil {
					break
				}
			}
			took = time.Since(start)
		})
		conn := s.dial()
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		buffer := make([]byte, 1)
		for {
			if _, err := conn.Read(buffer); err != nil {
				break
			}
			sleep(time.Second)
		}
		synctest.Wait()
		if took < limits.Stall || took > limits.Stall+time.Second {
			t.Errorf("unexpected time until the connection was closed, got %v instead of about %v", took, limits.Stall)
		}
		if !s.recorded(event.CallerStalled) {
			t.Error("unexpected events, the stalled caller was not recorded")
		}
	})
}

func TestPausesOfHandlerDoNotCountAsStall(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const pauses = 5
		s := startServer(t, limits, func(w http.ResponseWriter, r *http.Request) {
			for range pauses {
				sleep(2 * limits.Stall)
				_, _ = io.WriteString(w, "token")
				if err := http.NewResponseController(w).Flush(); err != nil || r.Context().Err() != nil {
					t.Errorf("unexpected end of a slow stream: %v, %v", err, r.Context().Err())
				}
			}
		})
		conn := s.dial()
		defer conn.Close()
		go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") }()
		if got := readResponse(t, conn); got.text != strings.Repeat("token", pauses) {
			t.Errorf("unexpected response of a handler that pauses, got %q", got.text)
		}
	})
}

// response is a complete response.
type response struct {
	status int
	header http.Header
	closes bool // whether the server closes the connection
	text   string
}

// readResponse reads one response.
func readResponse(t *testing.T, conn net.Conn) response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("unexpected error of reading a response: %v", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("unexpected end of a response: %v", err)
	}
	return response{resp.StatusCode, resp.Header, resp.Close, string(text)}
}

// roundTrip sends a request and reads its response.
func roundTrip(t *testing.T, conn net.Conn, request string) response {
	t.Helper()
	go func() { _, _ = io.WriteString(conn, request) }()
	return readResponse(t, conn)
}

const getRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

func TestRequestsOverConnectionLimitAreRefusedAsNotRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		var served atomic.Int64
		s := startServer(t, limits, func(http.ResponseWriter, *http.Request) {
			served.Add(1)
			<-release
		})
		busyConns := make([]net.Conn, 0, limits.Connections)
		for range limits.Connections {
			conn := s.dial()
			_, _ = io.WriteString(conn, getRequest)
			busyConns = append(busyConns, conn)
		}
		synctest.Wait()
		overLimitConn := s.dial()
		resp := roundTrip(t, overLimitConn, getRequest)
		if resp.status != http.StatusServiceUnavailable || resp.header.Get(outcome.Header) != string(outcome.NotRun) ||
			resp.header.Get("Retry-After") == "" || !resp.closes {
			t.Errorf("unexpected response over the limit, got %v", resp)
		}
		synctest.Wait()
		silentConns := make([]net.Conn, 0, limits.Connections)
		for range limits.Connections {
			silentConns = append(silentConns, s.dial())
		}
		synctest.Wait()
		if got := timeUntilClosed(s.dial()); got != 0 || !s.recorded(event.ConnectionRejected) {
			t.Errorf("unexpected time until a connection far over the limit was closed, got %v instead of 0", got)
		}
		if got := served.Load(); got != int64(limits.Connections) {
			t.Errorf("unexpected number of requests served, got %d instead of %d", got, limits.Connections)
		}
		close(release)
		for _, conn := range append(append(busyConns, silentConns...), overLimitConn) {
			conn.Close()
		}
	})
}

func TestLongestIdleConnectionIsClosedForNewOne(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := startServer(t, limits, func(http.ResponseWriter, *http.Request) {})
		idleConns := make([]net.Conn, 0, limits.Connections)
		for range limits.Connections {
			conn := s.dial()
			roundTrip(t, conn, getRequest)
			sleep(time.Second)
			idleConns = append(idleConns, conn)
		}
		newConn := s.dial()
		if resp := roundTrip(t, newConn, getRequest); resp.status != http.StatusOK {
			t.Errorf("unexpected refusal while another connection was idle: %q", resp.text)
		}
		if timeUntilClosed(idleConns[0]) != 0 {
			t.Error("unexpected open connection, the longest idle one was not closed")
		}
		if resp := roundTrip(t, idleConns[1], getRequest); resp.status != http.StatusOK {
			t.Errorf("unexpected response on the other idle connection: %q", resp.text)
		}
		idleConns[1].Close()
		newConn.Close()
	})
}

func TestOversizedRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name, request string
		want          int
	}{
		{"body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1048577\r\n\r\n", http.StatusRequestEntityTooLarge},
		{
			"header", "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 16<<10) + "\r\n\r\n",
			http.StatusRequestHeaderFieldsTooLarge,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := startServer(t, limits, func(http.ResponseWriter, *http.Request) { t.Error("unexpected request") })
				conn := s.dial()
				defer conn.Close()
				if resp := roundTrip(t, conn, test.request); resp.status != test.want {
					t.Errorf("unexpected status, got %d instead of %d", resp.status, test.want)
				}
			})
		})
	}
}

func TestStreamWorksOverHTTP2(t *testing.T) {
	const chunks = 5
	handler := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for range chunks {
			_, _ = io.WriteString(w, "token")
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Errorf("unexpected error of a flush: %v", err)
			}
		}
	}), limits, NewMemory(limits.Memory), isModelPath, func(event.Event) {}).Handler
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
		t.Errorf("unexpected response over %s, got %q, %v", resp.Proto, text, err)
	}
}

func TestSilentTLSHandshakeTimesOut(t *testing.T) {
	tlsServer := httptest.NewTLSServer(nil)
	defer tlsServer.Close()
	bubble.Test(t, func(t *testing.T) {
		server := NewServer(http.NotFoundHandler(), limits, NewMemory(limits.Memory), isModelPath, func(event.Event) {})
		server.TLSConfig = &tls.Config{Certificates: tlsServer.TLS.Certificates}
		inner := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		go func() {
			_ = server.ServeTLS(WrapListener(server, inner, limits.Connections, func(event.Event) {}), "", "")
		}()
		conn := inner.dial()
		if got := timeUntilClosed(conn); got != limits.Begin {
			t.Errorf("unexpected time until the connection was closed, got %v instead of %v", got, limits.Begin)
		}
		server.Close()
		conn.Close()
	})
}

// An HTTP transport may still read the body of a request after the response was passed on. Such a read must not set a
// deadline on the connection, which may already serve the next request.
func TestLateBodyReadDoesNotAffectNextRequest(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		late := make(chan struct{})
		s := startServer(t, limits, func(_ http.ResponseWriter, r *http.Request) {
			go func() {
				<-late
				_, _ = io.Copy(io.Discard, r.Body)
			}()
		})
		conn := s.dial()
		defer conn.Close()
		roundTrip(t, conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nlamb")
		synctest.Wait()
		close(late)
		sleep(2 * limits.Stall)
		if got := roundTrip(t, conn, getRequest); got.status != http.StatusOK {
			t.Errorf("unexpected response on a reused connection: %v", got)
		}
	})
}

// Package wire emulates servers that send prepared bytes over TCP, whether or not these are a response.
package wire

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// Ending is how a server ends a connection after an answer.
type Ending int

// Endings of connections.
const (
	Close   Ending = iota // closes the connection, which resets it if received bytes were not read
	Reset                 // resets the connection
	HalfEnd               // ends its own direction and goes on reading until the client closes
	Keep                  // waits for the next request
)

// Answer is what a server sends once it has read the head of a request.
type Answer struct {
	Text      string
	AfterBody bool // whether the server reads the body of the request first
	End       Ending
}

// Server is a server on a port of the loopback interface.
type Server struct {
	Address  string
	requests atomic.Int64
	answer   func(n int64, r *http.Request) Answer
}

// NewServer starts a server that answers the nth request, counted from 1, with what answer returns. It ends with the test.
func NewServer(t testing.TB, answer func(n int64, r *http.Request) Answer) *Server {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: listener.Addr().String(), answer: answer}
	var serving sync.WaitGroup
	t.Cleanup(serving.Wait)
	t.Cleanup(func() { listener.Close() })
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				stop := make(chan struct{})
				defer close(stop)
				go closeAtEnd(t, conn, stop)
				s.serve(conn)
			})
		}
	})
	return s
}

// closeAtEnd closes a connection when the test ends, unless it was served before.
func closeAtEnd(t testing.TB, conn net.Conn, served <-chan struct{}) {
	select {
	case <-t.Context().Done():
	case <-served:
	}
	conn.Close()
}

// Requests returns the number of requests whose head was read.
func (s *Server) Requests() int64 { return s.requests.Load() }

// serve answers the requests of a connection until it ends.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := s.answer(s.requests.Add(1), req)
		if answer.AfterBody {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if _, err := io.WriteString(conn, answer.Text); err != nil {
			return
		}
		if !keepOpen(conn.(*net.TCPConn), answer.End) {
			return
		}
	}
}

// keepOpen reports whether a connection takes another request. Otherwise the connection is to be closed.
func keepOpen(conn *net.TCPConn, end Ending) bool {
	switch end {
	case Keep:
		return true
	case Reset:
		_ = conn.SetLinger(0)
	case HalfEnd:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	case Close:
	}
	return false
}

// Package wire emulates servers that send prepared bytes over TCP, whether or not these are a response.
package wire

import (
	"bufio"
	"context"
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
	HalfEnd               // ends its own direction and reads nothing more
	Drain                 // reads the rest of the request and closes the connection
	Keep                  // waits for the next request
)

// Answer is what a server sends once it has read the head of a request.
type Answer struct {
	Text       string
	AfterBytes int64 // bytes of the request's body that the server reads first
	AfterBody  bool  // whether the server reads the whole body first
	End        Ending
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
				defer context.AfterFunc(t.Context(), func() { conn.Close() })()
				s.serve(t.Context(), conn)
			})
		}
	})
	return s
}

// Requests returns the number of requests whose head was read.
func (s *Server) Requests() int64 { return s.requests.Load() }

// serve answers the requests of a connection until it ends.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := s.answer(s.requests.Add(1), req)
		if _, err := io.CopyN(io.Discard, req.Body, answer.AfterBytes); err != nil {
			return
		}
		if answer.AfterBody {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if _, err := io.WriteString(conn, answer.Text); err != nil {
			return
		}
		tcp := conn.(*net.TCPConn)
		switch answer.End {
		case Keep:
			continue
		case Reset:
			_ = tcp.SetLinger(0)
		case HalfEnd:
			_ = tcp.CloseWrite()
			<-ctx.Done()
		case Drain:
			_, _ = io.Copy(io.Discard, req.Body)
		case Close:
		}
		return
	}
}

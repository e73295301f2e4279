package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// echoReceiver is an RPC receiver whose method replies with its argument.
type echoReceiver struct{}

// Repeat replies with its argument.
func (echoReceiver) Repeat(text string, reply *string) error {
	*reply = text
	return nil
}

// silencingProxy is a TCP proxy in front of a server. After silenceOpen, the connections that were open then stay open
// but carry no data, while new ones work.
type silencingProxy struct {
	net.Listener
	serverAddress string

	mu    sync.Mutex
	conns []*proxiedConn
	ended sync.WaitGroup
}

// proxiedConn is a connection through the proxy.
type proxiedConn struct {
	clientConn, serverConn net.Conn
	silent                 chan struct{} // closed when the connection stops carrying data
}

// run accepts connections until the listener is closed.
func (s *silencingProxy) run() {
	for {
		clientConn, err := s.Accept()
		if err != nil {
			return
		}
		serverConn, err := net.Dial("tcp", s.serverAddress)
		if err != nil {
			clientConn.Close()
			return
		}
		c := &proxiedConn{clientConn, serverConn, make(chan struct{})}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		s.ended.Go(func() { c.copy(clientConn, serverConn) })
		s.ended.Go(func() { c.copy(serverConn, clientConn) })
	}
}

// copy passes data from src on to dst until src is closed, and discards it once the connection is silent.
func (c *proxiedConn) copy(dst, src net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-c.silent:
		default:
			_, _ = dst.Write(buffer[:n])
		}
	}
}

// silenceOpen stops the data on the connections that are open.
func (s *silencingProxy) silenceOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		close(c.silent)
	}
}

// close ends the proxy and its connections.
func (s *silencingProxy) close() {
	s.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		c.clientConn.Close()
		c.serverConn.Close()
	}
	s.mu.Unlock()
	s.ended.Wait()
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	defer goleak.VerifyNone(t)
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	server := NewServer(listen(), "secret")
	if err := server.Register("Echo", echoReceiver{}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { _ = server.Serve(ctx); close(ended) }()
	proxy := &silencingProxy{Listener: listen(), serverAddress: server.Listener.Addr().String()}
	proxyEnded := make(chan struct{})
	go func() { proxy.run(); close(proxyEnded) }()
	pool := NewPool("secret")
	call := func(timeout time.Duration) error {
		ctx, stop := context.WithTimeout(t.Context(), timeout)
		defer stop()
		var reply string
		return pool.Call(ctx, proxy.Addr().String(), "Echo.Repeat", "hello", &reply)
	}
	if err := call(time.Minute); err != nil {
		t.Fatalf("unexpected error on a new connection: %v", err)
	}
	proxy.silenceOpen()
	if err := call(20 * time.Millisecond); !errors.Is(err, ErrNoReply) {
		t.Errorf("unexpected error on a silent connection, got %v instead of %v", err, ErrNoReply)
	}
	if err := call(time.Minute); err != nil {
		t.Errorf("unexpected error after a silent connection: %v", err)
	}
	pool.Close()
	proxy.close()
	stop()
	<-ended
	<-proxyEnded
}

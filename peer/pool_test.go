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

// repeater is a receiver that answers with its argument.
type repeater struct{}

// Repeat answers with its argument.
func (repeater) Repeat(text string, reply *string) error {
	*reply = text
	return nil
}

// silencer passes connections on to a server until it forgets those that are open: from then on
// they carry nothing, and stay open, while new ones work.
type silencer struct {
	net.Listener
	target string

	mu    sync.Mutex
	conns []*silenced
	ended sync.WaitGroup
}

type silenced struct {
	caller, server net.Conn
	silent         chan struct{}
}

func (s *silencer) run() {
	for {
		caller, err := s.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", s.target)
		if err != nil {
			caller.Close()
			return
		}
		c := &silenced{caller, server, make(chan struct{})}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		s.ended.Go(func() { c.copy(caller, server) })
		s.ended.Go(func() { c.copy(server, caller) })
	}
}

func (c *silenced) copy(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-c.silent:
		default:
			_, _ = to.Write(buffer[:n])
		}
	}
}

func (s *silencer) silenceOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		close(c.silent)
	}
}

func (s *silencer) close() {
	s.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		c.caller.Close()
		c.server.Close()
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
	if err := server.Register("Echo", repeater{}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { _ = server.Serve(ctx); close(ended) }()
	between := &silencer{Listener: listen(), target: server.Listener.Addr().String()}
	running := make(chan struct{})
	go func() { between.run(); close(running) }()
	pool := NewPool("secret")
	call := func(timeout time.Duration) error {
		ctx, stop := context.WithTimeout(t.Context(), timeout)
		defer stop()
		var reply string
		return pool.Call(ctx, between.Addr().String(), "Echo.Repeat", "hello", &reply)
	}
	if err := call(time.Minute); err != nil {
		t.Fatalf("unexpected error on a new connection: %v", err)
	}
	between.silenceOpen()
	if err := call(20 * time.Millisecond); !errors.Is(err, ErrNoReply) {
		t.Errorf("unexpected error on a silent connection, got %v instead of %v", err, ErrNoReply)
	}
	if err := call(time.Minute); err != nil {
		t.Errorf("unexpected error after a silent connection: %v", err)
	}
	pool.Close()
	between.close()
	stop()
	<-ended
	<-running
}

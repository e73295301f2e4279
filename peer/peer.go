// Package peer is the RPC transport between instances. It carries net/rpc calls over authenticated connections.
package peer

import (
	"container/list"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// Limits of a peer connection.
const (
	handshakeTimeout = 2 * time.Second       // for each side of the handshake
	minHandshakeTime = 50 * time.Millisecond // for which no handshake is ended for another one
)

var (
	namespace   = errorx.NewNamespace("peer")
	unreachable = namespace.NewType("unreachable")
	noReply     = namespace.NewType("failed")

	// ErrUnreachable reports that no connection to the peer could be opened: the call did not run.
	ErrUnreachable = unreachable.NewWithNoMessage()
	// ErrNoReply reports that the call may have run, but no reply was received.
	ErrNoReply = noReply.NewWithNoMessage()
)

// Server accepts calls from other instances. Its exported fields are set before Serve.
type Server struct {
	Listener net.Listener
	Token    string      // secret shared by all instances
	TLS      *tls.Config // nil for plain connections
	Clock    Clock
	Traffic  Traffic
	// MaxConnections is the number of connections that are open at once, and MaxStrangers that of those whose other side has not
	// proved yet that it has the token. Above MaxStrangers the oldest such connection is closed. 0 means no limit.
	MaxConnections int
	MaxStrangers   int

	rpc     *rpc.Server
	methods map[string]bool // names of the methods that peers can call

	mu        sync.Mutex
	open      int       // connections whose handshake has succeeded
	strangers list.List // connections (stranger) in their handshake, oldest first
}

// NewServer returns a server without registered receivers.
func NewServer(listener net.Listener, token string) *Server {
	return &Server{Listener: listener, Token: token, rpc: rpc.NewServer(), methods: make(map[string]bool)}
}

// Register adds a receiver whose methods peers can call under the given name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("peer: unable to register %s: %w", name, err)
	}
	for method := range reflect.TypeOf(receiver).Methods() {
		s.methods[name+"."+method.Name] = true
	}
	return nil
}

// Serve accepts connections and handles their calls until the context ends or the listener fails.
func (s *Server) Serve(ctx context.Context) error {
	var conns sync.WaitGroup
	defer conns.Wait()
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	for {
		conn, err := s.Listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("peer: unable to accept: %w", err)
		}
		if handshake := s.addStranger(conn); handshake != nil {
			conns.Go(func() { s.serveConn(ctx, conn, handshake) })
		}
	}
}

// stranger is a connection in its handshake.
type stranger struct {
	net.Conn
	accepted time.Time
}

// addStranger adds a connection to those in their handshake. If there are too many, it closes the oldest, or the new one, and
// returns nil for that, if the handshake of the oldest has just begun.
func (s *Server) addStranger(conn net.Conn) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxStrangers > 0 && s.strangers.Len() >= s.MaxStrangers {
		oldest := s.strangers.Front()
		if time.Since(oldest.Value.(stranger).accepted) < minHandshakeTime {
			conn.Close()
			return nil
		}
		oldest.Value.(stranger).Close()
		s.strangers.Remove(oldest)
	}
	return s.strangers.PushBack(stranger{conn, time.Now()})
}

// admit ends the handshake of a connection, and reports whether the connection may stay open.
func (s *Server) admit(handshake *list.Element, proved bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strangers.Remove(handshake) // no change if it was closed
	if !proved || s.MaxConnections > 0 && s.open >= s.MaxConnections {
		return false
	}
	s.open++
	return true
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn, handshake *list.Element) {
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	defer raw.Close()
	conn := raw
	if s.TLS != nil {
		conn = tls.Server(raw, s.TLS)
	}
	err := acceptorHandshake(conn, s.Token)
	if !s.admit(handshake, err == nil) {
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open--
	}()
	s.rpc.ServeCodec(serverCodec{newCodec(conn, s.Clock, s.knownTraffic())})
}

// knownTraffic returns the observer of the traffic, to which methods that do not exist have no name: peers choose them.
func (s *Server) knownTraffic() Traffic {
	known := func(observe func(string, int)) func(string, int) {
		return func(method string, bytes int) {
			if observe == nil {
				return
			}
			if !s.methods[method] {
				method = ""
			}
			observe(method, bytes)
		}
	}
	return Traffic{Sent: known(s.Traffic.Sent), Received: known(s.Traffic.Received)}
}

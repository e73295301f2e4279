// Package peer is the RPC transport between instances. It carries net/rpc calls over authenticated connections.
package peer

import (
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
	handshakeTimeout = 2 * time.Second // for each side of the handshake
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

	rpc     *rpc.Server
	methods map[string]bool // names of the methods that peers can call
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
		conns.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	defer raw.Close()
	conn := raw
	if s.TLS != nil {
		conn = tls.Server(raw, s.TLS)
	}
	if err := acceptorHandshake(conn, s.Token); err != nil {
		return
	}
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

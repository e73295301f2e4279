// Package peer carries net/rpc calls between instances.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"teaselgate/socket"
)

// Limits of a peer connection.
const (
	dialTimeout  = 2 * time.Second
	helloTimeout = 2 * time.Second
)

var (
	namespace   = errorx.NewNamespace("peer")
	unreachable = namespace.NewType("unreachable")
	failed      = namespace.NewType("failed")

	// ErrUnreachable says that no connection to the peer could be opened: the call did not run.
	ErrUnreachable = unreachable.NewWithNoMessage()
	// ErrFailed says that the call may have run, but no answer came.
	ErrFailed = failed.NewWithNoMessage()
)

// Server accepts calls from other instances. Its exported fields are set before Serve.
type Server struct {
	Listener net.Listener
	Token    string      // shared secret of the fleet
	TLS      *tls.Config // nil for plain connections

	rpc *rpc.Server
}

// NewServer returns a server without registered receivers.
func NewServer(listener net.Listener, token string) *Server {
	return &Server{Listener: listener, Token: token, rpc: rpc.NewServer()}
}

// Register adds a receiver whose methods peers may call under the given name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("peer: unable to register %s: %w", name, err)
	}
	return nil
}

// Serve answers calls until the context ends.
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

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if s.TLS != nil {
		conn = tls.Server(conn, s.TLS)
	}
	if err := acceptHello(conn, s.Token); err != nil {
		return
	}
	s.rpc.ServeConn(conn)
}

// Pool holds one connection to each peer address.
type Pool struct {
	Token string
	TLS   func(host string) *tls.Config // nil for plain connections

	mu      sync.Mutex
	clients map[string]*rpc.Client
}

// NewPool returns an empty pool.
func NewPool(token string) *Pool {
	return &Pool{Token: token, clients: make(map[string]*rpc.Client)}
}

// Call runs a method at a peer and waits for its reply until the context ends.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return unreachable.Wrap(err, "peer: unable to reach %s", address)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return failed.Wrap(ctx.Err(), "peer: no answer from %s to %s", address, method)
	case <-call.Done:
		return p.result(address, client, call.Error)
	}
}

func (p *Pool) result(address string, client *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var fromServer rpc.ServerError
	if errors.As(err, &fromServer) {
		return err
	}
	p.drop(address, client)
	return failed.Wrap(err, "peer: call to %s failed", address)
}

func (p *Pool) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	client := p.clients[address]
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	client, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.clients[address]; other != nil {
		client.Close()
		return other, nil
	}
	p.clients[address] = client
	return client, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*rpc.Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: socket.Control}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.TLS != nil {
		host, _, _ := net.SplitHostPort(address)
		conn = tls.Client(conn, p.TLS(host))
	}
	if err := offerHello(ctx, conn, p.Token); err != nil {
		conn.Close()
		return nil, err
	}
	return rpc.NewClient(conn), nil
}

func (p *Pool) drop(address string, client *rpc.Client) {
	p.mu.Lock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	client.Close()
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, client := range p.clients {
		client.Close()
		delete(p.clients, address)
	}
}

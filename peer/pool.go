package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/socket"
)

// Pool keeps one connection to each peer address. Its exported fields are set before use.
type Pool struct {
	Token string                        // secret shared by all instances
	TLS   func(host string) *tls.Config // returns the configuration for a peer's host; nil for plain connections
	Clock Clock

	Traffic Traffic
	Dial    func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex
	clients map[string]*client // by address
}

// client is an open connection to a peer.
type client struct {
	rpc      *rpc.Client
	in       *countingReader
	replaced atomic.Pointer[string] // method whose missing reply had the connection closed
}

// NewPool returns an empty pool.
func NewPool(token string) *Pool {
	return &Pool{Token: token, Dial: dialTCP, clients: make(map[string]*client)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return socket.NewDialer().DialContext(ctx, "tcp", address)
}

// Call runs a method at a peer and waits for its reply until the context ends. reply must be a pointer; it is left as it
// is if the call fails. If the context's deadline passes and nothing has come over the connection since the call began, Call
// closes the connection: it may be dead.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.client(ctx, address)
	if err != nil {
		return unreachable.Wrap(err, "peer: unable to reach %s", address)
	}
	start, receivedBefore := time.Now(), c.in.total.Load()
	received := newReply(reply)
	call := c.rpc.Go(method, args, received.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		arrived := c.in.total.Load() - receivedBefore
		err := noReply.Wrap(ctx.Err(), "peer: no reply from %s to %s after %v, in which %d bytes arrived",
			address, method, time.Since(start).Round(time.Millisecond), arrived)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && arrived == 0 {
			c.replaced.CompareAndSwap(nil, &method)
			p.remove(address, c)
		}
		return err
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(received.Elem())
		}
		return p.result(address, c, call.Error)
	}
}

// newReply returns a pointer to a new value of the type that reply points to. The connection decodes into it, since it
// may still do so after the caller has stopped waiting and uses reply for something else.
func newReply(reply any) reflect.Value { return reflect.New(reflect.TypeOf(reply).Elem()) }

// result returns the error of a call that has ended. It closes the connection unless the peer replied.
func (p *Pool) result(address string, c *client, err error) error {
	var serverError rpc.ServerError
	if err == nil || errors.As(err, &serverError) {
		return err
	}
	p.remove(address, c)
	if method := c.replaced.Load(); method != nil {
		return noReply.Wrap(err, "peer: call to %s ended with the connection, which got no reply to %s", address, *method)
	}
	return noReply.Wrap(err, "peer: call to %s failed", address)
}

// client returns the open connection to a peer, or opens one.
func (p *Pool) client(ctx context.Context, address string) (*client, error) {
	p.mu.Lock()
	existing := p.clients[address]
	p.mu.Unlock()
	if existing != nil {
		return existing, nil
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.clients[address]; other != nil {
		conn.Close()
		return other, nil
	}
	connection := newCodec(conn, p.Clock, p.Traffic)
	c := &client{rpc: rpc.NewClientWithCodec(clientCodec{connection}), in: connection.in}
	p.clients[address] = c
	return c, nil
}

// dial opens a connection to a peer and runs the handshake on it.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if p.TLS != nil {
		host, _, _ := net.SplitHostPort(address)
		conn = tls.Client(conn, p.TLS(host))
	}
	if err := dialerHandshake(ctx, conn, p.Token); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// remove closes a connection and removes it from the pool.
func (p *Pool) remove(address string, c *client) {
	p.mu.Lock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	c.rpc.Close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		c.rpc.Close()
		delete(p.clients, address)
	}
}

package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/socket"
)

// Pool holds one connection to each peer address.
type Pool struct {
	Token string
	TLS   func(host string) *tls.Config // nil for plain connections
	Clock Clock

	mu      sync.Mutex
	clients map[string]*client
}

// client is one open connection.
type client struct {
	rpc     *rpc.Client
	replied atomic.Int64 // when the newest reply came, in nanoseconds since the epoch
}

// NewPool returns an empty pool.
func NewPool(token string) *Pool {
	return &Pool{Token: token, clients: make(map[string]*client)}
}

// Call runs a method at a peer and waits for its reply until the context ends. A connection that
// stayed silent for the whole of a call that ran out of time is dropped: it may be silent for good.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.client(ctx, address)
	if err != nil {
		return unreachable.Wrap(err, "peer: unable to reach %s", address)
	}
	start := time.Now().UnixNano()
	call := c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && c.replied.Load() < start {
			p.drop(address, c)
		}
		return failed.Wrap(ctx.Err(), "peer: no answer from %s to %s", address, method)
	case <-call.Done:
		return p.result(address, c, call.Error)
	}
}

func (p *Pool) result(address string, c *client, err error) error {
	var fromServer rpc.ServerError
	if err == nil || errors.As(err, &fromServer) {
		c.replied.Store(time.Now().UnixNano())
		return err
	}
	p.drop(address, c)
	return failed.Wrap(err, "peer: call to %s failed", address)
}

func (p *Pool) client(ctx context.Context, address string) (*client, error) {
	p.mu.Lock()
	open := p.clients[address]
	p.mu.Unlock()
	if open != nil {
		return open, nil
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
	c := &client{rpc: rpc.NewClientWithCodec(clientCodec{newCodec(conn, p.Clock)})}
	p.clients[address] = c
	return c, nil
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := socket.NewDialer().DialContext(ctx, "tcp", address)
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
	return conn, nil
}

func (p *Pool) drop(address string, c *client) {
	p.mu.Lock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	c.rpc.Close()
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		c.rpc.Close()
		delete(p.clients, address)
	}
}

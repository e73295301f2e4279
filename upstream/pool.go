// Package upstream keeps connections to backend servers and sends one request at a time on each. It never retries a
// request by itself, and it skips responses that belong to other requests.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"teaselgate/socket"
)

// Limits of connections.
const (
	dialTimeout        = 250 * time.Millisecond  // a reachable server accepts within a few milliseconds
	defaultIdleTimeout = 4 * time.Second         // of a connection whose server states no timeout
	idleTimeoutMargin  = 1500 * time.Millisecond // how long before the server's timeout an idle connection is dropped
	minIdleTimeout     = 300 * time.Millisecond  // a connection with a shorter timeout is not kept
	maxIdlePerServer   = 16
	maxResponsesRead   = 3 // responses read for one request, including interim ones and those of other requests
	readBufferBytes    = 4 << 10
	maxSkippedBytes    = 256 << 10             // bytes read of the body of a response to another request
	maxInlineBytes     = 16 << 10              // a body up to this length fits into the socket's send buffer
	writeTimeout       = 10 * time.Millisecond // for sending the rest of a longer body after the response was read
)

var (
	namespace  = errorx.NewNamespace("upstream")
	notSent    = namespace.NewType("not_sent")
	noResponse = namespace.NewType("broken")

	// ErrNotSent reports that no byte of the request was sent: it has not run and never will.
	ErrNotSent = notSent.NewWithNoMessage()
	// ErrNoResponse reports that the request may have run, but no valid response was received.
	ErrNoResponse = noResponse.NewWithNoMessage()
)

// Pool keeps idle connections by address. Its exported fields are set before use.
type Pool struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Now  func() time.Time
	// KeepAliveTimeout returns how long the server keeps an idle connection, if the response says so.
	KeepAliveTimeout func(http.Header) (time.Duration, bool)
	// RequestID returns the ID of the request that a response belongs to. If it is nil, responses are not checked.
	RequestID func(http.Header) string

	mu   sync.Mutex
	idle map[string][]*conn // by address, most recently used last
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	dialer := socket.NewDialer()
	dialer.Timeout = dialTimeout
	return &Pool{
		Dial:             dialer.DialContext,
		Now:              time.Now,
		KeepAliveTimeout: func(http.Header) (time.Duration, bool) { return 0, false },
		idle:             make(map[string][]*conn),
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			c.Close()
		}
	}
	p.idle = make(map[string][]*conn)
}

// Prune closes the connections that have been idle for too long.
func (p *Pool) Prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for address, conns := range p.idle {
		live := conns[:0]
		for _, c := range conns {
			if now.After(c.idleExpires) {
				c.Close()
				continue
			}
			live = append(live, c)
		}
		p.idle[address] = live
		if len(live) == 0 {
			delete(p.idle, address)
		}
	}
}

// acquire returns the most recently used idle connection that is still usable, or dials a new one. A connection that has
// carried a request with the same ID is not used: a late second response to that could not be told from the response to
// this one.
func (p *Pool) acquire(ctx context.Context, address, requestID string) (*conn, error) {
	for c := p.popIdle(address); c != nil; c = p.popIdle(address) {
		if p.Now().Before(c.idleExpires) && c.isReusable() && !c.hasCarried(requestID) {
			c.reused = true
			c.addRequestID(requestID)
			return c, nil
		}
		c.Close()
	}
	raw, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, notSent.Wrap(err, "upstream: unable to reach %s", address)
	}
	c := newConn(raw)
	c.addRequestID(requestID)
	return c, nil
}

// RefusesConnections reports whether nothing listens at a server's address: the host is reachable and the process has
// ended. An idle connection that is open shows that it has not. A connection that is accepted is kept for the next request.
func (p *Pool) RefusesConnections(ctx context.Context, address string) bool {
	if p.hasOpenConn(address) {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, socket.RefusalTimeout)
	defer stop()
	raw, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.release(address, newConn(raw), nil)
	return false
}

// hasOpenConn reports whether an idle connection to a server is open. It closes those that are not.
func (p *Pool) hasOpenConn(address string) bool {
	for c := p.popIdle(address); c != nil; c = p.popIdle(address) {
		if c.isReusable() {
			p.mu.Lock()
			p.idle[address] = append(p.idle[address], c)
			p.mu.Unlock()
			return true
		}
		c.Close()
	}
	return false
}

// popIdle removes the most recently used idle connection to a server and returns it, or nil if there is none.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// release keeps a connection for other requests, or closes it if the server will close it soon or maxIdlePerServer
// connections to the server are idle.
func (p *Pool) release(address string, c *conn, header http.Header) {
	timeout := defaultIdleTimeout
	if stated, ok := p.KeepAliveTimeout(header); ok {
		timeout = stated - idleTimeoutMargin
	}
	if timeout < minIdleTimeout {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleExpires = p.Now().Add(timeout)
	if len(p.idle[address]) >= maxIdlePerServer {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Package upstream keeps connections to backend servers and sends one request at a time on each. It never repeats a
// request by itself, and tells answers of other requests from the one that is awaited.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"teaselgate/socket"
)

// Limits of connections.
const (
	dialTimeout     = 250 * time.Millisecond // a server in reach accepts in a few milliseconds
	idleLife        = 4 * time.Second        // of a connection whose server names no timeout
	idleMargin      = 1500 * time.Millisecond
	minIdleLife     = 300 * time.Millisecond
	maxIdlePerHost  = 16
	maxForeign      = 3 // answers of other requests that are passed over on one connection
	readBufferBytes = 4 << 10
	directBytes     = 16 << 10              // a body up to this length fits into the socket's buffer
	writeWait       = 10 * time.Millisecond // for the end of a longer body after the answer's
)

var (
	namespace = errorx.NewNamespace("upstream")
	notSent   = namespace.NewType("not_sent")
	broken    = namespace.NewType("broken")

	// ErrNotSent says that no byte of the request has left: it has not run and never will.
	ErrNotSent = notSent.NewWithNoMessage()
	// ErrNoResponse says that the request may have run, but no whole answer came.
	ErrNoResponse = broken.NewWithNoMessage()
)

// Pool holds the open connections by address. Its exported fields are set before use.
type Pool struct {
	Dial             func(ctx context.Context, network, address string) (net.Conn, error)
	Now              func() time.Time
	KeepAliveTimeout func(http.Header) (time.Duration, bool) // how long a server keeps an idle connection, if it says so
	RequestID        func(http.Header) string                // of the request that an answer belongs to; nil: not checked

	mu   sync.Mutex
	idle map[string][]*conn // the one used last at the end
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

// Close drops the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, kept := range p.idle {
		for _, c := range kept {
			c.Close()
		}
	}
	p.idle = make(map[string][]*conn)
}

// Prune drops connections that have been idle for too long.
func (p *Pool) Prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for address, kept := range p.idle {
		live := kept[:0]
		for _, c := range kept {
			if now.After(c.until) {
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

// take returns the idle connection to a server that was used last and still lives, or opens one.
func (p *Pool) take(ctx context.Context, address string) (*conn, error) {
	for c := p.pop(address); c != nil; c = p.pop(address) {
		if p.Now().Before(c.until) && c.quiet() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	raw, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, notSent.Wrap(err, "upstream: unable to reach %s", address)
	}
	return newConn(raw), nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

// put keeps a connection whose answer was read whole.
func (p *Pool) put(address string, c *conn, header http.Header) {
	life := idleLife
	if told, ok := p.KeepAliveTimeout(header); ok {
		life = told - idleMargin
	}
	if life < minIdleLife {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.until = p.Now().Add(life)
	if len(p.idle[address]) >= maxIdlePerHost {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

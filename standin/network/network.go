// Package network is a network in memory for tests. Its hosts have links of limited rate, on which connections share the
// bytes alike.
package network

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	chunkBytes = 4 << 10 // bytes that a link carries at once
	window     = 16      // chunks of one connection that wait on links at most
)

var errRefused = errors.New("network: connection refused")

// Network carries connections between hosts. Its exported fields are set before use.
type Network struct {
	Latency time.Duration // one way

	mu    sync.Mutex
	hosts map[string]*Host // by address
}

// New returns a network without hosts.
func New() *Network { return &Network{hosts: make(map[string]*Host)} }

// Host is a machine with a link to the network.
type Host struct {
	network  *Network
	address  address
	up, down link
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// AddHost adds a host whose link carries so many bytes a second in each direction. It listens at its address.
func (n *Network) AddHost(name string, bytesPerSecond int) *Host {
	h := &Host{
		network: n, address: address(name), up: link{rate: bytesPerSecond}, down: link{rate: bytesPerSecond},
		accepted: make(chan net.Conn), closed: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[name] = h
	return h
}

// Dial opens a connection from this host to another.
func (h *Host) Dial(ctx context.Context, to string) (net.Conn, error) {
	h.network.mu.Lock()
	other := h.network.hosts[to]
	h.network.mu.Unlock()
	if other == nil {
		return nil, errRefused
	}
	near, far := h.network.connect(h, other)
	select {
	case other.accepted <- far:
		return near, nil
	case <-other.closed:
		near.Close()
		far.Close()
		return nil, errRefused
	case <-ctx.Done():
		near.Close()
		far.Close()
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (h *Host) Accept() (net.Conn, error) {
	select {
	case c := <-h.accepted:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Open connections stay.
func (h *Host) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *Host) Addr() net.Addr { return h.address }

// Receive takes the time in which bytes from outside the network pass the host's link. It fails if the context ends before.
func (h *Host) Receive(ctx context.Context, bytes int) error {
	for ; bytes > 0; bytes -= chunkBytes {
		select {
		case <-time.After(time.Until(h.down.reserve(time.Now(), min(bytes, chunkBytes)))):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Bytes returns how many bytes the host's link has carried in each direction.
func (h *Host) Bytes() (sent, received int) { return h.up.count(), h.down.count() }

// address implements net.Addr.
type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// link is one direction of a host's link.
type link struct {
	rate int // bytes a second

	mu    sync.Mutex
	free  time.Time // when the chunks reserved so far have passed
	total int       // bytes reserved so far
}

// reserve returns when a chunk has passed that arrives at a time.
func (l *link) reserve(at time.Time, bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.Before(at) {
		l.free = at
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / time.Duration(l.rate))
	l.total += bytes
	return l.free
}

func (l *link) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// connect returns the two ends of a connection.
func (n *Network) connect(a, b *Host) (near, far net.Conn) {
	pipeA, pipeB := net.Pipe()
	return newConn(pipeA, a, b, n.Latency), newConn(pipeB, b, a, n.Latency)
}

// conn is one end of a connection. What is written to it arrives at the other end after it has passed both links. Writes
// don't wait: fake time stands still while a goroutine holds a mutex over a write, as net/rpc does.
type conn struct {
	net.Conn // carries chunks that have arrived
	from, to *Host
	latency  time.Duration

	mu     sync.Mutex
	unsent []byte

	written  chan struct{} // signals that unsent is not empty
	underWay chan chunk
	closed   chan struct{}
	once     sync.Once
}

// chunk is a part of what was written.
type chunk struct {
	data   []byte
	passed time.Time // when it arrives at the link of the other end
}

func newConn(pipe net.Conn, from, to *Host, latency time.Duration) *conn {
	c := &conn{
		Conn: pipe, from: from, to: to, latency: latency,
		written: make(chan struct{}, 1), underWay: make(chan chunk, window), closed: make(chan struct{}),
	}
	go c.send()
	go c.deliver()
	return c
}

// Write puts bytes into the queue of the connection.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	c.mu.Lock()
	c.unsent = append(c.unsent, p...)
	c.mu.Unlock()
	select {
	case c.written <- struct{}{}:
	default:
	}
	return len(p), nil
}

// next removes a chunk from the queue; it is empty if the queue is.
func (c *conn) next() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	data := append([]byte(nil), c.unsent[:min(len(c.unsent), chunkBytes)]...)
	c.unsent = c.unsent[len(data):]
	return data
}

// send passes chunks over both links, as many at once as the window allows, until either end is closed.
func (c *conn) send() {
	for {
		data := c.next()
		if len(data) == 0 {
			select {
			case <-c.written:
				continue
			case <-c.closed:
				return
			}
		}
		select {
		case c.underWay <- chunk{data, c.from.up.reserve(time.Now(), len(data)).Add(c.latency)}:
		case <-c.closed:
			return
		}
	}
}

// deliver hands chunks to the other end as they arrive, until either end is closed.
func (c *conn) deliver() {
	for {
		select {
		case next := <-c.underWay:
			if !c.waitUntil(next.passed) || !c.waitUntil(c.to.down.reserve(time.Now(), len(next.data))) {
				return
			}
			if _, err := c.Conn.Write(next.data); err != nil {
				c.Close()
				return
			}
		case <-c.closed:
			return
		}
	}
}

// waitUntil waits until a time, and reports whether the connection is still open.
func (c *conn) waitUntil(at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-c.closed:
		return false
	}
}

// Close closes both ends. What is under way is lost.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline sets the deadline of reads; writes have none.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.from.address }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.to.address }

package limit

import (
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/socket"
)

// hardLimitFactor times MaxConnections is the number of open connections at which new ones are closed immediately.
const hardLimitFactor = 2

// Listener limits the number of callers' connections that are open at once. Above the limit, a new connection replaces
// the one that has been idle longest. If none is idle, the requests on the new connection are refused as not run.
// The exported fields are set before use.
type Listener struct {
	net.Listener
	MaxConnections int
	Record         func(event.Event)

	stopping      atomic.Bool   // whether StopAccepting was called
	drainDeadline time.Time     // end of the longest time for which StopAccepting accepts; set before stopping
	drained       chan struct{} // closed when all connections that had arrived before the stop are accepted
	closed        chan struct{} // closed by Close
	closeOnce     sync.Once

	mu           sync.Mutex
	open         int
	idle         list.List // idle connections (net.Conn), longest idle first
	idleElements map[net.Conn]*list.Element
	unserved     map[*conn]struct{} // connections that are new, or of whose newest request the handler has not begun
}

// NewListener returns a listener that accepts from inner and limits the number of open connections.
func NewListener(inner net.Listener, maxConnections int, record func(event.Event)) *Listener {
	return &Listener{
		Listener: inner, MaxConnections: maxConnections, Record: record, idleElements: make(map[net.Conn]*list.Element),
		unserved: make(map[*conn]struct{}), drained: make(chan struct{}), closed: make(chan struct{}),
	}
}

// conn is a connection that the listener counts as open.
type conn struct {
	net.Conn
	overLimit   bool // whether the requests on the connection are refused
	releaseOnce sync.Once
	release     func() // takes the connection out of the count
	served      func() // called when the handler of a request begins

	mu        sync.Mutex
	received  uint64 // bytes that Read has returned
	receiving bool   // whether data was received after the newest response
	ended     bool   // whether endIdle has ended the connection
}

// Read implements net.Conn. It returns no data that arrives after endIdle: the server must not run a request that it
// can't answer.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, net.ErrClosed
	}
	c.received += uint64(n)
	c.receiving = c.receiving || n > 0
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.receiving = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// endIdle closes the connection unless a part of a request has arrived since the newest response, and reports whether it
// did.
func (c *conn) endIdle() bool {
	c.mu.Lock()
	c.ended = !c.receiving && !socket.HasReceivedMore(c.Conn, c.received)
	ended := c.ended
	c.mu.Unlock()
	if ended {
		c.Close()
	}
	return ended
}

// hasReceived reports whether any data has arrived on the connection.
func (c *conn) hasReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received > 0 || socket.HasReceivedMore(c.Conn, 0)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.releaseOnce.Do(c.release)
	return c.Conn.Close()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil && l.stopping.Load() {
			if l.extendDrain() {
				continue
			}
			l.Listener.Close()
			close(l.drained)
			<-l.closed // an error would make the server stop as if the listener had failed
		}
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		l.Record(event.Event{Code: event.ConnectionRejected, Detail: inner.RemoteAddr().String()})
		inner.Close()
	}
}

// admit counts a new connection as open, and closes the longest idle one if the limit is exceeded. It returns nil if
// the new connection must be closed.
func (l *Listener) admit(inner net.Conn) net.Conn {
	l.mu.Lock()
	if l.open >= hardLimitFactor*l.MaxConnections {
		l.mu.Unlock()
		return nil
	}
	l.open++
	c := &conn{Conn: inner, overLimit: l.open > l.MaxConnections, release: l.release}
	c.served = func() { l.setServed(c) }
	var victim net.Conn
	if c.overLimit {
		victim = l.popLongestIdle()
		c.overLimit = victim == nil
	}
	l.mu.Unlock()
	if victim != nil {
		victim.Close()
	}
	return c
}

// OpenConnections returns the number of open connections.
func (l *Listener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *Listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// popLongestIdle removes the longest idle connection from the idle ones and returns it, or nil if none is idle.
// The caller must hold l.mu.
func (l *Listener) popLongestIdle() net.Conn {
	first := l.idle.Front()
	if first == nil {
		return nil
	}
	c := first.Value.(net.Conn)
	l.removeIdle(c)
	return c
}

// removeIdle removes a connection from the idle ones. The caller must hold l.mu.
func (l *Listener) removeIdle(c net.Conn) {
	if e, ok := l.idleElements[c]; ok {
		l.idle.Remove(e)
		delete(l.idleElements, c)
	}
}

// ConnState keeps track of the idle connections, and of those that wait for the handler of a request. It is meant for
// http.Server.ConnState.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(c)
	counted, ok := countedConn(c)
	switch {
	case state == http.StateIdle:
		l.idleElements[c] = l.idle.PushBack(c)
		delete(l.unserved, counted)
	case ok && (state == http.StateNew || state == http.StateActive):
		l.unserved[counted] = struct{}{}
	default:
		delete(l.unserved, counted)
	}
}

// setServed records that the handler of a connection's newest request has begun.
func (l *Listener) setServed(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unserved, c)
}

// unservedConns returns the connections that wait for the handler of a request.
func (l *Listener) unservedConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.unserved))
}

// Time for which StopAccepting accepts further connections.
const (
	acceptDrainTime    = 5 * time.Millisecond
	maxAcceptDrainTime = 500 * time.Millisecond // while more connections wait, as on a busy machine

	servedCheckInterval = time.Millisecond
)

// listenerWithDeadline is a listener whose Accept can be bounded, as that of a TCP listener.
type listenerWithDeadline interface {
	SetDeadline(deadline time.Time) error
}

// StopAccepting accepts the connections that have arrived and closes the listening socket. Closing it at once would reset
// them, with the requests that their callers have sent.
func (l *Listener) StopAccepting(ctx context.Context) {
	inner, ok := l.Listener.(listenerWithDeadline)
	if !ok {
		return
	}
	l.drainDeadline = time.Now().Add(maxAcceptDrainTime)
	if l.stopping.Swap(true) || inner.SetDeadline(time.Now().Add(acceptDrainTime)) != nil {
		return
	}
	select {
	case <-l.drained:
	case <-ctx.Done():
	}
	for l.countUnserved() > 0 && delay.For(ctx, servedCheckInterval) == nil {
	}
}

// countUnserved returns the number of connections on which a part of a request has arrived and whose handler has not begun.
// http.Server closes them without a response once its shutdown has begun.
func (l *Listener) countUnserved() int {
	n := 0
	for _, c := range l.unservedConns() {
		if c.hasReceived() {
			n++
		}
	}
	return n
}

// extendDrain lets Accept go on for another acceptDrainTime if connections still wait, and reports whether it does.
func (l *Listener) extendDrain() bool {
	now := time.Now()
	if !now.Before(l.drainDeadline) || !socket.HasWaitingConnection(l.Listener) {
		return false
	}
	inner, ok := l.Listener.(listenerWithDeadline)
	return ok && inner.SetDeadline(now.Add(acceptDrainTime)) == nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	err := l.Listener.Close()
	if l.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// CloseIdle closes the idle connections, and new ones on which nothing has come for a while, except those on which a part of
// the next request has arrived. It returns the number of these. The shutdown of http.Server closes them too, and the caller
// would get no response.
func (l *Listener) CloseIdle() int {
	l.mu.Lock()
	var idle []*conn
	for e := l.idle.Front(); e != nil; e = e.Next() {
		if c, ok := countedConn(e.Value.(net.Conn)); ok {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	left := 0
	for _, c := range idle {
		if !c.endIdle() {
			left++
		}
	}
	mayClose := time.Now().After(l.drainDeadline)
	for _, c := range l.unservedConns() {
		if c.hasReceived() || !mayClose || !c.endIdle() {
			left++
		}
	}
	return left
}

// countedConn returns the connection that the listener has accepted, which TLS may wrap.
func countedConn(c net.Conn) (*conn, bool) {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	counted, ok := c.(*conn)
	return counted, ok
}

// ConnContext adds the connection to the context of its requests. It is meant for http.Server.ConnContext.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if counted, ok := countedConn(c); ok {
		return context.WithValue(ctx, connKey{}, counted)
	}
	return ctx
}

package limit

import (
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"math"
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

// unservedDivisor sets the part of MaxConnections that is kept for connections on which a request was served.
const unservedDivisor = 4

// Choice of the connection that is ended for a new one.
const (
	minWait     = 50 * time.Millisecond  // how long a request may be on its way before its connection may be ended
	maxBlocked  = 250 * time.Millisecond // how long a caller may read nothing of its response
	sampledConn = 64                     // connections that are compared
)

// Listener limits the number of callers' connections that are open at once, and the memory that the heads of their requests
// take. Above the limit, a new connection replaces the worst: one whose request comes slowest, one whose caller does not read its
// response, or the one that has been idle longest. A part of the connections is kept for those on which a request was served. If
// there is none to replace, the requests on the new connection are refused as not run. The exported fields are set before use.
type Listener struct {
	net.Listener
	MaxConnections int
	Record         func(event.Event)
	Heads          *Memory              // memory for heads of requests, as parsed
	HeadLimit      func() int64         // largest head in bytes; 0 or nil for the limit of the server alone
	HeadTimeout    func() time.Duration // time to send a head; 0 or nil for the timeout of the server
	IdleTimeout    func() time.Duration // time between two requests; 0 or nil for the timeout of the server
	TLS            *tls.Config          // nil for plain connections

	stopping      atomic.Bool   // whether StopAccepting was called
	drainDeadline time.Time     // end of the longest time for which StopAccepting accepts; set before stopping
	drained       chan struct{} // closed when all connections that had arrived before the stop are accepted
	closed        chan struct{} // closed by Close
	closeOnce     sync.Once

	mu        sync.Mutex
	open      int
	over      int                // open connections whose requests are refused
	neverUsed int                // open connections on which no request was served
	waiting   map[*conn]struct{} // connections on which nothing was served yet and no handler runs
	idle      list.List          // idle connections (*conn) on which a request was served, longest idle first
	receiving map[*conn]struct{} // connections whose request is not complete, but its head
	serving   map[*conn]struct{} // connections on which the handler of a request runs
	unserved  map[*conn]struct{} // connections that are new, or of whose newest request the handler has not begun
}

// NewListener returns a listener that accepts from inner and limits the number of open connections.
func NewListener(inner net.Listener, maxConnections int, record func(event.Event)) *Listener {
	return &Listener{
		Listener: inner, MaxConnections: maxConnections, Record: record, Heads: NewMemory(0),
		waiting: make(map[*conn]struct{}), receiving: make(map[*conn]struct{}), serving: make(map[*conn]struct{}),
		unserved: make(map[*conn]struct{}),
		drained:  make(chan struct{}), closed: make(chan struct{}),
	}
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

// admit counts a new connection as open, and ends the worst one if the limit is exceeded. It returns nil if the new connection
// must be closed.
func (l *Listener) admit(inner net.Conn) net.Conn {
	l.mu.Lock()
	full := l.open-l.over >= l.MaxConnections
	var victim *conn
	switch now := time.Now(); {
	case full:
		victim = l.popWorst(now)
	case l.neverUsed >= l.maxNeverUsed():
		victim = l.popSlowest(now)
	}
	if victim == nil && l.open >= hardLimitFactor*l.MaxConnections {
		l.mu.Unlock()
		return nil
	}
	l.open++
	l.neverUsed++
	c := l.newConn(inner)
	if c.overLimit = full && victim == nil; c.overLimit {
		l.over++
	}
	l.waiting[c] = struct{}{}
	l.mu.Unlock()
	c.holder.SetEndable(true)
	if victim != nil {
		l.Record(event.Event{Code: event.ConnectionEnded})
		victim.end(errTooManyConnections)
	}
	return c
}

// maxNeverUsed returns the number of connections on which no request was served from which they replace only each other.
func (l *Listener) maxNeverUsed() int { return l.MaxConnections - l.MaxConnections/unservedDivisor }

// newConn returns a connection that the listener counts, with TLS if the listener uses it.
func (l *Listener) newConn(inner net.Conn) *conn {
	now := time.Now()
	c := &conn{raw: &rawConn{Conn: inner}, listener: l, accepted: now, since: now}
	c.holder = l.Heads.NewHolder(c.endForMemory)
	c.Conn = c.raw
	if l.TLS != nil {
		c.Conn = tls.Server(c.raw, l.TLS)
		c.raw.count = c.countHandshake
	}
	return c
}

// OpenConnections returns the number of open connections.
func (l *Listener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// isCrowded reports whether more than half of the connections are open that may be.
func (l *Listener) isCrowded() bool { return l.OpenConnections() > l.MaxConnections/2 }

// isFull reports whether more connections are open than may be.
func (l *Listener) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.over > 0
}

// release takes a connection out of the count.
func (l *Listener) release(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if c.overLimit {
		l.over--
	}
	l.unplace(c)
	delete(l.receiving, c)
	delete(l.serving, c)
	delete(l.unserved, c)
	c.closed = true
	if !c.served {
		l.neverUsed--
	}
}

// unplace removes a connection from those that may be ended. The caller must hold l.mu.
func (l *Listener) unplace(c *conn) {
	delete(l.waiting, c)
	if c.idleElement != nil {
		l.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// popWorst removes the connection that is to be ended first from those that may be ended and returns it, or nil if there is
// none. The caller must hold l.mu.
func (l *Listener) popWorst(now time.Time) *conn {
	if c := l.popSlowest(now); c != nil {
		return c
	}
	if c := l.longestBlocked(now); c != nil {
		delete(l.serving, c)
		return c
	}
	first := l.idle.Front()
	if first == nil || l.neverUsed >= l.maxNeverUsed() {
		return nil
	}
	c := first.Value.(*conn)
	l.unplace(c)
	return c
}

// popSlowest removes the connection on which a request arrives slowest from those that may be ended and returns it, or nil.
func (l *Listener) popSlowest(now time.Time) *conn {
	c := l.slowest(now)
	if c != nil {
		l.unplace(c)
		delete(l.receiving, c)
	}
	return c
}

// longestBlocked returns the connection whose caller has read nothing of a response for longest, of some chosen at random, or
// nil if there is none that has for maxBlocked.
func (l *Listener) longestBlocked(now time.Time) *conn {
	var out *conn
	longest, sampled := maxBlocked, 0
	for c := range l.serving {
		if blocked := c.blockedFor(now); blocked >= longest {
			out, longest = c, blocked
		}
		if sampled++; sampled == sampledConn {
			break
		}
	}
	return out
}

// slowest returns the connection on which a request arrives slowest, of some chosen at random, or nil if there is none whose
// request has been on its way for minWait.
func (l *Listener) slowest(now time.Time) *conn {
	var out *conn
	slowest := math.Inf(1)
	for _, connections := range []map[*conn]struct{}{l.waiting, l.receiving} {
		sampled := 0
		for c := range connections {
			if rate, age := c.requestRate(now); age >= minWait && rate < slowest && !c.hasUnread() {
				out, slowest = c, rate
			}
			if sampled++; sampled == sampledConn {
				break
			}
		}
	}
	return out
}

// setReceivingBody sets whether a connection's request is not complete, but its head.
func (l *Listener) setReceivingBody(c *conn, receiving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if receiving {
		l.receiving[c] = struct{}{}
	} else {
		delete(l.receiving, c)
	}
}

// ConnState keeps track of the connections that wait for a request, and of those that wait for the handler of a request. It
// is meant for http.Server.ConnState.
func (l *Listener) ConnState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setIdle()
	case http.StateActive:
		c.setActive()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateIdle:
		l.unplace(c)
		delete(l.serving, c)
		if c.served {
			c.idleElement = l.idle.PushBack(c)
		} else {
			l.waiting[c] = struct{}{}
		}
		delete(l.unserved, c)
	case http.StateNew:
		l.unserved[c] = struct{}{}
	case http.StateActive:
		l.unplace(c)
		l.unserved[c] = struct{}{}
	default:
		delete(l.unserved, c)
	}
}

// setServing records that the handler of a connection's newest request has begun.
func (l *Listener) setServing(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unplace(c)
	delete(l.unserved, c)
	if !c.closed {
		l.serving[c] = struct{}{}
	}
}

// setServed records that a request on a connection was answered with success.
func (l *Listener) setServed(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.served && !c.closed {
		l.neverUsed--
	}
	c.served = true
}

// headLimit returns the largest head in bytes, or 0 if the server's own limit applies.
func (l *Listener) headLimit() int64 {
	if l.HeadLimit == nil {
		return 0
	}
	return l.HeadLimit()
}

// headDeadline returns when a caller must have sent the head of a request, or when an idle connection is closed. It returns the
// zero time if the server's own deadlines apply.
func (l *Listener) headDeadline(c *conn) time.Time {
	after := func(at time.Time, timeout func() time.Duration) time.Time {
		if timeout == nil || timeout() <= 0 {
			return time.Time{}
		}
		return at.Add(timeout())
	}
	switch {
	case c.idle:
		return after(time.Now(), l.IdleTimeout)
	case c.headBegan.IsZero():
		return after(c.accepted, l.HeadTimeout)
	default:
		return after(c.headBegan, l.HeadTimeout)
	}
}

// unservedConns returns the connections that wait for the handler of a request.
func (l *Listener) unservedConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.unserved))
}

// Times of StopAccepting.
const (
	acceptDrainTime = 5 * time.Millisecond // without another connection

	servedCheckInterval = time.Millisecond
)

// listenerWithDeadline is a listener whose Accept can be bounded, as that of a TCP listener.
type listenerWithDeadline interface {
	SetDeadline(deadline time.Time) error
}

// StopAccepting accepts the connections that have arrived, up to a time, and closes the listening socket. Closing it at once would
// reset them, with the requests that their callers have sent. It returns when all requests that have arrived in part are complete,
// or when the context ends, and closes idle connections meanwhile. Until the same time, connections on which nothing has come are kept: a caller that has just connected
// is about to send.
func (l *Listener) StopAccepting(ctx context.Context, until time.Time) {
	inner, ok := l.Listener.(listenerWithDeadline)
	if !ok {
		return
	}
	l.drainDeadline = until
	if l.stopping.Swap(true) || inner.SetDeadline(time.Now().Add(acceptDrainTime)) != nil {
		return
	}
	select {
	case <-l.drained:
	case <-ctx.Done():
	}
	for l.countUnserved() > 0 && delay.For(ctx, servedCheckInterval) == nil {
		l.CloseIdle()
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
	idle := make([]*conn, 0, l.idle.Len()+len(l.waiting))
	for e := l.idle.Front(); e != nil; e = e.Next() {
		idle = append(idle, e.Value.(*conn))
	}
	for c := range l.waiting {
		if _, unserved := l.unserved[c]; !unserved {
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

// EndWaiting refuses the requests that have arrived in part, so that they do not take the time of those that run.
func (l *Listener) EndWaiting() {
	l.mu.Lock()
	waiting := slices.Collect(maps.Keys(l.unserved))
	for e := l.idle.Front(); e != nil; e = e.Next() {
		waiting = append(waiting, e.Value.(*conn))
	}
	l.mu.Unlock()
	for _, c := range waiting {
		if !c.isHTTP2() { // those learn of the stop from the server
			c.end(errLeaving)
		}
	}
}

// ConnContext adds the connection to the context of its requests. It is meant for http.Server.ConnContext.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if counted, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, counted)
	}
	return ctx
}

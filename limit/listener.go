package limit

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"teaselgate/event"
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

	mu           sync.Mutex
	open         int
	idle         list.List // idle connections (net.Conn), longest idle first
	idleElements map[net.Conn]*list.Element
}

// NewListener returns a listener that accepts from inner and limits the number of open connections.
func NewListener(inner net.Listener, maxConnections int, record func(event.Event)) *Listener {
	return &Listener{
		Listener: inner, MaxConnections: maxConnections, Record: record, idleElements: make(map[net.Conn]*list.Element),
	}
}

// conn is a connection that the listener counts as open.
type conn struct {
	net.Conn
	overLimit   bool // whether the requests on the connection are refused
	releaseOnce sync.Once
	release     func() // takes the connection out of the count
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

// ConnState keeps track of the idle connections. It is meant for http.Server.ConnState.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(c)
	if state == http.StateIdle {
		l.idleElements[c] = l.idle.PushBack(c)
	}
}

// ConnContext marks the requests on a connection above the limit. It is meant for http.Server.ConnContext.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	if counted, ok := c.(*conn); ok && counted.overLimit {
		return context.WithValue(ctx, overLimitKey{}, true)
	}
	return ctx
}

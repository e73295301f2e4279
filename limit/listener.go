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

// closeFactor times the allowed connections are the most that are held open at all.
const closeFactor = 2

// Listener bounds the connections of callers that are open at once. Above the bound, the connection idle for the
// longest time is closed; if none is idle, the new connection is marked, and its requests are refused truthfully.
// Its exported fields are set before use.
type Listener struct {
	net.Listener
	MaxConnections int
	Record         func(event.Event)

	mu   sync.Mutex
	open int
	idle list.List // of net.Conn, longest idle first
	rank map[net.Conn]*list.Element
}

// NewListener bounds the connections of a listener.
func NewListener(inner net.Listener, connections int, record func(event.Event)) *Listener {
	return &Listener{Listener: inner, MaxConnections: connections, Record: record, rank: make(map[net.Conn]*list.Element)}
}

// conn is a counted connection.
type conn struct {
	net.Conn
	crowded bool
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(c.release)
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

func (l *Listener) admit(inner net.Conn) net.Conn {
	l.mu.Lock()
	if l.open >= closeFactor*l.MaxConnections {
		l.mu.Unlock()
		return nil
	}
	l.open++
	c := &conn{Conn: inner, crowded: l.open > l.MaxConnections, release: l.release}
	var victim net.Conn
	if c.crowded {
		victim = l.longestIdle()
		c.crowded = victim == nil
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

// longestIdle takes the connection that is idle for the longest time; the caller holds the lock.
func (l *Listener) longestIdle() net.Conn {
	first := l.idle.Front()
	if first == nil {
		return nil
	}
	c := first.Value.(net.Conn)
	l.forget(c)
	return c
}

func (l *Listener) forget(c net.Conn) {
	if e, ok := l.rank[c]; ok {
		l.idle.Remove(e)
		delete(l.rank, c)
	}
}

// ConnState follows which connections are idle; it is meant for http.Server.ConnState.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(c)
	if state == http.StateIdle {
		l.rank[c] = l.idle.PushBack(c)
	}
}

// ConnContext marks the requests of a connection above the bound; it is meant for http.Server.ConnContext.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	if counted, ok := c.(*conn); ok && counted.crowded {
		return context.WithValue(ctx, crowdedKey{}, true)
	}
	return ctx
}

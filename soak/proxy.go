package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"teaselgate/socket"
)

// mode is what a proxy does to its connections.
type mode int

// The modes of a proxy.
const (
	pass   mode = iota
	slow        // each piece is delayed
	silent      // nothing passes, nothing is closed
	oneWay      // what the server answers is held back
	refuse      // new connections are reset
	modes       // the number of modes
)

const (
	slowDelay   = 30 * time.Millisecond
	pieceBytes  = 4096
	silentCheck = 20 * time.Millisecond
)

// proxy passes connections on to a server on loopback, with faults.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

// newProxy listens for connections to a target.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	listener, err := socket.Listen(ctx, anyPort)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, conns: make(map[net.Conn]bool)}
	go p.accept(ctx)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}

func (p *proxy) accept(ctx context.Context) {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == refuse {
			if tcp, ok := near.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			near.Close()
			continue
		}
		go p.serve(ctx, near)
	}
}

func (p *proxy) serve(ctx context.Context, near net.Conn) {
	defer near.Close()
	far, err := socket.NewDialer().DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	defer far.Close()
	p.keep(near, true)
	p.keep(far, true)
	defer p.keep(near, false)
	defer p.keep(far, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(far, near, false); done <- struct{}{} }()
	go func() { p.copy(near, far, true); done <- struct{}{} }()
	<-done
}

func (p *proxy) keep(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// copy passes pieces on until one side closes; held back pieces pass once the mode allows it again.
func (p *proxy) copy(to io.Writer, from io.Reader, answers bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		for m := p.current(); m == silent || m == oneWay && answers; m = p.current() {
			time.Sleep(silentCheck)
		}
		if p.current() == slow {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

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
	pass          mode = iota
	slow               // each piece is delayed
	stalled            // nothing passes, nothing is closed
	responsesHeld      // what the server answers is held back
	resetNew           // new connections are reset
	modeCount          // the number of modes
)

const (
	slowDelay         = 30 * time.Millisecond
	chunkBytes        = 4096
	stallPollInterval = 20 * time.Millisecond
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
	listener, err := socket.Listen(ctx, loopbackAddress)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, conns: make(map[net.Conn]bool)}
	go p.accept(ctx)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetAll breaks all open connections.
func (p *proxy) resetAll() {
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
	p.resetAll()
}

func (p *proxy) accept(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == resetNew {
			if tcp, ok := client.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			client.Close()
			continue
		}
		go p.serve(ctx, client)
	}
}

func (p *proxy) serve(ctx context.Context, client net.Conn) {
	defer client.Close()
	server, err := socket.NewDialer().DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	p.track(client, true)
	p.track(server, true)
	defer p.track(client, false)
	defer p.track(server, false)
	done := make(chan struct{}, 2)
	go func() { p.forward(server, client, false); done <- struct{}{} }()
	go func() { p.forward(client, server, true); done <- struct{}{} }()
	<-done
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// forward passes pieces on until one side closes; held back pieces pass once the mode allows it again.
func (p *proxy) forward(to io.Writer, from io.Reader, fromServer bool) {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		for m := p.currentMode(); m == stalled || m == responsesHeld && fromServer; m = p.currentMode() {
			time.Sleep(stallPollInterval)
		}
		if p.currentMode() == slow {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, err := to.Write(chunk[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

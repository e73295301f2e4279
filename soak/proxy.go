package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"teaselgate/socket"
)

// mode is the fault that a proxy injects into its connections.
type mode int

// The modes of a proxy.
const (
	pass          mode = iota // no fault
	slow                      // each chunk is delayed by slowDelay
	stalled                   // no data passes, and no connection is closed
	responsesHeld             // data from the server is held back
	resetNew                  // new connections are reset
	modeCount                 // number of modes
)

const (
	slowDelay         = 30 * time.Millisecond // delay of each chunk in mode slow
	chunkBytes        = 4096                  // maximum size of a chunk
	stallPollInterval = 20 * time.Millisecond // time between checks whether held data may pass
)

// proxy forwards connections to a server on loopback and injects faults.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  mode
	down  bool
	conns map[net.Conn]bool // open connections to clients and to the target
}

// newProxy starts a proxy for connections to a target address.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	listener, err := socket.Listen(ctx, loopbackAddress)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, conns: make(map[net.Conn]bool)}
	go p.accept(ctx, listener)
	return p, nil
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

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

// resetAll resets all open connections.
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

// close closes the listener and resets all open connections.
func (p *proxy) close() {
	p.mu.Lock()
	p.down = true
	p.listener.Close()
	p.mu.Unlock()
	p.resetAll()
}

// crash resets all open connections and refuses new ones for a while, as if the target had ended.
func (p *proxy) crash(ctx context.Context, d time.Duration) {
	address := p.address()
	p.listener.Close()
	p.resetAll()
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.down {
			return
		}
		if listener, err := socket.Listen(ctx, address); err == nil {
			p.listener = listener
			go p.accept(ctx, listener)
		}
	})
}

// accept serves new connections until the listener is closed.
func (p *proxy) accept(ctx context.Context, listener net.Listener) {
	for {
		client, err := listener.Accept()
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

// serve forwards data between a client and the target until one side closes.
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

// track records that a connection is open, or no longer is.
func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// forward forwards data in one direction until one side closes. Data that a mode holds back passes once the mode
// changes.
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

package upstream

import (
	"context"
	"net"
	"sync"
	"testing"
)

// Whether a server has ended is mostly seen from the connections that are open already: a check opens one at most, keeps it for
// the next request, and notices the end.
func TestCheckOfAServerOpensOneConnectionAtMost(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var accepted []net.Conn
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			accepted = append(accepted, c)
			mu.Unlock()
		}
	}()
	p := NewPool()
	defer p.Close()
	dials := 0
	dial := p.Dial
	p.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return dial(ctx, network, address)
	}
	for range 20 {
		if p.RefusesConnections(t.Context(), listener.Addr().String()) {
			t.Fatal("a server that is up counts as ended")
		}
	}
	if dials != 1 {
		t.Errorf("%d connections were opened", dials)
	}
	listener.Close()
	mu.Lock()
	for _, c := range accepted {
		c.Close()
	}
	mu.Unlock()
	for n := 0; !p.RefusesConnections(t.Context(), listener.Addr().String()); n++ {
		if n == 1000 {
			t.Fatal("the end of the server was not seen")
		}
	}
}

package peer

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"teaselgate/standin/bubble"
	"teaselgate/standin/network"
)

// trafficLog sums bytes by method. It is safe for concurrent use.
type trafficLog struct {
	mu             sync.Mutex
	sent, received map[string]int
}

func newTrafficLog() *trafficLog {
	return &trafficLog{sent: make(map[string]int), received: make(map[string]int)}
}

func (l *trafficLog) traffic() Traffic {
	add := func(to map[string]int) func(string, int) {
		return func(method string, bytes int) {
			l.mu.Lock()
			defer l.mu.Unlock()
			to[method] += bytes
		}
	}
	return Traffic{Sent: add(l.sent), Received: add(l.received)}
}

// counts returns the bytes sent and received for a method.
func (l *trafficLog) counts(method string) (sent, received int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent[method], l.received[method]
}

// pausingReceiver replies to Big with many bytes, and to Wait only once the channel is closed.
type pausingReceiver struct{ proceed chan struct{} }

func (pausingReceiver) Big(_ int, reply *[]byte) error {
	*reply = make([]byte, bigReply)
	return nil
}

func (r pausingReceiver) Wait(_ int, _ *int) error {
	<-r.proceed
	return nil
}

const bigReply = 100_000

// servePausing serves a pausingReceiver until the test calls stop.
func servePausing(t *testing.T, log *trafficLog) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(l, "secret")
	server.Traffic = log.traffic()
	receiver := pausingReceiver{make(chan struct{})}
	if err := server.Register("Pausing", receiver); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { _ = server.Serve(ctx); close(ended) }()
	return l.Addr().String(), func() { close(receiver.proceed); cancel(); <-ended }
}

func TestBytesAreCountedByMethod(t *testing.T) {
	defer goleak.VerifyNone(t)
	atServer, atClient := newTrafficLog(), newTrafficLog()
	address, stop := servePausing(t, atServer)
	stop = sync.OnceFunc(stop)
	defer stop()
	pool := NewPool("secret")
	pool.Traffic = atClient.traffic()
	defer pool.Close()
	var reply []byte
	if err := pool.Call(t.Context(), address, "Pausing.Big", 1, &reply); err != nil {
		t.Fatal(err)
	}
	if err := pool.Call(t.Context(), address, "Pausing.Missing", 1, &reply); err == nil {
		t.Error("unexpected reply to a method that does not exist")
	}
	sent, received := atClient.counts("Pausing.Big")
	if received < bigReply || sent == 0 || sent > 1000 {
		t.Errorf("unexpected bytes at the caller, got %d sent and %d received", sent, received)
	}
	stop() // a reply is counted after it was sent
	if s, r := atServer.counts("Pausing.Big"); s != received || r != sent {
		t.Errorf("unexpected bytes at the server, got %d sent and %d received instead of %d and %d", s, r, received, sent)
	}
	if s, r := atServer.counts(""); s == 0 || r == 0 {
		t.Errorf("unexpected bytes of unknown methods, got %d sent and %d received", s, r)
	}
}

// A call that gets no reply in time ends others on the same connection. Their errors must say why.
func TestErrorsNameTheCallThatEndedAConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	address, stop := servePausing(t, newTrafficLog())
	defer stop()
	pool := NewPool("secret")
	defer pool.Close()
	var reply int
	if err := pool.Call(t.Context(), address, "Pausing.Missing", 1, &reply); err == nil {
		t.Error("unexpected reply to a method that does not exist")
	}
	other := make(chan error, 1)
	go func() {
		var reply int
		other <- pool.Call(t.Context(), address, "Pausing.Wait", 1, &reply)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := pool.Call(ctx, address, "Pausing.Wait", 2, &reply)
	if err == nil || !strings.Contains(err.Error(), "in which 0 bytes arrived") {
		t.Errorf("unexpected error of the call without a reply, got %v", err)
	}
	if err := <-other; err == nil || !strings.Contains(err.Error(), "which got no reply to Pausing.Wait") {
		t.Errorf("unexpected error of the other call, got %v", err)
	}
}

// Fetches of large configurations ended with their connection whenever a small call behind them got no reply in time, although
// the configuration was arriving.
func TestCallOutOfTimeLeavesConnectionOnWhichBytesArrive(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const rate = 125_000 // bytes a second, so that a big reply takes 0.8 s
		memory := network.New()
		caller, host := memory.AddHost("caller", rate), memory.AddHost("host", rate)
		server := NewServer(host, "secret")
		receiver := pausingReceiver{make(chan struct{})}
		if err := server.Register("Pausing", receiver); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { _ = server.Serve(ctx); close(ended) }()
		pool := NewPool("secret")
		pool.Dial = caller.Dial
		big := make(chan error, 1)
		go func() {
			var reply []byte
			big <- pool.Call(t.Context(), "host", "Pausing.Big", 1, &reply)
		}()
		time.Sleep(100 * time.Millisecond)
		short, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		var reply int
		if err := pool.Call(short, "host", "Pausing.Wait", 1, &reply); !errors.Is(err, ErrNoReply) {
			t.Errorf("unexpected error of a call without a reply, got %v instead of %v", err, ErrNoReply)
		}
		stop()
		if err := <-big; err != nil {
			t.Errorf("unexpected error of a call whose reply was arriving: %v", err)
		}
		close(receiver.proceed)
		pool.Close()
		cancel()
		<-ended
	})
}

package fleet

import (
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"teaselgate/peer"
	"teaselgate/platform"
)

// Time within which all instances that start at once know each other.
const (
	startupTime      = 20 * time.Second
	largeStartupTime = 4 * time.Minute
)

// packetOverheadBytes is the size of the Ethernet, IP and TCP headers of a message and of its acknowledgement.
const packetOverheadBytes = 2 * 66

// fakeNetwork carries calls between instances in memory, with faults.
type fakeNetwork struct {
	t   *testing.T
	ctx context.Context

	mu       sync.Mutex
	fleets   map[string]*runningFleet   // by peer address
	cut      func(from, to string) bool // reports whether calls from one address to another get no reply
	seeds    []string                   // seeds of the instances that are started next
	outage   bool                       // whether the platform store is down
	counters map[string]*byteCounter    // by sender and receiver
	traffic  map[string]int             // bytes sent and received, by address
}

type runningFleet struct {
	fleet *Fleet
	stop  context.CancelFunc
	done  chan struct{}
}

// byteCounter counts the encoded bytes of messages on one connection.
type byteCounter struct {
	encoder *gob.Encoder
	bytes   int
}

func (w *byteCounter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

func newFakeNetwork(ctx context.Context, t *testing.T) *fakeNetwork {
	return &fakeNetwork{
		t: t, ctx: ctx,
		fleets:   make(map[string]*runningFleet),
		cut:      func(string, string) bool { return false },
		counters: make(map[string]*byteCounter),
		traffic:  make(map[string]int),
	}
}

// start starts an instance. The platform store lists all running instances, whatever faults there are.
func (n *fakeNetwork) start(name string, incarnation uint64) *Fleet {
	f := New(Member{
		Name: name, Zone: "z", Peer: name + ".0.0.0:7000", Admin: name + ".0.0.0:7001", Incarnation: incarnation,
	}, peer.NewPool(""))
	f.Call = func(ctx context.Context, address, method string, args, reply any) error {
		return n.call(ctx, f.Self.Peer, address, method, args, reply)
	}
	f.Instances, f.Seeds = n.instances, n.seeds
	ctx, stop := context.WithCancel(n.ctx)
	r := &runningFleet{f, stop, make(chan struct{})}
	n.mu.Lock()
	n.fleets[f.Self.Peer] = r
	n.mu.Unlock()
	go func() {
		defer close(r.done)
		_ = f.Serve(ctx)
	}()
	return f
}

// kill stops an instance without telling its peers.
func (n *fakeNetwork) kill(f *Fleet) {
	n.mu.Lock()
	r := n.fleets[f.Self.Peer]
	delete(n.fleets, f.Self.Peer)
	n.mu.Unlock()
	r.stop()
	<-r.done
}

func (n *fakeNetwork) instances(context.Context) ([]platform.Instance, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.outage {
		return nil, platform.ErrUnavailable
	}
	var out []platform.Instance
	for _, r := range n.fleets {
		out = append(out, platform.Instance{Name: r.fleet.Self.Name, Zone: "z", Peer: r.fleet.Self.Peer, State: "live"})
	}
	return out, nil
}

func (n *fakeNetwork) setFaults(cut func(from, to string) bool, outage bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut, n.outage = cut, outage
}

func (n *fakeNetwork) call(ctx context.Context, from, to, method string, args, reply any) error {
	n.mu.Lock()
	target := n.fleets[to]
	cut := n.cut(from, to)
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return peer.ErrNoReply
	}
	if target == nil {
		return peer.ErrUnreachable
	}
	n.countBytes(from, to, rpc.Request{ServiceMethod: method, Seq: 1000}, args)
	defer func() { n.countBytes(to, from, rpc.Response{ServiceMethod: method, Seq: 1000}, reply) }()
	receiver := target.fleet.Receiver()
	switch method {
	case RPCName + ".Ping":
		return receiver.Ping(args.(PingArgs), reply.(*PingReply))
	case RPCName + ".Relay":
		return receiver.Relay(args.(RelayArgs), reply.(*RelayReply))
	default:
		return receiver.Sync(args.(SyncArgs), reply.(*SyncReply))
	}
}

// countBytes counts the bytes of one message for both of its ends.
func (n *fakeNetwork) countBytes(from, to string, header, body any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.counters[from+to]
	if w == nil {
		w = &byteCounter{}
		w.encoder = gob.NewEncoder(io.Writer(w))
		n.counters[from+to] = w
	}
	before := w.bytes
	_ = w.encoder.Encode(header)
	_ = w.encoder.Encode(body)
	size := w.bytes - before + packetOverheadBytes
	n.traffic[from] += size
	n.traffic[to] += size
}

func (n *fakeNetwork) resetTraffic() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.traffic)
}

func (n *fakeNetwork) totalTraffic() (total, most int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, bytes := range n.traffic {
		total += bytes
		most = max(most, bytes)
	}
	return total, most
}

// startAll starts instances a0, a1, ... and waits until all know each other.
func (n *fakeNetwork) startAll(size int) []*Fleet {
	out := make([]*Fleet, 0, size)
	for i := range size {
		out = append(out, n.start(fmt.Sprintf("a%d", i), 1))
	}
	if size < smallFleetSize {
		<-time.After(startupTime)
	} else {
		<-time.After(largeStartupTime)
	}
	for _, f := range out {
		n.expectMembers(f, "after the start", size, Live)
	}
	return out
}

// expectMembers checks how many members one instance sees in a state.
func (n *fakeNetwork) expectMembers(f *Fleet, when string, want int, state State) {
	n.t.Helper()
	got := 0
	for _, m := range f.Members() {
		if m.State == state {
			got++
		}
	}
	if got != want {
		n.t.Errorf("%s: unexpected number of %v members at %s, got %d instead of %d", when, state, f.Self.Name, got, want)
	}
}

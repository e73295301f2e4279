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

// Time in which a fleet that starts all at once spreads its first statements.
const (
	settling      = 20 * time.Second
	largeSettling = 4 * time.Minute
)

// packetBytes is what TCP and IP add to each message, with its acknowledgement.
const packetBytes = 2 * 66

// network carries calls between fleets in memory, with faults.
type network struct {
	t   *testing.T
	ctx context.Context

	mu      sync.Mutex
	fleets  map[string]*running // by peer address
	cut     func(from, to string) bool
	seeds   []string // of the instances that start from now on
	outage  bool
	wires   map[string]*wire
	traffic map[string]int // bytes sent and received by address
}

type running struct {
	fleet *Fleet
	stop  context.CancelFunc
	done  chan struct{}
}

// wire measures the encoded size of messages on one connection.
type wire struct {
	encoder *gob.Encoder
	bytes   int
}

func (w *wire) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

func newNetwork(ctx context.Context, t *testing.T) *network {
	return &network{
		t: t, ctx: ctx,
		fleets:  make(map[string]*running),
		cut:     func(string, string) bool { return false },
		wires:   make(map[string]*wire),
		traffic: make(map[string]int),
	}
}

// start runs an instance; the platform names all that run, and knows nothing of faults.
func (n *network) start(name string, incarnation uint64) *Fleet {
	f := New(Member{Name: name, Zone: "z", Peer: name + ".0.0.0:7000", Admin: name + ".0.0.0:7001", Incarnation: incarnation}, peer.NewPool(""))
	f.Call = func(ctx context.Context, address, method string, args, reply any) error {
		return n.call(ctx, f.Self.Peer, address, method, args, reply)
	}
	f.Instances, f.Seeds = n.instances, n.seeds
	ctx, stop := context.WithCancel(n.ctx)
	r := &running{f, stop, make(chan struct{})}
	n.mu.Lock()
	n.fleets[f.Self.Peer] = r
	n.mu.Unlock()
	go func() {
		defer close(r.done)
		_ = f.Serve(ctx)
	}()
	return f
}

// kill ends an instance without a word.
func (n *network) kill(f *Fleet) {
	n.mu.Lock()
	r := n.fleets[f.Self.Peer]
	delete(n.fleets, f.Self.Peer)
	n.mu.Unlock()
	r.stop()
	<-r.done
}

func (n *network) instances(context.Context) ([]platform.Instance, error) {
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

func (n *network) set(cut func(from, to string) bool, outage bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut, n.outage = cut, outage
}

func (n *network) call(ctx context.Context, from, to, method string, args, reply any) error {
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
	n.weigh(from, to, rpc.Request{ServiceMethod: method, Seq: 1000}, args)
	defer func() { n.weigh(to, from, rpc.Response{ServiceMethod: method, Seq: 1000}, reply) }()
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

// weigh counts the bytes of one message at both ends.
func (n *network) weigh(from, to string, header, body any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.wires[from+to]
	if w == nil {
		w = &wire{}
		w.encoder = gob.NewEncoder(io.Writer(w))
		n.wires[from+to] = w
	}
	before := w.bytes
	_ = w.encoder.Encode(header)
	_ = w.encoder.Encode(body)
	size := w.bytes - before + packetBytes
	n.traffic[from] += size
	n.traffic[to] += size
}

func (n *network) resetTraffic() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.traffic)
}

func (n *network) sumTraffic() (total, most int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, bytes := range n.traffic {
		total += bytes
		most = max(most, bytes)
	}
	return total, most
}

// startAll runs instances a0, a1, ... and waits until all know each other.
func (n *network) startAll(size int) []*Fleet {
	out := make([]*Fleet, 0, size)
	for i := range size {
		out = append(out, n.start(fmt.Sprintf("a%d", i), 1))
	}
	if size < smallFleet {
		<-time.After(settling)
	} else {
		<-time.After(largeSettling)
	}
	for _, f := range out {
		n.expect(f, "all live", size, Live)
	}
	return out
}

// expect checks how many members are in a state, as seen by one instance.
func (n *network) expect(f *Fleet, when string, want int, state State) {
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

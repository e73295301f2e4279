package fleet

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"teaselgate/peer"
)

// BenchmarkPing measures the CPU time of one probe, both ends together, over loopback.
func BenchmarkPing(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	server := peer.NewServer(listener, "secret")
	callee := New(Member{Name: "b", Peer: listener.Addr().String(), Incarnation: 1}, peer.NewPool("secret"))
	if err := server.Register(RPCName, callee.Receiver()); err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(ctx) }()
	pool := peer.NewPool("secret")
	defer pool.Close()
	caller := New(Member{Name: "a", Zone: "z", Peer: "10.0.0.1:7000", Admin: "10.0.0.1:7001", Incarnation: 1}, pool)
	for b.Loop() {
		if err := caller.ping(ctx, callee.Self); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMember measures the memory that a known instance takes.
func BenchmarkMember(b *testing.B) {
	const members = 100_000
	for b.Loop() {
		f := New(Member{Name: "a", Incarnation: 1}, peer.NewPool(""))
		before := heap()
		for n := range members {
			f.mergeOne(Member{
				Name: fmt.Sprintf("instance-%d", n), Zone: "zone-a", Incarnation: 1,
				Peer: fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250), Admin: fmt.Sprintf("10.0.%d.%d:7001", n/250, n%250),
			})
			f.updates.updates = nil
		}
		b.ReportMetric(float64(heap()-before)/members, "B/member")
		runtime.KeepAlive(f)
	}
}

func heap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

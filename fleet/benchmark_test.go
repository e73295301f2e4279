package fleet

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"teaselgate/peer"
)

// BenchmarkPing measures one probe over loopback, with the work of both ends.
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

// BenchmarkMember measures the memory that each known instance takes.
func BenchmarkMember(b *testing.B) {
	const members = 100_000
	for b.Loop() {
		f := New(Member{Name: "a", Incarnation: 1}, peer.NewPool(""))
		before := heapBytes()
		for n := range members {
			f.mergeMember(Member{
				Name: fmt.Sprintf("instance-%d", n), Zone: "zone-a", Incarnation: 1,
				Peer: fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250), Admin: fmt.Sprintf("10.0.%d.%d:7001", n/250, n%250),
			})
			f.updates.updates = nil
		}
		b.ReportMetric(float64(heapBytes()-before)/members, "B/member")
		runtime.KeepAlive(f)
	}
}

// heapBytes returns the number of allocated bytes after a garbage collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

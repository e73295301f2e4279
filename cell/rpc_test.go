package cell

import (
	"context"
	"net"
	"sync"
	"testing"

	"teaselgate/peer"
	"teaselgate/rule"
)

// BenchmarkPlaceOverRPC measures a placement and its release over net/rpc on loopback, with both sides in one process.
func BenchmarkPlaceOverRPC(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(b.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	f := &fakeFleet{held: make(map[string]int), hubs: make(map[string]*Hub), unreachable: make(map[string]bool), names: []string{"i1"}}
	f.rules = parseRules(b, f.rulesText("live"))
	f.start(ctx, "i1", &running)
	server := peer.NewServer(listener, "token")
	if err := server.Register(RPCName, f.hubs["i1"].Receiver()); err != nil {
		b.Fatal(err)
	}
	running.Go(func() { _ = server.Serve(ctx) })
	pool := peer.NewPool("token")
	defer pool.Close()
	id := ID{Prefill: "p", Decode: "d"}
	args := PlaceArgs{Cell: id, Ask: PlaceRequest{
		Key: "0123456789abcdef01234567-1", Account: "dala-almaty", Weight: 3, Class: rule.ClassInteractive,
		PromptTokens: 10, MaxTokens: 20, Prefixes: []string{"8a7b6c5d", "12345678", "9abcdef0", "0fedcba9"}, Zone: "a",
	}}
	release := ReleaseArgs{Cell: id, Places: []Released{{Key: args.Ask.Key}}}
	b.ReportAllocs()
	for b.Loop() {
		var reply PlaceReply
		if err := pool.Call(ctx, listener.Addr().String(), RPCName+".Place", args, &reply); err != nil || reply.Status != Placed {
			b.Fatalf("unexpected reply %+v with error %v", reply, err)
		}
		if err := pool.Call(ctx, listener.Addr().String(), RPCName+".Release", release, &ReleaseReply{}); err != nil {
			b.Fatal(err)
		}
	}
}

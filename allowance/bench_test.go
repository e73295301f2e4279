package allowance

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The size to design for.
const (
	largeShards   = 1024
	largeAccounts = 35000
	largeNodes    = 370
)

var benchInstance = Instance{Name: "i1", Incarnation: 1, Zone: "ala-a", Peer: "10.0.0.1:7001"}

// BenchmarkGrant is the work of a keeper for one grant to one account.
func BenchmarkGrant(b *testing.B) {
	now := time.Now()
	manager := newSoleManager(benchInstance, 16, now)
	args := newTakeArgs(1, 1, 0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		manager.HandleTake(now, args)
	}
}

// BenchmarkGrantOverNetwork is the work of both sides of one question, net/rpc and its codec included.
func BenchmarkGrantOverRPC(b *testing.B) {
	client, _ := newRPCPair(b, 16)
	var probe ProbeReply
	if err := client.Call(RPCName+".Probe", ProbeArgs{}, &probe); err != nil {
		b.Fatal(err)
	}
	args := newTakeArgs(probe.Incarnation, 1, 0)
	for b.Loop() {
		var reply TakeReply
		if err := client.Call(RPCName+".Take", args, &reply); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAdmit is the work of an entry for a request that finds a grant.
func BenchmarkAdmit(b *testing.B) {
	now := time.Now()
	client := NewGrantClient(16, func(int) Assignment { return Assignment{Epoch: 1, Primary: benchInstance} })
	q := &accountQuota{account: "dala", grants: []*grant{{remaining: 1 << 60, deadline: now.Add(time.Hour)}}}
	client.quotas["dala"] = q
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if a, w := client.take(now, "dala", 1000); w != nil || a.err != nil {
			b.Fatal("not admitted")
		}
	}
}

// BenchmarkTick is one look of a keeper at all shards of a large fleet, of which it keeps its part.
func BenchmarkTick(b *testing.B) {
	now := time.Now()
	manager := newSoleManager(benchInstance, largeShards, now)
	for i := range manager.shards {
		if i >= largeShards/largeNodes+1 {
			manager.shards[i] = shardState{assignment: Assignment{Epoch: 1, Primary: Instance{Name: "i2", Incarnation: 1}}}
			delete(manager.buckets, i)
		}
	}
	for b.Loop() {
		now = now.Add(managerInterval)
		manager.Tick(now)
	}
}

func TestMeasureMemory(t *testing.T) {
	if !*runLong {
		t.Skip("a measurement without a target: run it with -long")
	}
	now := time.Now()
	before := heapBytes()
	manager := newSoleManager(benchInstance, largeShards, now)
	shards := heapBytes()
	for i := range largeAccounts {
		manager.HandleTake(now, TakeArgs{To: 1, Items: []TakeItem{{Account: fmt.Sprintf("account-%05d", i), Need: 1000, Want: 1000}}})
	}
	accounts := heapBytes()
	client := NewGrantClient(largeShards, manager.Assignment)
	for i := range largeAccounts {
		client.take(now, fmt.Sprintf("account-%05d", i), 1000)
	}
	quotas := heapBytes()
	t.Logf("%d bytes per shard, %d bytes per account with a grant at its keeper, %d bytes per account in use at an entry",
		(shards-before)/largeShards, (accounts-shards)/largeAccounts, (quotas-accounts)/largeAccounts)
	runtime.KeepAlive(manager)
	runtime.KeepAlive(client)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

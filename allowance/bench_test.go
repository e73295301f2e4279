package allowance

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// Size of the largest fleet that the design must support.
const (
	largeShards   = 1024
	largeAccounts = 35000
	largeNodes    = 370
)

var benchInstance = Instance{Name: "i1", Incarnation: 1, Zone: "ala-a", Peer: "10.0.0.1:7001"}

// BenchmarkGrant measures one grant for one account at the primary.
func BenchmarkGrant(b *testing.B) {
	now := time.Now()
	manager := newSoleManager(benchInstance, 16, now)
	args := newTakeArgs(1, 1, 0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		manager.HandleTake(now, args)
	}
}

// BenchmarkGrantOverRPC measures one grant for one account at both sides of a net/rpc call, including encoding.
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

// BenchmarkAdmit measures the admission of a request from an existing grant.
func BenchmarkAdmit(b *testing.B) {
	now := time.Now()
	client := NewGrantClient(16, func(int) Assignment { return Assignment{Epoch: 1, Primary: benchInstance} })
	q := &accountQuota{account: "dala", grants: []*grant{{remaining: 1 << 60, deadline: now.Add(time.Hour)}}}
	client.quotas["dala"] = q
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if a, w := client.take(now, "dala", 1000); w != nil || a.err != nil {
			b.Fatal("request was not admitted")
		}
	}
}

// BenchmarkTick measures one Tick of an instance that is primary of its share of a large fleet's shards.
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
		manager.HandleTake(now, TakeArgs{
			To: 1, Items: []TakeItem{{Account: fmt.Sprintf("account-%05d", i), Need: 1000, Want: 1000}},
		})
	}
	accounts := heapBytes()
	client := NewGrantClient(largeShards, manager.Assignment)
	for i := range largeAccounts {
		client.take(now, fmt.Sprintf("account-%05d", i), 1000)
	}
	quotas := heapBytes()
	t.Logf("%d bytes per shard, %d bytes per account with a grant at its primary, %d bytes per account at a grant client",
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

package allowance

import (
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"teaselgate/rule"
)

// countingConn counts the bytes that go through a connection.
type countingConn struct {
	net.Conn
	read, written atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// newRPCPair returns an RPC client and its connection to a server that is primary of all shards without a lease.
func newRPCPair(t testing.TB, shards int) (*rpc.Client, *countingConn) {
	now := time.Now()
	limiter := NewLimiter(Instance{Name: "i1", Incarnation: uint64(now.UnixNano()), Zone: "ala-a", Peer: "10.0.0.1:7001"})
	limiter.components.Store(&components{manager: newSoleManager(limiter.Self, shards, now)})
	server := rpc.NewServer()
	if err := server.RegisterName(RPCName, limiter.Receiver()); err != nil {
		t.Fatal(err)
	}
	clientEnd, serverEnd := net.Pipe()
	go server.ServeConn(serverEnd)
	conn := &countingConn{Conn: clientEnd}
	client := rpc.NewClient(conn)
	t.Cleanup(func() { client.Close() })
	return client, conn
}

// newSoleManager returns a shard manager that is primary of all shards without a lease.
func newSoleManager(self Instance, shards int, now time.Time) *ShardManager {
	manager := NewShardManager(self, shards, now)
	manager.Account = func(name string) (rule.Account, bool) {
		return rule.Account{Account: name, Rate: 1 << 40, Burst: 1 << 50}, true
	}
	for i := range manager.shards {
		manager.shards[i] = shardState{assignment: Assignment{Epoch: 1, Primary: self}, acting: true, sole: true}
		manager.buckets[i] = newShardBuckets(time.Time{})
	}
	return manager
}

// newTakeArgs returns a request for grants for the given number of accounts, whose numbers start at first.
func newTakeArgs(to uint64, items, first int) TakeArgs {
	args := TakeArgs{To: to}
	for i := range items {
		item := TakeItem{Account: fmt.Sprintf("account-%05d", i+first), Need: 1000, Want: 1000}
		args.Items = append(args.Items, item)
	}
	return args
}

// TestMeasureMessageSizes logs the sizes of each message and its reply. Each call is made twice, since gob sends type
// descriptions only with the first one.
func TestMeasureMessageSizes(t *testing.T) {
	if !*runLong {
		t.Skip("a measurement without a target: run it with -long")
	}
	client, conn := newRPCPair(t, 16)
	var probe ProbeReply
	if err := client.Call(RPCName+".Probe", ProbeArgs{}, &probe); err != nil {
		t.Fatal(err)
	}
	instance := Instance{Name: "i2", Incarnation: probe.Incarnation, Zone: "ala-b", Peer: "10.0.0.2:7001"}
	renew := func(shards int) RenewArgs {
		args := RenewArgs{From: instance, Echo: int64(time.Hour)}
		for i := range shards {
			args.Shards = append(args.Shards, RenewShard{Shard: i, Epoch: 40})
		}
		return args
	}
	resign := ResignArgs{From: instance, Shard: 3, Epoch: 40, Age: startedFullAge}
	for i := range 34 {
		resign.Buckets = append(resign.Buckets, BucketState{fmt.Sprintf("account-%05d", i), 12345.678, 1000})
	}
	cases := []struct {
		name, method string
		args, reply  any
	}{
		{"grant for 1 account", ".Take", newTakeArgs(probe.Incarnation, 1, 0), &TakeReply{}},
		{"grants for 10 accounts", ".Take", newTakeArgs(probe.Incarnation, 10, 0), &TakeReply{}},
		{"renewal of 1 shard", ".Renew", renew(1), &RenewReply{}},
		{"renewal of 3 shards", ".Renew", renew(3), &RenewReply{}},
		{"resignation with 34 accounts", ".Resign", resign, &ResignReply{}},
	}
	for _, c := range cases {
		for range 2 {
			read, written := conn.read.Load(), conn.written.Load()
			if err := client.Call(RPCName+c.method, c.args, c.reply); err != nil {
				t.Fatal(err)
			}
			t.Logf("%-30s %4d bytes sent, %3d bytes received", c.name, conn.written.Load()-written, conn.read.Load()-read)
		}
	}
}

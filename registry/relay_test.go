package registry

import (
	"fmt"
	"testing"

	"teaselgate/gossip"
	"teaselgate/platform"
	"teaselgate/standin/network"
)

// followerOf returns a follower that knows many servers, with the versions 1, 2 and so on.
func followerOf(servers int) *Follower {
	f := NewFollower(nil)
	for n := range servers {
		id := fmt.Sprintf("i-%010x", n)
		f.mergeServer(id, Entry{Version: platform.Version(n + 1), Data: []byte(serverEntryJSON(fmt.Sprintf("10.0.0.1:%d", n), "ready"))}, false)
	}
	f.digests = f.computeDigests()
	return f
}

// messageBytes returns the size of a message between instances.
func messageBytes(t *testing.T, message any) int {
	t.Helper()
	size, err := network.MessageBytes(message)
	if err != nil {
		t.Fatal(err)
	}
	return size
}

// What a peer sends must not grow with the number of servers, whether the caller has nearly all entries, none, or lacks an old one.
func TestFetchesOfEntriesAreProportionalToTheChange(t *testing.T) {
	const oneEntry = 300 // bytes of an entry in a reply, at most
	for _, servers := range []int{33, 150, 12_000} {
		f := followerOf(servers)
		lacking := followerOf(servers)
		delete(lacking.servers, "i-0000000007")
		lacking.digests = lacking.computeDigests()
		tests := map[string]struct {
			args    FetchArgs
			maximum int // bytes of a reply
		}{
			"one change":    {FetchArgs{Since: platform.Version(servers - 1)}, oneEntry},
			"nothing":       {FetchArgs{Since: platform.Version(servers)}, oneEntry},
			"all, in pages": {FetchArgs{}, 3 * gossip.PageBytes}, // a page ends after gossip.PageBytes of entries, without their versions
			"an old one":    {FetchArgs{Digests: lacking.digests[:]}, 3 * gossip.PageBytes},
		}
		for name, test := range tests {
			var reply FetchReply
			if err := f.Receiver().Fetch(test.args, &reply); err != nil {
				t.Fatal(err)
			}
			size := messageBytes(t, reply)
			t.Logf("%d servers, %s: %d bytes asked, %d bytes in the first reply, %d entries, more %v",
				servers, name, messageBytes(t, test.args), size, len(reply.Servers), reply.More)
			if size > test.maximum {
				t.Errorf("%d servers, %s: unexpected reply of %d bytes, at most %d are expected", servers, name, size, test.maximum)
			}
		}
	}
}

// All pages together must bring all entries, also those that share a version.
func TestPagesBringAllEntries(t *testing.T) {
	source := followerOf(1000)
	for n := range 500 {
		id := fmt.Sprintf("i-%010x", 2*n)
		source.mergeServer(id, Entry{Version: 5000, Gone: true}, false)
	}
	source.digests = source.computeDigests()
	var args FetchArgs
	seen := make(map[string]bool)
	for pages := 0; ; pages++ {
		var reply FetchReply
		if err := source.Receiver().Fetch(args, &reply); err != nil || pages > 1000 {
			t.Fatalf("unexpected error %v after %d pages", err, pages)
		}
		for _, e := range reply.Servers {
			seen[e.ID] = true
		}
		if !reply.More {
			break
		}
		args.Since = reply.Servers[len(reply.Servers)-1].Version
	}
	if len(seen) != 1000 {
		t.Errorf("unexpected number of entries, got %d instead of 1000", len(seen))
	}
}

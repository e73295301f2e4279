package registry

import (
	"context"
	"testing"
	"time"
)

// A server says that it is leaving while the store lists it as ready.
func TestServerThatSaysItIsLeavingStaysOutOfUse(t *testing.T) {
	s := newFakeStore()
	s.put("config", "main", configurationJSON(1, "a.example"))
	s.put("servers", "a", startedServerJSON("10.0.0.1:80", "ready", 5))
	runFollowers(t, s, 4, func(followers []*Follower) {
		check := func(n int, when string, want bool) {
			t.Helper()
			if server, ok := followers[n].Current().Server("a"); !ok || server.Leaving != want {
				t.Errorf("unexpected server at instance %d %s: known %v, leaving %v", n, when, ok, server.Leaving)
			}
		}
		server, wasInUse := followers[3].MarkLeaving("a")
		if !wasInUse {
			t.Fatal("the server was not in use")
		}
		if _, again := followers[3].MarkLeaving("a"); again {
			t.Error("the server was in use after it had said that it is leaving")
		}
		check(3, "at once", true)
		followers[3].TellLeaving(context.Background(), "0", server)
		check(0, "after being told", true)
		check(1, "that was not told", false)
		// The entry changes, but the start is the same.
		s.put("servers", "a", startedServerJSON("10.0.0.1:8080", "ready", 5))
		sleep(2 * time.Second)
		check(3, "after a change of the entry", true)
		s.put("servers", "a", startedServerJSON("10.0.0.1:80", "ready", 6))
		sleep(2 * time.Second)
		check(3, "after a new start", false)
		followers[3].TellLeaving(context.Background(), "0", server)
		check(0, "after being told of an earlier start", false)
		s.put("servers", "b", startedServerJSON("10.0.0.1:80", "ready", 7))
		sleep(2 * time.Second)
		if other, ok := followers[3].Current().Server("b"); !ok || other.Leaving {
			t.Error("a new server at the same address is not in use")
		}
	})
}

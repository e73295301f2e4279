package throttle

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"teaselgate/gossip"
	"teaselgate/standin/network"
	"teaselgate/upstream"
)

// listOf returns a list that knows the limits of many servers.
func listOf(servers int, rate float64) *List {
	l := NewList()
	now := time.Unix(1000, 0)
	l.Now = func() time.Time { return now }
	for n := range servers {
		key := upstream.ServerKey{Server: fmt.Sprintf("i-%010x", n), Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250)}
		l.Observe(key, Answer{Kind: Run, Limited: true, Rate: rate, SentAt: now})
	}
	return l
}

// An exchange must move the statements that differ, not those on all servers.
func TestExchangeMovesStatementsThatDiffer(t *testing.T) {
	const largest = 2 * gossip.PageBytes // a group of the largest fleet fills a page; the digests and numbers come on top
	for _, servers := range []int{33, 150, 12_000} {
		own, other := listOf(servers, 3), listOf(servers, 3)
		own.Observe(upstream.ServerKey{Server: "own", Address: "10.1.0.1:80"}, Answer{Kind: Run, Limited: true, Rate: 5})
		other.Observe(upstream.ServerKey{Server: "other", Address: "10.1.0.2:80"}, Answer{Kind: Run, Limited: true, Rate: 7})
		calls, bytes := 0, 0
		own.Call = func(_ context.Context, _, method string, args, reply any) error {
			calls++
			statements := args.(Statements)
			bytes += countBytes(t, statements, largest)
			if strings.HasSuffix(method, "Tell") {
				return other.Receiver().Tell(statements, reply.(*TellReply))
			}
			out := reply.(*Statements)
			err := other.Receiver().Exchange(statements, out)
			bytes += countBytes(t, *out, largest)
			return err
		}
		if err := own.exchange(t.Context(), "peer"); err != nil {
			t.Fatal(err)
		}
		t.Logf("%d servers: %d calls, %d bytes", servers, calls, bytes)
		if own.Digest() != other.Digest() || len(own.Limits()) != servers+2 {
			t.Errorf("%d servers: the two differ, %d and %d limits", servers, len(own.Limits()), len(other.Limits()))
		}
		if most := 5 * largest; bytes > most { // two groups of statements each way, and the digests
			t.Errorf("%d servers: unexpected %d bytes for two statements", servers, bytes)
		}
	}
}

// countBytes returns the size of a message, and fails if it is too large.
func countBytes(t *testing.T, v any, largest int) int {
	t.Helper()
	size, err := network.MessageBytes(v)
	if err != nil {
		t.Fatal(err)
	}
	if size > largest {
		t.Errorf("a message has %d bytes, more than %d", size, largest)
	}
	return size
}

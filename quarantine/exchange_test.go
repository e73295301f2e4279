package quarantine

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"teaselgate/gossip"
	"teaselgate/standin/network"
)

// exchangeBytes is the most that a message of an exchange may have: a page, the digests, and one group more than fits.
const exchangeBytes = gossip.PageBytes + 2*gossip.Groups*9

// traffic is what the calls to a peer have moved.
type traffic struct {
	calls, bytes int
	largest      int // bytes of the largest message
	failing      int // number of the call that fails, from 1 on
}

// connect lets a list call a peer directly, and counts the bytes.
func (tr *traffic) connect(t *testing.T, l, other *List) {
	t.Helper()
	l.Call = func(_ context.Context, _, method string, args, reply any) error {
		tr.calls++
		if tr.calls == tr.failing {
			return errors.New("no reply")
		}
		evidence := args.(Evidence)
		if strings.HasSuffix(method, "Tell") {
			tr.count(t, evidence)
			return other.Receiver().Tell(evidence, nil)
		}
		out := reply.(*Evidence)
		err := other.Receiver().Exchange(evidence, out)
		tr.count(t, evidence)
		tr.count(t, *out)
		return err
	}
}

func (tr *traffic) count(t *testing.T, v any) {
	t.Helper()
	size, err := network.MessageBytes(v)
	if err != nil {
		t.Fatal(err)
	}
	tr.bytes += size
	tr.largest = max(tr.largest, size)
}

// oneMore adds a crash to a list.
func oneMore(l *List, name string) {
	l.merge([]Crash{{Request: name, Server: name, Parts: []string{name}, At: time.Now()}}, nil, false)
}

// An exchange must move what differs, not all evidence: instances exchange whenever one has missed a message.
func TestExchangeMovesWhatDiffers(t *testing.T) {
	tests := []struct {
		name     string
		own      func() *List
		other    func() *List
		maxBytes int
	}{
		{"a crash each", func() *List { l := partList(); oneMore(l, "own"); return l }, func() *List { l := partList(); oneMore(l, "other"); return l }, 3 * exchangeBytes},
		{"all to one that starts", partList, NewList, 16 * exchangeBytes},
		{"all from a peer", NewList, partList, 16 * exchangeBytes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var tr traffic
			own, other := test.own(), test.other()
			tr.connect(t, own, other)
			if err := own.exchange(t.Context(), "peer"); err != nil {
				t.Fatal(err)
			}
			if own.Digest() != other.Digest() || len(own.ledger.crashes) != len(other.ledger.crashes) {
				t.Errorf("the two differ: %d and %d crashes", len(own.ledger.crashes), len(other.ledger.crashes))
			}
			t.Logf("%d calls, %d bytes, %d in the largest message", tr.calls, tr.bytes, tr.largest)
			if tr.bytes > test.maxBytes || tr.largest > exchangeBytes {
				t.Errorf("unexpected %d bytes, %d in one message", tr.bytes, tr.largest)
			}
		})
	}
}

// partList returns a list with 400 crashes, some of whose parts have succeeded since.
func partList() *List {
	l := fullList()
	l.ledger.drop(0, maxCrashes-400)
	l.merge(nil, []success{{"shared", time.Now()}}, false)
	return l
}

// What has come before an exchange fails must not be asked for again.
func TestExchangeContinuesAfterAFailure(t *testing.T) {
	const failing = 4
	tr := traffic{failing: failing}
	own, other := NewList(), partList()
	tr.connect(t, own, other)
	if err := own.exchange(t.Context(), "peer"); err == nil {
		t.Fatal("the exchange has not failed")
	}
	known := len(own.ledger.crashes)
	if err := own.exchange(t.Context(), "peer"); err != nil {
		t.Fatal(err)
	}
	if known == 0 || own.Digest() != other.Digest() {
		t.Errorf("%d crashes known after the failure, digests %d and %d in the end", known, own.Digest(), other.Digest())
	}
	var whole traffic
	another := NewList()
	whole.connect(t, another, other)
	if err := another.exchange(t.Context(), "peer"); err != nil {
		t.Fatal(err)
	}
	if most := whole.calls + 2; tr.calls > most {
		t.Errorf("%d calls with a failure, %d without one", tr.calls, whole.calls)
	}
}

// While a fleet is replaced, instances that know no digests exchange all evidence at once, in both directions.
func TestExchangeWithAnInstanceWithoutDigests(t *testing.T) {
	own, other := NewList(), NewList()
	oneMore(own, "own")
	oneMore(other, "other")
	own.Call = func(_ context.Context, _, method string, args, reply any) error {
		evidence := args.(Evidence)
		evidence.Digests, evidence.Next = nil, 0
		if strings.HasSuffix(method, "Tell") {
			return other.Receiver().Tell(evidence, nil)
		}
		return other.Receiver().Exchange(evidence, reply.(*Evidence))
	}
	if err := own.exchange(t.Context(), "peer"); err != nil {
		t.Fatal(err)
	}
	for n, l := range []*List{own, other} {
		if got := len(l.evidence().Crashes); got != 2 {
			t.Errorf("instance %d knows %d crashes instead of 2", n, got)
		}
	}
}

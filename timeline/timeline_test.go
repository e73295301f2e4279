package timeline

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"teaselgate/event"
	"teaselgate/peer"
)

// node is one instance as far as calls and events go.
type node struct {
	events *event.Recorder
	pool   *peer.Pool
	server *peer.Server
}

func newNode(t *testing.T, name string, off time.Duration) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{events: event.NewRecorder(name, nil), pool: peer.NewPool("secret"), server: peer.NewServer(listener, "secret")}
	n.events.Now = func() time.Time { return time.Now().Add(off) }
	n.events.Clock.Now = n.events.Now
	stamps := peer.Clock{
		Next:    func() uint64 { return uint64(n.events.Clock.Next()) },
		Observe: func(s uint64) { n.events.Clock.Observe(event.Stamp(s)) },
	}
	n.pool.Clock, n.server.Clock = stamps, stamps
	if err := n.server.Register("Note", &note{n}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.server.Serve(ctx) }()
	t.Cleanup(func() {
		n.pool.Close()
		stop()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("unexpected end of a server: %v", err)
		}
	})
	return n
}

// note answers calls.
type note struct{ node *node }

// Down records an event and passes the call on to the addresses that follow.
func (n *note) Down(path []string, _ *bool) error {
	n.node.events.Record(event.Event{Code: event.MemberStateChanged, Detail: fmt.Sprintf("%d came", len(path))})
	return n.node.send(path)
}

// send calls the first address of a path, between two events.
func (n *node) send(path []string) error {
	if len(path) == 0 {
		return nil
	}
	n.events.Record(event.Event{Code: event.RequestPlaced, Detail: fmt.Sprintf("%d sent", len(path))})
	var done bool
	if err := n.pool.Call(context.Background(), path[0], "Note.Down", path[1:], &done); err != nil {
		return err
	}
	n.events.Record(event.Event{Code: event.RequestCompleted, Detail: fmt.Sprintf("%d answered", len(path))})
	return nil
}

func TestCallsOrderEventsOfMachinesWithOtherClocks(t *testing.T) {
	// The second machine is an hour behind, the third a day ahead.
	a, b, c := newNode(t, "a", 0), newNode(t, "b", -time.Hour), newNode(t, "c", 24*time.Hour)
	at := func(n *node) string { return n.server.Listener.Addr().String() }
	if err := a.send([]string{at(b), at(c), at(a), at(b)}); err != nil {
		t.Fatal(err)
	}
	merged := Merge(a.events.Events(), b.events.Events(), c.events.Events())
	got := make([]string, 0, len(merged))
	for _, e := range merged {
		got = append(got, e.Instance+" "+e.Detail)
	}
	want := "a 4 sent,b 3 came,b 3 sent,c 2 came,c 2 sent,a 1 came,a 1 sent,b 0 came,a 1 answered,c 2 answered,b 3 answered,a 4 answered"
	if strings.Join(got, ",") != want {
		t.Errorf("unexpected order, got %v instead of %s", got, want)
	}
}

// example is a time line of two instances.
func example() []event.Event {
	at := func(micros int64) event.Stamp { return event.Stamp(micros << 12) }
	day := time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC).UnixMicro()
	one := []event.Event{
		{Code: 1001, Name: "instance-started", Stamp: at(day), Sequence: 1, Instance: "i1"},
		{Code: 1202, Name: "request-placed", Stamp: at(day + 70), Sequence: 2, Instance: "i1", Request: "5f0c", Account: "dala"},
		{Code: 1204, Name: "request-failed", Stamp: at(day + 80), Sequence: 3, Instance: "i1", Request: "5f0c-1", Detail: "engine: busy"},
	}
	two := []event.Event{
		{Code: 1501, Name: "member-changed", Stamp: at(day + 60), Sequence: 1, Instance: "i2", Detail: "i1 live"},
		{Code: 1202, Name: "request-placed", Stamp: at(day + 75), Sequence: 2, Instance: "i2", Request: "5f0c", Server: "d1"},
	}
	return Merge(one, two)
}

// The files in testdata are rewritten by: go test ./timeline -update.
func TestOutputs(t *testing.T) {
	golden := goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(""))
	var text, trace bytes.Buffer
	if err := WriteText(&text, example()); err != nil {
		t.Fatal(err)
	}
	golden.Assert(t, "timeline.txt", text.Bytes())
	if err := WriteTrace(&trace, example()); err != nil {
		t.Fatal(err)
	}
	if !json.Valid(trace.Bytes()) {
		t.Error("unexpected trace that is not JSON")
	}
	golden.Assert(t, "trace.json", trace.Bytes())
}

func TestFilterPicksARequestWithItsAttempts(t *testing.T) {
	f := Filter{Request: "5f0c"}
	if got := len(f.Apply(example(), time.Now())); got != 3 {
		t.Errorf("unexpected events of a request, got %d instead of 3", got)
	}
	if got := f.Path(); got != "/events?request=5f0c" {
		t.Errorf("unexpected path %s", got)
	}
	now := time.Now()
	recent := []event.Event{{Time: now.Add(-time.Hour)}, {Time: now.Add(-time.Second)}}
	if got := len(Filter{MaxAge: time.Minute}.Apply(recent, now)); got != 1 {
		t.Errorf("unexpected recent events, got %d instead of 1", got)
	}
}

func TestCollectGivesWhatItGot(t *testing.T) {
	gone := errors.New("gone")
	addresses := make([]string, 2*readers)
	for n := range addresses {
		addresses[n] = string(rune('A' + n))
	}
	events, failures := Collect(t.Context(), addresses, func(_ context.Context, address string) ([]event.Event, error) {
		if address == "B" {
			return nil, gone
		}
		return []event.Event{{Instance: address}}, nil
	})
	if len(events) != len(addresses)-1 || len(failures) != 1 || !errors.Is(failures[0], gone) {
		t.Errorf("unexpected result: %d events, failures %v", len(events), failures)
	}
}

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

// testInstance is an instance that only records events and handles RPCs.
type testInstance struct {
	events *event.Recorder
	pool   *peer.Pool
	server *peer.Server
}

func newTestInstance(t *testing.T, name string, clockOffset time.Duration) *testInstance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &testInstance{
		events: event.NewRecorder(name, nil),
		pool:   peer.NewPool("secret"),
		server: peer.NewServer(listener, "secret"),
	}
	n.events.Now = func() time.Time { return time.Now().Add(clockOffset) }
	n.events.Clock.Now = n.events.Now
	clock := peer.Clock{
		Next:    func() uint64 { return uint64(n.events.Clock.Next()) },
		Observe: func(s uint64) { n.events.Clock.Observe(event.Stamp(s)) },
	}
	n.pool.Clock, n.server.Clock = clock, clock
	if err := n.server.Register("Relay", &relayReceiver{n}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	serveResult := make(chan error, 1)
	go func() { serveResult <- n.server.Serve(ctx) }()
	t.Cleanup(func() {
		n.pool.Close()
		stop()
		if err := <-serveResult; !errors.Is(err, context.Canceled) {
			t.Errorf("unexpected error of the peer server: %v", err)
		}
	})
	return n
}

// relayReceiver handles the RPCs of a test instance.
type relayReceiver struct{ instance *testInstance }

// Forward records an event and calls the next address of the route.
func (r *relayReceiver) Forward(route []string, _ *bool) error {
	r.instance.events.Record(event.Event{Code: event.MemberStateChanged, Detail: fmt.Sprintf("%d received", len(route))})
	return r.instance.send(route)
}

// send calls the first address of the route, and records an event before and after the call.
func (n *testInstance) send(route []string) error {
	if len(route) == 0 {
		return nil
	}
	n.events.Record(event.Event{Code: event.RequestPlaced, Detail: fmt.Sprintf("%d sent", len(route))})
	var done bool
	if err := n.pool.Call(context.Background(), route[0], "Relay.Forward", route[1:], &done); err != nil {
		return err
	}
	n.events.Record(event.Event{Code: event.RequestCompleted, Detail: fmt.Sprintf("%d answered", len(route))})
	return nil
}

func TestMergeOrdersCausesBeforeEffectsDespiteClockOffsets(t *testing.T) {
	// The clock of b is an hour behind that of a, and the clock of c a day ahead.
	a, b, c := newTestInstance(t, "a", 0), newTestInstance(t, "b", -time.Hour), newTestInstance(t, "c", 24*time.Hour)
	address := func(n *testInstance) string { return n.server.Listener.Addr().String() }
	if err := a.send([]string{address(b), address(c), address(a), address(b)}); err != nil {
		t.Fatal(err)
	}
	merged := Merge(a.events.Events(), b.events.Events(), c.events.Events())
	got := make([]string, 0, len(merged))
	for _, e := range merged {
		got = append(got, e.Instance+" "+e.Detail)
	}
	want := "a 4 sent,b 3 received,b 3 sent,c 2 received,c 2 sent,a 1 received,a 1 sent,b 0 received,a 1 answered,c 2 answered,b 3 answered,a 4 answered"
	if strings.Join(got, ",") != want {
		t.Errorf("unexpected order, got %v instead of %s", got, want)
	}
}

// exampleEvents returns the merged events of two instances.
func exampleEvents() []event.Event {
	at := func(micros int64) event.Stamp { return event.Stamp(micros << 12) }
	start := time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC).UnixMicro()
	first := []event.Event{
		{Code: 1001, Name: "instance-started", Stamp: at(start), Sequence: 1, Instance: "i1"},
		{Code: 1202, Name: "request-placed", Stamp: at(start + 70), Sequence: 2, Instance: "i1", Request: "5f0c", Account: "dala"},
		{Code: 1204, Name: "request-failed", Stamp: at(start + 80), Sequence: 3, Instance: "i1", Request: "5f0c-1", Detail: "engine: busy"},
	}
	second := []event.Event{
		{Code: 1501, Name: "member-changed", Stamp: at(start + 60), Sequence: 1, Instance: "i2", Detail: "i1 live"},
		{Code: 1202, Name: "request-placed", Stamp: at(start + 75), Sequence: 2, Instance: "i2", Request: "5f0c", Server: "d1"},
	}
	return Merge(first, second)
}

// To rewrite the files in testdata, run: go test ./timeline -update.
func TestWriteTextAndTraceMatchGoldenFiles(t *testing.T) {
	golden := goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(""))
	var text, trace bytes.Buffer
	if err := WriteText(&text, exampleEvents()); err != nil {
		t.Fatal(err)
	}
	golden.Assert(t, "timeline.txt", text.Bytes())
	if err := WriteTrace(&trace, exampleEvents()); err != nil {
		t.Fatal(err)
	}
	if !json.Valid(trace.Bytes()) {
		t.Error("unexpected trace, not valid JSON")
	}
	golden.Assert(t, "trace.json", trace.Bytes())
}

func TestFilterKeepsRequestWithItsAttempts(t *testing.T) {
	f := Filter{Request: "5f0c"}
	if got := len(f.Apply(exampleEvents(), time.Now())); got != 3 {
		t.Errorf("unexpected number of events of a request, got %d instead of 3", got)
	}
	if got := f.Path(); got != "/events?request=5f0c" {
		t.Errorf("unexpected path %s", got)
	}
	now := time.Now()
	recent := []event.Event{{Time: now.Add(-time.Hour)}, {Time: now.Add(-time.Second)}}
	if got := len(Filter{MaxAge: time.Minute}.Apply(recent, now)); got != 1 {
		t.Errorf("unexpected number of recent events, got %d instead of 1", got)
	}
}

func TestCollectReturnsPartialResult(t *testing.T) {
	errUnreachable := errors.New("unreachable")
	addresses := make([]string, 2*maxConcurrentReads)
	for n := range addresses {
		addresses[n] = string(rune('A' + n))
	}
	events, failures := Collect(t.Context(), addresses, func(_ context.Context, address string) ([]event.Event, error) {
		if address == "B" {
			return nil, errUnreachable
		}
		return []event.Event{{Instance: address}}, nil
	})
	if len(events) != len(addresses)-1 || len(failures) != 1 || !errors.Is(failures[0], errUnreachable) {
		t.Errorf("unexpected result, got %d events and failures %v", len(events), failures)
	}
}

package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselgate/event"
	"teaselgate/standin/bubble"
)

// endWatcher is a list that watches one server, which ends at a time of the test's choice. It runs in a synctest bubble.
type endWatcher struct {
	*List
	ended  atomic.Bool
	checks atomic.Int64
	mu     sync.Mutex
	events []event.Event
}

func runEndWatcher(t *testing.T, test func(w *endWatcher)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		w := &endWatcher{List: NewList()}
		w.Record = func(e event.Event) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.events = append(w.events, e)
		}
		var serving sync.WaitGroup
		serving.Go(func() { _ = w.Serve(ctx) })
		test(w)
		stop()
		serving.Wait()
	})
}

// attempt returns an attempt at the server that got no answer.
func (w *endWatcher) attempt(request string, cut bool) Attempt {
	return Attempt{
		Crash:   Crash{Request: request, Server: "s1", Parts: []string{RequestPart("", "GET /"+request, nil)}, Sent: w.Now().Add(-60 * time.Millisecond)},
		Address: "10.0.0.1:80", Cut: cut,
		Refuses: func(context.Context, string) bool {
			w.checks.Add(1)
			return w.ended.Load()
		},
	}
}

// ends returns the requests under which the server was seen to have ended.
func (w *endWatcher) ends() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, e := range w.events {
		if e.Code == event.ServerEnded {
			out = append(out, e.Request)
		}
	}
	return out
}

// A server that ends some time after the attempt was cut counts against the request.
func TestServerThatEndsAfterTheCutIsSeen(t *testing.T) {
	for _, late := range []time.Duration{0, 10 * time.Millisecond, 40 * time.Millisecond, 300 * time.Millisecond, 1900 * time.Millisecond} {
		runEndWatcher(t, func(w *endWatcher) {
			w.ReportNoAnswer(t.Context(), w.attempt("lookup", true))
			time.Sleep(late)
			w.ended.Store(true)
			time.Sleep(maxCheckPause)
			if got := w.ends(); len(got) != 1 || got[0] != "lookup" {
				t.Errorf("end %v after the cut: seen for %v", late, got)
			}
		})
	}
}

// A server that breaks an attempt off and refuses connections is known to have ended before the request is retried.
func TestServerThatEndsUnderARequestIsSeenAtOnce(t *testing.T) {
	runEndWatcher(t, func(w *endWatcher) {
		w.ended.Store(true)
		w.ReportNoAnswer(t.Context(), w.attempt("lookup", false))
		if got := w.ends(); len(got) != 1 {
			t.Errorf("ends %v", got)
		}
	})
}

// Attempts that a silent server does not answer lead to few checks, whatever their number.
func TestSilentServerIsCheckedRarely(t *testing.T) {
	runEndWatcher(t, func(w *endWatcher) {
		for range 400 {
			w.ReportNoAnswer(t.Context(), w.attempt("lookup", true))
			time.Sleep(5 * time.Millisecond)
		}
		if n, most := w.checks.Load(), int64(2*time.Second/minCheckPause+1); n > most {
			t.Errorf("%d checks in 2 s, %d allowed", n, most)
		}
		time.Sleep(2 * watchTime)
		before := w.checks.Load()
		time.Sleep(time.Minute)
		if n := w.checks.Load() - before; n != 0 {
			t.Errorf("%d checks after the last attempt was too old", n)
		}
	})
}

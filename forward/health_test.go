package forward

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselgate/standin/backend"
)

// askAll sends requests one after the other with a pause between them and returns how many were answered whole.
func (w *world) askAll(n int, pause time.Duration, request func(id string) ask) int {
	served := 0
	for range n {
		w.sent++
		got := w.ask(request(fmt.Sprintf("r%d", w.sent)))
		if got.Code == http.StatusOK && !got.broken {
			served++
		}
		pass(pause)
	}
	return served
}

// arrivals returns how many requests a server saw, prompts to compute not counted.
func arrivals(s *backend.Server) int {
	n := 0
	for _, seen := range s.Seen() {
		if !seen.Prefill {
			n++
		}
	}
	return n
}

// Replays engines that give no reports although they work: the work itself shows it, and they keep a share.
func TestWorkingEnginesWithoutReportsAreUsed(t *testing.T) {
	inWorld(t, func(w *world) {
		all(w.prefill, backend.Faults{NoReport: true})
		w.decode[0].SetFaults(backend.Faults{NoReport: true})
		pass(5 * time.Second)
		var sending sync.WaitGroup
		for n := range 60 {
			sending.Go(func() {
				if got := w.ask(draft(fmt.Sprint("n", n))); got.Code != http.StatusOK {
					t.Errorf("unexpected status %d", got.Code)
				}
			})
			pass(150 * time.Millisecond)
		}
		sending.Wait()
		if got := arrivals(w.decode[0]); got < 15 {
			t.Errorf("unexpected %d of 60 streams at the engine that gives no reports", got)
		}
	})
}

// Replays engines whose reports are good while every request to them fails.
func TestReportsDoNotHideFailures(t *testing.T) {
	inWorld(t, func(w *world) {
		w.decode[0].SetFaults(backend.Faults{Fail: true})
		w.askAll(40, 100*time.Millisecond, draft)
		if got := arrivals(w.decode[0]); got > 12 {
			t.Errorf("unexpected %d of 40 streams at the engine that fails them all", got)
		}
	})
}

// Replays an engine that generates at a fifth of the others' rate.
func TestSlowEnginesGetLess(t *testing.T) {
	inWorld(t, func(w *world) {
		w.decode[0].Step = 5 * w.decode[1].Step
		w.askAll(40, 50*time.Millisecond, draft)
		if got := arrivals(w.decode[0]); got > 10 {
			t.Errorf("unexpected %d of 40 streams at the slow engine", got)
		}
	})
}

// Replays a plain server that goes down and up every two seconds: callers are served all the time, it is not left out
// for good, and it never gets most of the requests.
func TestServersThatGoDownAndUpAreUsedByTheWay(t *testing.T) {
	inWorld(t, func(w *world) {
		at := w.addressOf(w.plain[0])
		served := 0
		for n := range 10 {
			w.setDown(at, n%2 == 1)
			served += w.askAll(20, 100*time.Millisecond, status)
		}
		if served < 200 {
			t.Errorf("unexpected %d of 200 requests served while one of three servers goes down and up", served)
		}
		before := arrivals(w.plain[0])
		w.setDown(at, false)
		w.askAll(200, 100*time.Millisecond, status)
		if got := arrivals(w.plain[0]) - before; got < 20 {
			t.Errorf("unexpected %d of 200 requests at the server that is up again", got)
		}
	})
}

// Replays servers that close idle connections long before the time that they state: an order, which may not be
// repeated, is never lost on a connection that has ended.
func TestConnectionsThatEndEarlyLoseNoOrder(t *testing.T) {
	inWorld(t, func(w *world) {
		for _, s := range w.plain {
			s.Idle, s.Told = 300*time.Millisecond, 10*time.Second
		}
		if served := w.askAll(60, 310*time.Millisecond, order); served < 60 {
			t.Errorf("unexpected %d of 60 orders served", served)
		}
	})
}

// Replays servers that answer twice: the second answer is no other request's.
func TestASecondAnswerIsDropped(t *testing.T) {
	inWorld(t, func(w *world) {
		all(w.plain, backend.Faults{Double: true})
		for n := range 40 {
			id := fmt.Sprint("d", n)
			got := w.ask(status(id))
			if got.Code == http.StatusOK && got.Body.String() != "whole answer of "+id {
				t.Errorf("%s got %q", id, got.Body)
			}
		}
	})
}

// Replays servers whose answers come after the time of an attempt: a request that may be repeated is served by another
// server, and the late answer reaches nobody.
func TestLateAnswersReachNobody(t *testing.T) {
	inWorld(t, func(w *world) {
		w.plain[0].SetFaults(backend.Faults{Late: 450 * time.Millisecond})
		for n := range 20 {
			id := fmt.Sprint("l", n)
			got := w.ask(status(id))
			if got.Code != http.StatusOK || got.Body.String() != "whole answer of "+id {
				t.Errorf("%s got status %d, %q; %v", id, got.Code, got.Body, w.story(id))
			}
		}
	})
}

// Replays an engine that changes its stage: it rejects requests meanwhile, which go elsewhere.
func TestRequestsPassAnEngineThatChangesItsStage(t *testing.T) {
	inWorld(t, func(w *world) {
		w.decode[0].Order = 2 * time.Second
		if status := w.order(t, w.decode[0], "prefill", 7); status != http.StatusAccepted {
			t.Fatalf("unexpected status %d of an order", status)
		}
		if status := w.order(t, w.decode[0], "decode", 8); status != http.StatusConflict {
			t.Errorf("unexpected status %d of an order while another is in progress", status)
		}
		if served := w.askAll(10, 50*time.Millisecond, draft); served < 10 {
			t.Errorf("unexpected %d of 10 streams served", served)
		}
		pass(2 * time.Second)
		if status := w.order(t, w.decode[0], "decode", 6); status != http.StatusPreconditionFailed {
			t.Errorf("unexpected status %d of an order with an old fence", status)
		}
		if stage := w.decode[0].StageNow(); stage != "prefill" {
			t.Errorf("unexpected stage %q", stage)
		}
	})
}

// Replays servers that crash and start again under another identity while their entries can't change: what is sent to
// them is rejected, and after a few requests nothing is.
func TestServersThatHaveBecomeOthersAreLeftOut(t *testing.T) {
	inWorld(t, func(w *world) {
		w.plain[0].SetFaults(backend.Faults{Another: true})
		w.prefill[0].SetFaults(backend.Faults{Another: true})
		w.decode[0].SetFaults(backend.Faults{Another: true})
		if served := w.askAll(40, 50*time.Millisecond, order); served < 40 {
			t.Errorf("unexpected %d of 40 orders served", served)
		}
		if served := w.askAll(40, 50*time.Millisecond, draft); served < 40 {
			t.Errorf("unexpected %d of 40 streams served", served)
		}
		for _, s := range []*backend.Server{w.plain[0], w.prefill[0], w.decode[0]} {
			if got := len(s.Seen()); got > 12 {
				t.Errorf("unexpected %d requests at %s, which is another server now", got, s.ID)
			}
		}
	})
}

// Replays a grey server, which fails every second request while its reports are good: nearly all lookups are
// served, and most orders go to the servers that work.
func TestGreyServersGetLess(t *testing.T) {
	inWorld(t, func(w *world) {
		w.plain[0].SetFaults(backend.Faults{Fail: true, Every: 2})
		if served := w.askAll(100, 50*time.Millisecond, status); served < 100 {
			t.Errorf("unexpected %d of 100 lookups served", served)
		}
		if served := w.askAll(100, 50*time.Millisecond, order); served < 90 {
			t.Errorf("unexpected %d of 100 orders served", served)
		}
	})
}

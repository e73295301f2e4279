package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"teaselgate/standin/backend"
)

// Load and disruption of slowServer.
const (
	slowInstances = 3
	slowServers   = 7                       // one of them, 0.14 of the service, is slow at a time
	slowCallers   = 480                     // kept connections to each instance
	slowSlots     = 400                     // of a server, so that no request waits for one
	slowRounds    = 14                      // in each another server is slow
	slowWork      = 1300 * time.Millisecond // time that a request takes at a server
	slowFactor    = 5                       // times as long at a slow one
	slowFor       = 6500 * time.Millisecond // for which a server is slow
	slowBudget    = 12 * time.Second
)

// slowServer has callers on kept connections send requests without a body, while one server after the other is slow.
func slowServer(b *bed, trouble bool) (bool, error) {
	err := b.put("config", "main", manifest(
		route("r-lookup", "/lookup/", "idempotent", slowBudget, 8*time.Second),
		route("r-confirm", "/confirm/", "non_idempotent", slowBudget, 8*time.Second),
	))
	if err != nil {
		return false, err
	}
	servers := make([]*backend.Server, slowServers)
	for n := range servers {
		servers[n] = &backend.Server{
			ID: fmt.Sprintf("i-7f3a91c%d", n), Slots: slowSlots, QueueLimit: 100, ServiceTime: slowWork,
		}
		if err := b.addServer(plainName, "", servers[n]); err != nil {
			return false, err
		}
	}
	if err := b.startInstances(slowInstances); err != nil {
		return false, err
	}
	var callers []*caller
	for _, i := range b.instances {
		for range slowCallers {
			c, err := connect(i.front)
			if err != nil {
				return false, err
			}
			callers = append(callers, c)
		}
	}
	cut := make([]int, slowInstances)
	for round := range slowRounds {
		slow := servers[round%slowServers]
		if trouble {
			b.record.printf("round %d: %s takes %d times as long for %v", round, slow.ID, slowFactor, slowFor)
			slow.SetFaults(backend.Faults{ResponseDelay: (slowFactor - 1) * slowWork})
			time.AfterFunc(slowFor, func() { slow.SetFaults(backend.Faults{}) })
		}
		calls := sendRound(round, callers)
		b.countCut(round, servers, calls, cut)
	}
	b.record.printf("%v requests, by instance, were passed on to a server and got no answer before the connection was closed", cut)
	return slices.Max(cut) > maxCutKept, nil
}

// sendRound sends a request on each connection and returns when all have ended. Every second one may run only once.
func sendRound(round int, callers []*caller) []*call {
	calls := make([]*call, len(callers))
	var waiting sync.WaitGroup
	for n, c := range callers {
		if c == nil {
			continue
		}
		waiting.Go(func() {
			method, target := http.MethodGet, "/lookup/2f"
			if n%2 == 1 {
				method, target = http.MethodPost, "/confirm/2f"
			}
			out, err := c.send(method, target, fmt.Sprintf("9c41d07be2%02x%04x", round, n), slowBudget, "", "")
			calls[n] = out
			if err != nil {
				out.err, out.ended = err, time.Now()
			} else {
				c.receive(out, method, out.sent.Add(slowBudget))
			}
			if out.err != nil {
				c.conn.Close()
				callers[n] = nil
			}
		})
	}
	waiting.Wait()
	return calls
}

// countCut adds the calls of a round that reached a server and whose connection was closed without an answer, with time
// left, to the counts by instance.
func (b *bed) countCut(round int, servers []*backend.Server, calls []*call, cut []int) {
	runs := make(map[string]string)
	for _, s := range servers {
		for _, request := range s.Received() {
			if request.Ran {
				runs[request.ID] = s.ID
			}
		}
	}
	sent, answered, longest := 0, 0, time.Duration(0)
	for n, c := range calls {
		if c == nil {
			continue
		}
		sent++
		if c.err == nil {
			answered++
			longest = max(longest, c.took())
			continue
		}
		server, ran := runs[c.id]
		isCut := round > 0 && ran && c.wasCut() && c.status == 0 && c.took() < slowBudget // kept since an earlier answer
		if isCut {
			cut[n/slowCallers]++
		}
		b.record.printf("%v; run at %q; cut: %v", c, server, isCut)
	}
	b.record.printf("round %d: %d sent, %d answered, the last after %.3f s, %v cut so far", round, sent, answered, longest.Seconds(), cut)
}

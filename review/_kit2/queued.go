package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"teaselgate/standin/backend"
)

// Load of queuedAtStop.
const (
	queuedBudget = 14 * time.Second       // of the callers, and timeoutMs of the route
	queuedTarget = 2 * time.Second        // targetLatencyMs of the route
	queuedSlots  = 2                      // of each engine
	queuedEvery  = 125 * time.Millisecond // between two events of a stream
	queuedEvents = 74                     // of a stream
	queuedLead   = 500 * time.Millisecond // from the requests that take all slots to the SIGTERM
	queuedDelay  = 1600 * time.Millisecond
	queuedGap    = 200 * time.Millisecond // between two of the requests that wait
	queuedLate   = 4                      // number of these
)

// queuedAtStop stops an instance, which then reads requests that have to wait for room at the engines.
func queuedAtStop(b *bed, trouble bool) (bool, error) {
	r := route("r-digest", "/digest/", "streaming", queuedBudget, queuedTarget)
	r["service"], r["sticky"], r["gapAimMs"] = modelName, true, 300
	if err := b.put("config", "main", manifest(r)); err != nil {
		return false, err
	}
	engine := func(id string) *backend.Server {
		return &backend.Server{
			ID: id, Slots: queuedSlots, QueueLimit: 2, KVTokens: 32546, PrefillRate: 33333, EventInterval: queuedEvery,
			StreamEvents: queuedEvents, HandleLifetime: 500 * time.Millisecond, ReportInterval: 200 * time.Millisecond,
			StageChangeTime: 6 * time.Second,
		}
	}
	prefill, decode := engine("i-02d9e6b4"), engine("i-7f3a91c2")
	if err := b.addServer(modelName, "prefill", prefill); err != nil {
		return false, err
	}
	if err := b.addServer(modelName, "decode", decode); err != nil {
		return false, err
	}
	if err := b.startInstances(2); err != nil {
		return false, err
	}
	stopped := b.instances[0]
	var calls []*call
	var waiting sync.WaitGroup
	send := func() error {
		c, err := connect(stopped.front)
		if err != nil {
			return err
		}
		id := fmt.Sprintf("9c41d07be2a3%04x", len(calls))
		headers := "Model-Name: m\r\nToken-Count: 1460,80\r\nLength-Hint: 74\r\nPrompt-Prefix: 5c1e07a2:800," + id + ":660\r\n"
		out, err := c.send(http.MethodPost, "/digest/2f", id, queuedBudget, headers, "the thread")
		if err != nil {
			return err
		}
		b.record.printf("%s was sent to %s", id, stopped.name)
		calls = append(calls, out)
		waiting.Go(func() {
			defer c.conn.Close()
			c.receive(out, http.MethodPost, out.sent.Add(queuedBudget))
		})
		return nil
	}
	for range queuedSlots {
		if err := send(); err != nil {
			return false, err
		}
	}
	time.Sleep(queuedLead)
	stop := time.Now()
	if trouble {
		if err := b.signal(stopped, syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	time.Sleep(queuedDelay)
	for range queuedLate {
		if err := send(); err != nil {
			return false, err
		}
		time.Sleep(queuedGap)
	}
	waiting.Wait()
	lost := 0
	for _, c := range calls {
		reached := prefill.Runs(c.id) + decode.Runs(c.id)
		isLost := c.wasCut() && reached == 0 && c.took() > lossSlack && c.ended.Before(stop.Add(graceTime+time.Second))
		if isLost {
			lost++
		}
		b.record.printf("%v; %d runs at engines; lost: %v", c, reached, isLost)
	}
	b.record.printf("%d requests were read whole, reached no engine and got no answer", lost)
	return lost > 0, nil
}

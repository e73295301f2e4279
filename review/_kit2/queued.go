package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"teaselgate/standin/backend"
)

// queuedAtStop stops an instance while requests that it has read wait for room at the engines.
func queuedAtStop(b *bed, trouble bool) (bool, error) {
	const (
		budget   = 30 * time.Second
		target   = 3 * time.Second
		requests = 8
	)
	r := route("r-digest", "/digest/", "streaming", budget, target)
	r["service"], r["sticky"], r["gapAimMs"] = modelName, true, 300
	if err := b.put("config", "main", manifest(r)); err != nil {
		return false, err
	}
	engine := func(id string) *backend.Server {
		return &backend.Server{
			ID: id, Slots: 2, QueueLimit: 2, KVTokens: 32546, PrefillRate: 33333, EventInterval: 40 * time.Millisecond,
			StreamEvents: 74, HandleLifetime: 500 * time.Millisecond, ReportInterval: 200 * time.Millisecond,
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
	calls := make([]*call, requests)
	var waiting sync.WaitGroup
	for n := range calls {
		c, err := connect(stopped.front, 0)
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("9c41d07be2a3%04x", n)
		headers := "Model-Name: m\r\nToken-Count: 1460,80\r\nLength-Hint: 74\r\nPrompt-Prefix: 5c1e07a2:800," + id + ":660\r\n"
		out, err := c.send(http.MethodPost, "/digest/2f", id, budget, headers, "the thread")
		if err != nil {
			return false, err
		}
		b.record.printf("%s was sent to %s", id, stopped.name)
		calls[n] = out
		waiting.Go(func() {
			defer c.conn.Close()
			c.receive(out, http.MethodPost, time.Now().Add(budget))
		})
	}
	time.Sleep(500 * time.Millisecond)
	stop := time.Now()
	if trouble {
		if err := b.signal(stopped, syscall.SIGTERM); err != nil {
			return false, err
		}
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

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"teaselgate/standin/backend"
)

// slowCaller has callers on kept connections read nothing of their answers for some seconds, after a reload of the
// settings.
func slowCaller(b *bed, trouble bool) (bool, error) {
	const (
		budget        = 14 * time.Second
		pause         = 6 * time.Second
		callers       = 8
		answerBytes   = 48_000
		receiveBuffer = 4096
	)
	if err := b.put("config", "main", manifest(route("r-order", "/order/", "non_idempotent", budget, time.Second))); err != nil {
		return false, err
	}
	server := &backend.Server{ID: "i-7f3a91c2", Slots: 6, QueueLimit: 24, ServiceTime: 15 * time.Millisecond}
	if err := b.addServer(plainName, "", server); err != nil {
		return false, err
	}
	if err := b.startInstances(1); err != nil {
		return false, err
	}
	connections := make([]*caller, callers)
	for n := range connections {
		c, err := connect(b.instances[0].front, receiveBuffer)
		if err != nil {
			return false, err
		}
		defer c.conn.Close()
		first, err := c.send(http.MethodPost, "/order/2f", fmt.Sprintf("1c41d07be2a3%04x", n), budget, "", "one lamb")
		if err != nil {
			return false, err
		}
		if c.receive(first, http.MethodPost, time.Now().Add(budget)); first.err != nil {
			return false, fmt.Errorf("the first request on a connection: %v", first)
		}
		connections[n] = c
	}
	server.SetFaults(backend.Faults{LongBody: answerBytes})
	if err := b.signal(b.instances[0], syscall.SIGHUP); err != nil {
		return false, err
	}
	calls := make([]*call, callers)
	var waiting sync.WaitGroup
	for n, c := range connections {
		out, err := c.send(http.MethodPost, "/order/2f", fmt.Sprintf("9c41d07be2a3%04x", n), budget, "", "two lambs")
		if err != nil {
			return false, err
		}
		calls[n] = out
		waiting.Go(func() {
			if trouble {
				time.Sleep(pause)
			}
			c.receive(out, http.MethodPost, out.sent.Add(budget))
		})
	}
	waiting.Wait()
	lost := 0
	for _, c := range calls {
		ran := server.Runs(c.id)
		isLost := c.wasCut() && ran > 0
		if isLost {
			lost++
		}
		b.record.printf("%v; run %d times; lost: %v", c, ran, isLost)
	}
	b.record.printf("%d requests were run, and their connections were cut before their answers were whole", lost)
	return lost > maxCutKept, nil
}

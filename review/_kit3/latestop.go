package main

import (
	"bufio"
	"sync"
	"syscall"
	"time"
)

const (
	lateFrom  = 3 * time.Second // the rule excuses streams that were sent no later than this after the SIGTERM
	graceTime = 8 * time.Second
)

// lateStop stops an instance by SIGTERM. Clients have opened channels to it within the first second, while the platform still
// sends it clients, and send their first request on them some seconds later. Without the trouble there is no SIGTERM.
func lateStop(r *record, trouble bool) (bool, error) {
	const budget = 14 * time.Second
	events, interval := 75, 96*time.Millisecond // a stream of 600 tokens in events of 8, at 12 ms a token
	b, err := newBed(r, []*replica{
		{id: "i-p1", service: modelService, zone: "a", stage: "prefill"},
		{id: "i-p2", service: modelService, zone: "b", stage: "prefill"},
		{id: "i-d1", service: modelService, zone: "a", stage: "decode", events: events, interval: interval},
		{id: "i-d2", service: modelService, zone: "b", stage: "decode", events: events, interval: interval},
	}, map[string]any{
		"version": 7, "routes": []any{streamRoute()}, "services": []any{modelEntry(32546, 18432)}, "limits": clientLimits(),
		"tenants": oneTenant(),
	})
	if err != nil {
		return false, err
	}
	defer b.close()
	if err := b.startInstances(3, true); err != nil {
		return false, err
	}
	warmUp(b, budget)
	target, began := b.instances[1], time.Now()
	if trouble {
		target.signal(syscall.SIGTERM)
		r.say("SIGTERM to %s", target.name)
	}
	all, err := sendLate(b, target, began, budget)
	if err != nil {
		return false, err
	}
	lost := 0
	for _, s := range b.replicas {
		for _, run := range s.all() {
			a, late := all[run.id]
			sent, ended := a.sent.Sub(began), a.finished.Sub(began)
			if !late || a.whole || trouble && (sent <= lateFrom || ended > graceTime+time.Second) {
				continue
			}
			lost++
			r.say("LOST: %s was sent %.3f s after the SIGTERM and passed on to %s; its channel ended at %.3f s without a complete answer",
				run.id, sent.Seconds(), s.id, ended.Seconds())
		}
	}
	return lost > 0, nil
}

// warmUp sends whole streams to all instances, so that they know the pace of the replicas. It takes longer than contactMs.
func warmUp(b *bed, budget time.Duration) {
	var streams sync.WaitGroup
	for _, in := range b.instances {
		for range 2 {
			streams.Go(func() {
				conn, err := dial(in.front)
				if err != nil {
					return
				}
				defer conn.Close()
				a := send(conn, bufio.NewReader(conn), streamHead(newAttemptID(), 1460, budget), budget)
				b.record.add("a stream before the stop: status %d, whole %v, %d bytes, %v", a.status, a.whole, len(a.body), a.err)
			})
		}
	}
	streams.Wait()
}

// sendLate opens channels to an instance within the first second and sends a request on each some seconds later. It returns the
// answers by id.
func sendLate(b *bed, target *instance, began time.Time, budget time.Duration) (map[string]answer, error) {
	r := b.record
	var mu sync.Mutex
	all := make(map[string]answer)
	var clients sync.WaitGroup
	for n := range 8 {
		opens := began.Add(time.Duration(500+50*n) * time.Millisecond)
		sends := began.Add(time.Duration(3030+10*n) * time.Millisecond)
		clients.Go(func() {
			time.Sleep(time.Until(opens))
			id := newAttemptID()
			conn, err := dial(target.front)
			if err != nil {
				r.add("client %s gets no channel: %v", id, err)
				return
			}
			defer conn.Close()
			r.add("client %s has opened its channel", id)
			time.Sleep(time.Until(sends))
			r.add("client %s sends %.3f s after the SIGTERM", id, time.Since(began).Seconds())
			a := send(conn, bufio.NewReader(conn), streamHead(id, 1460, budget), budget)
			r.add("client %s: status %d, whole %v, %d bytes, sealed %v, %v", id, a.status, a.whole, len(a.body), a.sealed, a.err)
			mu.Lock()
			defer mu.Unlock()
			all[id] = a
		})
	}
	clients.Wait()
	if len(all) == 0 {
		return nil, errCannotRun
	}
	return all, nil
}

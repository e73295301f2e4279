package main

import (
	"bufio"
	"net/http"
	"time"
)

// Figures of a site like caroni-recovery.
const (
	caroniKVTokens   = 106_421
	caroniTokenBytes = 35_136
	caroniReads      = 43 // prompt tokens in a ms: 55.5, at a replica that is 1.3 times slower than others
	drainTime        = 2 * time.Second
	lingerTime       = 1500 * time.Millisecond // for which a replica serves beyond drainMs before it exits
)

// longPrompt replaces a decode replica while the prompt of a request is read: the new one starts first, then the old one reports
// that it is draining, serves for drainMs and a little longer, and exits. Without the trouble the old one stays.
func longPrompt(r *record, trouble bool) (bool, error) {
	const (
		prompt = 100_000 // tokens
		budget = 14 * time.Second
	)
	reader := &replica{id: "i-p1", service: modelService, zone: "a", stage: "prefill", reads: caroniReads, reading: make(chan struct{}, 1)}
	old := &replica{id: "i-d1", service: modelService, zone: "a", stage: "decode", events: 70, interval: 50 * time.Millisecond}
	next := &replica{id: "i-d2", service: modelService, zone: "a", stage: "decode", events: 70, interval: 50 * time.Millisecond, record: r}
	b, err := newBed(r, []*replica{reader, old}, map[string]any{
		"version": 7, "routes": []any{streamRoute()}, "services": []any{modelEntry(caroniKVTokens, caroniTokenBytes)},
		"limits": clientLimits(), "tenants": oneTenant(),
	})
	if err != nil {
		return false, err
	}
	defer b.close()
	if err := b.startInstances(3, false); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // until all machines are in touch
	conn, err := dial(b.instances[1].front)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	id, answered := newAttemptID(), make(chan answer, 1)
	r.add("client sends %s to %s", id, b.instances[1].name)
	go func() {
		answered <- send(conn, bufio.NewReader(conn), streamHead(id, prompt, budget), budget)
	}()
	var acked time.Time
	if trouble {
		<-reader.reading
		if err := next.start(); err != nil {
			return false, err
		}
		defer next.http.Close()
		if acked, err = replaceReplica(b, old, next); err != nil {
			return false, err
		}
	}
	a := <-answered
	r.say("client %s: status %d, whole %v, %d bytes, sealed %v, %v", id, a.status, a.whole, len(a.body), a.sealed, a.err)
	late := 0
	for _, run := range old.all() {
		if after := run.at.Sub(acked); trouble && after > drainTime {
			late++
			r.say("DRAIN: %s reached %s %.3f s after the ack of its leaving", run.id, old.id, after.Seconds())
		}
	}
	return late > 0, nil
}

// replaceReplica registers a new replica and has an old one leave. It returns the time of the ack of its leaving.
func replaceReplica(b *bed, old, next *replica) (time.Time, error) {
	if err := b.store.put("servers", next.id, next.entry()); err != nil {
		return time.Time{}, err
	}
	entry := old.entry()
	entry["state"] = "draining"
	if err := b.store.put("servers", old.id, entry); err != nil {
		return time.Time{}, err
	}
	acked := time.Now()
	b.record.say("%s has started, and the store acknowledges that %s is draining", next.id, old.id)
	go func() {
		time.Sleep(time.Until(acked.Add(drainTime + lingerTime)))
		status, err := b.store.call(http.MethodDelete, "/-/objects/servers/"+old.id, nil)
		b.record.add("replica %s exits; its entry is removed: %d, %v", old.id, status, err)
		old.http.Close()
	}()
	return acked, nil
}

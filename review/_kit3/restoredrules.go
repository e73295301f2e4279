package main

import (
	"bufio"
	"fmt"
	"time"
)

// restoredRules has the store come back from a copy that is some seconds old and lacks two changes of the rules. The operator
// writes them again, by one change, and then withdraws a key. Without the trouble the store is not restored.
func restoredRules(r *record, trouble bool) (bool, error) {
	const (
		apply   = 2 * time.Second // configApplyMs
		pool    = "order-service"
		keptKey = "9hf2mzq4w1kd8c7pv5tx"
	)
	s := &replica{id: "o0", service: pool, zone: "a", work: 5 * time.Millisecond}
	b, err := newOwnBed(r, s)
	if err != nil {
		return false, err
	}
	defer b.close()
	rules := &ownRules{}
	rules.add("fleet: example, shards: 16")
	rules.add("pool: %s, duty: plain, slots: 64", pool)
	rules.add("route: orders, path: /pule252, pool: %s, calls: once, open: no, class: order", pool)
	rules.add("account: %s, rate: 46550, burst: 232750, weight: 3", tenantName)
	rules.add("key: %q, account: %s", keyHash(apiKey), tenantName)
	rules.add("key: %q, account: %s", keyHash(keptKey), tenantName)
	rules.add("server: %s, pool: %s, zone: a, at: %q, state: live", s.id, pool, s.address)
	change := func(what string) error {
		out, err := rules.apply(b.folder, b.store.address)
		r.say("the operator %s: %s", what, out)
		return err
	}
	if err := change("writes the rules"); err != nil {
		return false, err
	}
	if err := b.startOwnInstances(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	copied := b.store.Backup()
	rules.add("route: more, path: /more, pool: %s, calls: once, open: no, class: order", pool)
	if err := change("adds a route"); err != nil {
		return false, err
	}
	rules.add("account: second, rate: 46550, burst: 232750, weight: 3")
	if err := change("adds an account"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		b.store.Restore(copied)
		r.say("the store comes back from a copy that is 2 s old")
		time.Sleep(2 * time.Second)
		if err := change("writes again what was lost"); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	rules = rules.without(keyHash(apiKey))
	if err := change("withdraws a key"); err != nil {
		return false, err
	}
	acked := time.Now()
	time.Sleep(apply + 500*time.Millisecond)
	stale, sound := 0, 0
	for n := range 30 {
		in := b.instances[n%3]
		for _, key := range []string{apiKey, keptKey} {
			conn, err := dial(in.front)
			if err != nil {
				return false, err
			}
			id := newAttemptID()
			head := fmt.Sprintf("POST /pule252 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
				hostName, id, key)
			a := send(conn, bufio.NewReader(conn), head, 2*time.Second)
			conn.Close()
			after := a.sent.Sub(acked).Seconds()
			r.add("client %s sends to %s %.3f s after the ack, with the withdrawn key %v: status %d, %v", id, in.name, after, key == apiKey,
				a.status, a.err)
			switch {
			case key == keptKey && a.status == 200:
				sound++
			case key == apiKey && a.status == 200:
				stale++
				r.add("CONFIG: %s ran with a key that was withdrawn %.3f s before", id, after)
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.say("%d of 30 requests with the withdrawn key ran, 2.5 to %.1f s after the ack; %d of 30 with the other key", stale,
		time.Since(acked).Seconds(), sound)
	if sound == 0 {
		return false, errCannotRun
	}
	return stale > 0, nil
}

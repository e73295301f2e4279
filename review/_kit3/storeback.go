package main

import (
	"bufio"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	contactTime   = 3 * time.Second // contactMs
	longestOutage = 4500 * time.Millisecond
	shortLinger   = 500 * time.Millisecond // the little longer for which the replica serves
)

// storeBack lets the store be silent for some seconds. When it has answered again for longer than contactMs, the entry of a
// replica is removed that leaves without a report; the replica serves for drainMs and a little longer, and exits. Without the
// trouble the store is never silent.
func storeBack(r *record, trouble bool) (bool, error) {
	leaves := &replica{id: "i-s2", service: plainService, zone: "b", work: 60 * time.Millisecond}
	b, err := newBed(r, []*replica{
		{id: "i-s1", service: plainService, zone: "a", work: 60 * time.Millisecond},
		leaves,
		{id: "i-s3", service: plainService, zone: "c", work: 60 * time.Millisecond},
	}, map[string]any{
		"version":  7,
		"routes":   []any{orderRoute()},
		"services": []any{plainEntry()}, "limits": clientLimits(), "tenants": oneTenant(),
	})
	if err != nil {
		return false, err
	}
	defer b.close()
	if err := b.startInstances(3, true); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	switch {
	case trouble && atRandom():
		b.store.silence.begin()
		length := 3*time.Second + rand.N(longestOutage-3*time.Second)
		time.Sleep(length)
		b.store.silence.end()
		r.say("the store answers again after %.3f s", length.Seconds())
	case trouble:
		b.fallSilent()
	}
	back := time.Now()
	time.Sleep(contactTime + 50*time.Millisecond)
	stop := b.sendSteadily()
	switch {
	case trouble && atRandom():
		time.Sleep(rand.N(time.Second))
	case trouble:
		b.awaitPolls()
	}
	status, err := b.store.call(http.MethodDelete, "/-/objects/servers/"+leaves.id, nil)
	if err != nil || status != http.StatusOK {
		return false, errCannotRun
	}
	acked := time.Now()
	r.say("the store acknowledges that the entry of %s is removed, %.3f s after the store was back", leaves.id, acked.Sub(back).Seconds())
	time.Sleep(time.Until(acked.Add(drainTime + shortLinger)))
	leaves.http.Close()
	r.say("%s exits %.3f s after the ack", leaves.id, time.Since(acked).Seconds())
	time.Sleep(time.Second)
	return b.countLate(leaves, acked, stop()), nil
}

// atRandom reports whether the times of the silence's end and of the removal are drawn, instead of set by the calls that the
// store gets.
func atRandom() bool { return os.Getenv("TIMES") == "random" }

// countLate reports whether requests have reached a replica later than drainMs after the ack of its leaving.
func (b *bed) countLate(leaves *replica, acked time.Time, answers map[string]answer) bool {
	late, lost, last := 0, 0, time.Duration(0)
	for _, run := range leaves.all() {
		after := run.at.Sub(acked)
		last = max(last, after)
		if after <= drainTime {
			continue
		}
		late++
		b.record.add("DRAIN: %s reached %s %.3f s after the ack", run.id, leaves.id, after.Seconds())
		if answers[run.id].status != http.StatusOK {
			lost++
			b.record.add("%s was answered with status %d", run.id, answers[run.id].status)
		}
	}
	b.record.say("the last request reached %s %.3f s after the ack; %d came later than drainMs, of which %d were lost when it exited",
		leaves.id, last.Seconds(), late, lost)
	return late > 0
}

// fallSilent makes the store silent until the two instances that read it regularly have asked it for a second time.
func (b *bed) fallSilent() {
	b.awaitPolls()
	began := time.Now()
	b.store.silence.begin()
	b.record.say("the store is silent")
	for time.Since(began) < longestOutage-100*time.Millisecond &&
		(time.Since(began) < 2*time.Second || b.store.silence.pollsSince(time.Now().Add(-pollGap)) < 2) {
		time.Sleep(5 * time.Millisecond)
	}
	b.store.silence.end()
	b.record.say("the store answers again after %.3f s", time.Since(began).Seconds())
}

// pollGap is the longest time between the calls of the two instances that read the store regularly.
const pollGap = 400 * time.Millisecond

// awaitPolls waits until both have just asked for the store's newest version.
func (b *bed) awaitPolls() {
	began := time.Now()
	for b.store.silence.pollsSince(began) == 0 || b.store.silence.pollsSince(time.Now().Add(-pollGap)) < 2 {
		if time.Since(began) > 3*time.Second {
			return
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
}

// sendSteadily sends requests to all instances until the returned function is called, which returns the answers by id.
func (b *bed) sendSteadily() (stop func() map[string]answer) {
	done := make(chan struct{})
	answers := make(map[string]answer)
	var mu sync.Mutex
	var clients sync.WaitGroup
	for _, in := range b.instances {
		for range 2 {
			clients.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(10 * time.Millisecond):
					}
					conn, err := dial(in.front)
					if err != nil {
						continue
					}
					id := newAttemptID()
					b.record.add("client sends %s to %s", id, in.name)
					a := send(conn, bufio.NewReader(conn), plainHead("POST", "/pule252/2f", id, 600*time.Millisecond), time.Second)
					b.record.add("client %s: status %d, whole %v, %v", id, a.status, a.whole, a.err)
					conn.Close()
					mu.Lock()
					answers[id] = a
					mu.Unlock()
				}
			})
		}
	}
	return func() map[string]answer {
		close(done)
		clients.Wait()
		return answers
	}
}

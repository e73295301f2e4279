package main

import (
	"net/http"
	"time"
)

const (
	checkInTime = 1200 * time.Millisecond // heartbeatMs
	longLinger  = 2300 * time.Millisecond // for which the replica serves beyond drainMs
)

// foreignEntry has a replica leave, and another writer write an entry with missing fields under the replica's id between
// two check-ins of the replica, which still serves. Without the trouble nobody else writes the entry.
func foreignEntry(r *record, trouble bool) (bool, error) {
	leaves := &replica{id: "i-s2", service: plainService, zone: "b", work: 60 * time.Millisecond}
	b, err := newBed(r, []*replica{
		{id: "i-s1", service: plainService, zone: "a", work: 60 * time.Millisecond},
		leaves,
		{id: "i-s3", service: plainService, zone: "c", work: 60 * time.Millisecond},
	}, map[string]any{
		"version": 7, "routes": []any{orderRoute()}, "services": []any{plainEntry()}, "limits": clientLimits(),
		"tenants": oneTenant(),
	})
	if err != nil {
		return false, err
	}
	defer b.close()
	if err := b.startInstances(3, true); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // until all machines are in touch
	stop := b.sendSteadily()
	own := leaves.entry()
	own["state"] = "draining"
	if err := b.store.put("servers", leaves.id, own); err != nil {
		return false, err
	}
	acked := time.Now()
	r.say("the store acknowledges that %s is draining", leaves.id)
	for n := 1; n <= 3; n++ { // its check-ins; the fourth would be due after its exit
		time.Sleep(time.Until(acked.Add(time.Duration(n) * checkInTime)))
		if err := b.store.put("servers", leaves.id, own); err != nil {
			return false, err
		}
	}
	if trouble {
		// The fields version, slots, coldLeftMs, sequence and born are missing.
		foreign := map[string]any{"service": leaves.service, "address": leaves.address, "zone": leaves.zone, "state": "ready"}
		if err := b.store.put("servers", leaves.id, foreign); err != nil {
			return false, err
		}
		r.say("another writer writes an entry without slots under the id of %s, %.3f s after the ack", leaves.id, time.Since(acked).Seconds())
	}
	time.Sleep(time.Until(acked.Add(drainTime + longLinger)))
	if status, err := b.store.call(http.MethodDelete, "/-/objects/servers/"+leaves.id, nil); err != nil || status != http.StatusOK {
		return false, errCannotRun
	}
	leaves.http.Close()
	r.say("%s exits %.3f s after the ack", leaves.id, time.Since(acked).Seconds())
	time.Sleep(time.Second)
	return b.countLate(leaves, acked, stop()), nil
}

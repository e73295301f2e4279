package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"teaselgate/platform"
	"teaselgate/standin/caller"
)

// Evacuations during a run, and the times within which instances must obey them.
const (
	evacuatedZone      = "b"
	zones              = 2
	evacuationLength   = 9 * time.Second
	evacuationPause    = 4 * time.Second // longest time between two evacuations
	evacuationBound    = 5 * time.Second // until no request reaches the servers of the zone
	storeDisturbedTime = 6 * time.Second // by which disturbance of the store stretches the bound
	coldTime           = 3 * time.Second // how long the plain servers of the zone are cold after that
	coldRate           = 1.0             // requests per second that such a server takes; well below what it gets otherwise
)

// zoneOf returns the availability zone of the nth backend server.
func zoneOf(n int) string { return string(rune('a' + n%zones)) }

// evacuationLog records evacuations, and the times in which the store was disturbed.
type evacuationLog struct {
	mu        sync.Mutex
	spans     []span
	disturbed []span
}

// span is a time with a beginning and an end. An end of zero means that it lasts.
type span struct{ begin, end time.Time }

func (s span) contains(at time.Time) bool {
	return !at.Before(s.begin) && (s.end.IsZero() || !at.After(s.end))
}

func (l *evacuationLog) add(to *[]span, s span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*to = append(*to, s)
}

// disturbingStore returns a fault whose time is recorded as a disturbance of the store.
func (e *environment) disturbingStore(f fault) fault {
	var began time.Time
	return fault{
		func() {
			began = time.Now()
			f.begin()
		},
		func() {
			f.end()
			e.evacuations.add(&e.evacuations.disturbed, span{began, time.Now()})
		},
	}
}

// evacuateZones evacuates a zone again and again until the context ends.
func (s *Soak) evacuateZones(ctx context.Context, env *environment) {
	random := rand.New(rand.NewPCG(s.Seed, 3))
	for ctx.Err() == nil {
		wait(ctx, time.Duration(random.Int64N(int64(evacuationPause))))
		written := context.WithoutCancel(ctx)
		if _, err := env.storeClient.Create(written, platform.EvacuationKind, evacuatedZone, struct{}{}); err != nil {
			continue // the store is down
		}
		began := time.Now()
		wait(ctx, evacuationLength)
		ended := time.Now()
		for range finalRequests { // until the store answers
			o, err := env.storeClient.Get(written, platform.EvacuationKind, evacuatedZone)
			if err == nil {
				err = env.storeClient.Delete(written, platform.EvacuationKind, evacuatedZone, o.Version)
			}
			if err == nil || !platform.IsDown(err) {
				break
			}
			wait(written, registrationInterval)
		}
		env.coolServers(written)
		env.evacuations.add(&env.evacuations.spans, span{began, ended})
	}
}

// coolServers makes the plain servers of the zone cold that have been idle during its evacuation. Their entries say so. Others
// have been in use, since a restored store had lost the evacuation and all instances had restarted.
func (e *environment) coolServers(ctx context.Context) {
	now := time.Now()
	for _, b := range e.servers {
		if b.zone == evacuatedZone && b.service == caller.PlainService && b.backend.ArrivalsSince(now.Add(-coldTime)) == 0 {
			b.backend.SetCold(coldRate, now.Add(coldTime))
			e.register(ctx, b)
		}
	}
}

// checkColdServers checks that no server crashed since it got more requests than a cold one takes.
func (c *clients) checkColdServers() {
	for _, b := range c.env.servers {
		if n := b.backend.ColdCrashes(); n > 0 {
			c.addViolation("%s crashed %d times under more requests than a cold server takes", b.backend.ID, n)
		}
	}
}

// checkEvacuations checks that servers of an evacuated zone got no requests, from instances that were not disturbed.
func (c *clients) checkEvacuations(results []result) {
	addresses := make(map[string]string, len(results))
	for _, res := range results {
		addresses[res.id] = res.address
	}
	log := &c.env.evacuations
	for _, b := range c.env.servers {
		if b.zone != evacuatedZone {
			continue
		}
		for _, r := range b.backend.Received() {
			for _, s := range log.spans {
				bound := span{s.begin.Add(evacuationBound), s.end}
				if bound.contains(r.ReceivedAt) && !c.env.isDisturbed(addresses[r.ID], r.ReceivedAt) && !log.storeDisturbed(r.ReceivedAt) {
					c.addViolation("%s reached %s %v after the evacuation of its zone", r.ID, b.backend.ID, r.ReceivedAt.Sub(s.begin))
				}
			}
		}
	}
}

// storeDisturbed reports whether the store was disturbed at a time or shortly before.
func (l *evacuationLog) storeDisturbed(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.disturbed {
		if !at.Before(s.begin) && !at.After(s.end.Add(storeDisturbedTime)) {
			return true
		}
	}
	return false
}

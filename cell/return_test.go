package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"teaselgate/promise"
	"teaselgate/rule"
)

// replayedRequest is a caller's request in a replay of arrivals at a cell.
type replayedRequest struct {
	PlaceRequest
	at      instant // arrival of the current attempt
	first   instant // arrival of the first attempt
	returns int     // attempts after a refusal
	early   bool    // the caller returns earlier than told
	asTold  bool    // it came back at the time that it was told
}

// replay is a replay of arrivals at a core without a network: streams end serviceTime after their placement, and refused
// callers return once, as told or earlier.
type replay struct {
	core        *Core
	serviceTime time.Duration
	arrivals    []replayedRequest
	placed      []replayedRequest
	refused     []replayedRequest // for good
	onTime      map[int]int       // placements within the target of the first attempt, by rank
}

func (r *replay) run(until instant) {
	waiting := make(map[string]replayedRequest)
	ends := make(map[string]instant)
	r.onTime = make(map[int]int)
	for now := clockStart; now.Before(until); now = now.Add(decideInterval) {
		slices.SortStableFunc(r.arrivals, func(a, b replayedRequest) int { return int(a.at - b.at) })
		for len(r.arrivals) > 0 && !r.arrivals[0].at.After(now) {
			a := r.arrivals[0]
			r.arrivals = r.arrivals[1:]
			waiting[a.Key] = a
			r.core.Submit(now, a.PlaceRequest)
		}
		for key, end := range ends {
			if now.After(end) {
				delete(ends, key)
				r.core.Release(now, key, Report{})
			}
		}
		for _, d := range r.core.Decide(now) {
			r.decide(now, waiting[d.Key], d, ends)
		}
	}
}

func (r *replay) decide(now instant, a replayedRequest, d Decision, ends map[string]instant) {
	switch {
	case d.Err == nil:
		ends[d.Key] = now.Add(r.serviceTime)
		r.placed = append(r.placed, a)
		if now.Sub(a.first) < a.First {
			r.onTime[a.Rank]++
		}
	case a.returns > 0:
		r.refused = append(r.refused, a)
	default:
		a.returns++
		a.asTold = !a.early && d.RetryIn <= a.ReturnWithin
		if a.early {
			d.RetryIn /= 4
		}
		a.at = now.Add(min(d.RetryIn, a.ReturnWithin))
		a.Left -= a.at.Sub(now)
		a.Key += "-again"
		r.arrivals = append(r.arrivals, a)
	}
}

// burstReplay returns a replay of a burst of three seconds of 2.5 times what a cell can serve, between base loads of .7 times
// that. One request in ten is urgent. The others have an aim, and wait up to three times that when they are late.
func burstReplay(seed uint64, aim time.Duration) *replay {
	random := rand.New(rand.NewPCG(seed, 0))
	r := &replay{serviceTime: time.Second}
	const decodes, slots = 6, 5
	r.core = NewCore(clockStart)
	r.core.SetServers(clockStart, servers("p", 8), servers("d", decodes), rule.Pool{Slots: slots, Pieces: 5000, Block: 16, Strict: true},
		Targets{800 * time.Millisecond, 50 * time.Millisecond, 2400 * time.Millisecond})
	for _, s := range servers("d", decodes) {
		r.core.RecordHeld(clockStart, s.Server, nil)
	}
	at := clockStart.Add(time.Second)
	for n := 0; at.Before(clockStart.Add(14 * time.Second)); n++ {
		load := 0.7
		if since := at.Sub(clockStart); since > 3*time.Second && since < 6*time.Second {
			load = 2.5
		}
		at = at.Add(time.Duration(random.ExpFloat64() / (load * decodes * slots) * float64(time.Second)))
		a := replayedRequest{at: at, first: at, PlaceRequest: PlaceRequest{
			Key: fmt.Sprint(n), Account: fmt.Sprint("a", random.IntN(5)), Weight: 1, Class: rule.ClassPatient,
			PromptTokens: 500 + random.IntN(1500), MaxTokens: 100, Left: 14 * time.Second,
			Rank: 2, First: aim, MaxWait: 3 * aim,
			Ordered: true, Return: fmt.Sprint("r", n), ReturnWithin: 4600 * time.Millisecond,
		}}
		if n%10 == 0 {
			a.Rank, a.First, a.MaxWait = 0, 800*time.Millisecond, 2400*time.Millisecond
		}
		r.arrivals = append(r.arrivals, a)
	}
	return r
}

// In a burst, refused callers that return as told must be served: they have one more try, and those that were told nothing true
// come back into the same wall.
func TestCallersThatReturnAsToldAreServed(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		r := burstReplay(seed, 900*time.Millisecond)
		r.run(clockStart.Add(30 * time.Second))
		served, turnedAway := 0, 0
		for _, a := range r.placed {
			if a.asTold {
				served++
			}
		}
		for _, a := range r.refused {
			if a.asTold {
				turnedAway++
			}
		}
		t.Logf("seed %d: %d of %d that returned were served", seed, served, served+turnedAway)
		if served+turnedAway == 0 || float64(served) < 0.9*float64(served+turnedAway) {
			t.Errorf("seed %d: %d of %d callers that returned as told were served, fewer than 9 in 10", seed, served, served+turnedAway)
		}
	}
}

// A caller that returns before its time must have no advantage over one that returns as told.
func TestCallersThatReturnEarlyHaveNoAdvantage(t *testing.T) {
	early, told := [2]int{}, [2]int{} // served, returned
	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		r := burstReplay(seed, 900*time.Millisecond)
		for n := range r.arrivals {
			r.arrivals[n].early = n%2 == 0
		}
		r.run(clockStart.Add(30 * time.Second))
		count := func(requests []replayedRequest, served int) {
			for _, a := range requests {
				if a.returns > 0 && a.early {
					early[0] += served
					early[1]++
				} else if a.asTold {
					told[0] += served
					told[1]++
				}
			}
		}
		count(r.placed, 1)
		count(r.refused, 0)
	}
	t.Logf("served of those that returned early %v, as told %v", early, told)
	if early[1] == 0 || told[1] == 0 || early[0]*told[1] > told[0]*early[1] {
		t.Errorf("of those that returned early %v were served, of those that returned as told %v", early, told)
	}
}

// Urgent requests must be on time in a burst while many less urgent ones are served.
func TestUrgentRequestsAreOnTimeInABurst(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		r := burstReplay(seed, 2*time.Second)
		urgent, all := 0, len(r.arrivals)
		for _, a := range r.arrivals {
			if a.Rank == 0 {
				urgent++
			}
		}
		r.run(clockStart.Add(30 * time.Second))
		if share := float64(r.onTime[0]) / float64(urgent); share < 0.95 {
			t.Errorf("seed %d: %.2f of the urgent requests are on time", seed, share)
		}
		if share := float64(r.onTime[2]) / float64(all-urgent); share < 0.5 {
			t.Errorf("seed %d: %.2f of the less urgent requests are on time", seed, share)
		}
	}
}

// A dispatcher that follows another one must hold the room that its predecessor promised.
func TestPromisesSurviveAChangeOfTheDispatcher(t *testing.T) {
	set, now := newPromiseSet(), time.Unix(1000, 0)
	id := ID{Prefill: "p", Decode: "d"}
	set.record(id, "r1", passedPromise{rank: 2, cost: 100, at: now.Add(2 * time.Second)}, now)
	set.record(id, "gone", passedPromise{rank: 2, cost: 100, at: now.Add(-2 * time.Second)}, now)
	d := newDispatcher(id, now, NewHub(nil, EngineCalls{}, nil).Limits)
	now = now.Add(time.Second)
	d.adoptPromises(now, set.list(id, now))
	if got := d.core.promises.Outstanding(d.coreTime(now), 2); got != 100 {
		t.Fatalf("cost %v is promised at the new dispatcher instead of 100", got)
	}
	if got := d.core.promises.Redeem(d.coreTime(now.Add(time.Second)), "r1"); got != promise.AsTold {
		t.Errorf("unexpected standing %v of the caller that returns as told", got)
	}
}

// Requests over their account's rate must be told different times to return, each with enough tokens by then.
func TestCallersOverTheirRateReturnOneAfterTheOther(t *testing.T) {
	l := newRateLimiter()
	request := func(n int) PlaceRequest {
		return PlaceRequest{
			Key: fmt.Sprint(n), Account: "a", Charge: 100, Rate: 100, Burst: 100, Ordered: true, Return: fmt.Sprint(n), ReturnWithin: 5 * time.Second,
		}
	}
	now := clockStart
	told := make(map[int]instant)
	for n := range 8 {
		if wait, ok := l.charge(now, request(n), 0); !ok {
			told[n] = now.Add(wait)
		}
	}
	served, promised := 0, 0
	for n := range 8 {
		at, refused := told[n]
		if !refused || at.Sub(now) > 5*time.Second {
			continue
		}
		promised++
		if _, ok := l.charge(at, request(100+n), 0); ok { // a newcomer at the same time
			t.Errorf("a newcomer took the tokens that request %d was promised", n)
		}
		if _, ok := l.charge(at, request(n), 0); ok {
			served++
		}
	}
	if promised < 3 || served < promised {
		t.Errorf("%d of %d callers that returned as told had tokens", served, promised)
	}
}

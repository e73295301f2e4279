package slot

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/queue"
	"teaselgate/rule"
)

const (
	start       = queue.Instant(time.Hour)
	serverSlots = 6
)

func testServers(n int) []rule.Server {
	out := make([]rule.Server, 0, n)
	for i := range n {
		out = append(out, rule.Server{
			Server: fmt.Sprint("s", i), Pool: "o", Zone: string(rune('a' + i%3)), At: fmt.Sprint("10.0.0.", i, ":80"),
			State: rule.ServerLive, Slots: serverSlots,
		})
	}
	return out
}

// end is the end of a request in a replay.
type end struct {
	at     queue.Instant
	report Report
}

type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(end)) }
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// replay replays arrivals at a service without a network.
type replay struct {
	core    *Core
	work    func(server string) time.Duration
	result  func(server string) Result
	transit time.Duration // from the keeper to an instance, and from an instance to a server
	delay   time.Duration // that a report waits to be sent
	ends    endHeap
	onTime  map[int]int // answers within the aim, by rank
	late    map[int]int
	refused map[int]int
	given   map[string]int           // slots given, by server
	held    map[int][]time.Duration  // times that refused requests were held, by rank
	arrived map[string]queue.Instant // by key
	asks    map[string]Ask
}

func newReplay(servers int) *replay {
	r := &replay{
		core: NewCore(), onTime: make(map[int]int), late: make(map[int]int), refused: make(map[int]int), given: make(map[string]int),
		held: make(map[int][]time.Duration), arrived: make(map[string]queue.Instant), asks: make(map[string]Ask),
		result: func(string) Result { return Answered },
	}
	r.core.SetServers(testServers(servers))
	return r
}

// step advances the replay to a time at which requests come.
func (r *replay) step(now queue.Instant, asks ...Ask) {
	for len(r.ends) > 0 && !r.ends[0].at.After(now) {
		e := heap.Pop(&r.ends).(end)
		r.core.Record(e.at, e.report)
		r.handle(e.at, r.core.Decide(e.at))
	}
	for _, a := range asks {
		r.arrived[a.Key], r.asks[a.Key] = now, a
		r.core.Submit(now, a)
	}
	r.handle(now, r.core.Decide(now))
}

func (r *replay) handle(now queue.Instant, decisions []Decision) {
	for _, d := range decisions {
		a := r.asks[d.Key]
		waited := now.Sub(r.arrived[d.Key])
		if d.Err != nil {
			r.refused[a.Rank]++
			r.held[a.Rank] = append(r.held[a.Rank], waited)
			continue
		}
		r.given[d.Server]++
		took := r.work(d.Server)
		took += 2 * r.transit
		heap.Push(&r.ends, end{now.Add(took + 2*r.transit + r.delay), Report{Key: d.Key, Took: took, Result: r.result(d.Server)}})
		if waited+took <= a.Aim {
			r.onTime[a.Rank]++
		} else {
			r.late[a.Rank]++
		}
	}
}

// A burst of more requests than the slots bear: no server may get more than it can run, urgent requests are on time, others are
// refused at once or served in time, and accounts fare alike.
func TestSharedSlotsInABurst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	r := newReplay(5)
	r.work = func(string) time.Duration { return time.Duration(30+random.ExpFloat64()*30) * time.Millisecond }
	const aim, left = 300 * time.Millisecond, 2 * time.Second
	sent := make(map[int]int)
	now := start
	for n := 0; now.Before(start.Add(10 * time.Second)); n++ {
		load := 0.4
		if since := now.Sub(start); since > 2*time.Second && since < 6*time.Second {
			load = 1.4
		}
		now = now.Add(time.Duration(random.ExpFloat64() / (load * 5 * serverSlots / 0.06) * float64(time.Second)))
		rank := 2
		if n%5 == 0 {
			rank = 0
		}
		sent[rank]++
		r.step(now, Ask{Key: fmt.Sprint(n), Account: fmt.Sprint("a", n%7), Weight: 1, Rank: rank, Left: left, Aim: aim})
		for _, s := range r.core.servers {
			if s.inUse > serverSlots+spareSlots {
				t.Fatalf("server %s has %d requests", s.Server.Server, s.inUse)
			}
		}
	}
	r.step(now.Add(time.Minute))
	t.Logf("sent %v, on time %v, late %v, refused %v", sent, r.onTime, r.late, r.refused)
	if share := float64(r.onTime[0]) / float64(sent[0]); share < 0.95 {
		t.Errorf("%.2f of the urgent requests are on time", share)
	}
	if r.refused[2] == 0 {
		t.Error("no request was refused in a burst of 1.4 times the capacity")
	}
	heldLong := 0
	for rank, held := range r.held {
		for _, h := range held {
			if h > left {
				t.Errorf("a request of rank %d was refused after %v, past its deadline", rank, h)
			}
			if h > aim {
				heldLong++
			}
		}
	}
	if heldLong > (r.refused[0]+r.refused[2])/5 {
		t.Errorf("%d of %d refused requests were held longer than their aim for nothing", heldLong, r.refused[0]+r.refused[2])
	}
}

// Requests on their way to or from a server use none of its slots. If they counted as if they did, services with short requests
// would keep requests waiting beside idle slots.
func TestSlotsAreNotKeptForRequestsOnTheWay(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	r := newReplay(3)
	r.transit, r.delay = 4*time.Millisecond, reportDelay
	r.work = func(string) time.Duration { return 15 * time.Millisecond }
	now := start
	for n := range 8000 {
		now = now.Add(time.Duration(random.ExpFloat64() / (0.9 * 3 * serverSlots / 0.015) * float64(time.Second)))
		r.step(now, Ask{Key: fmt.Sprint(n), Account: fmt.Sprint("a", n%7), Weight: 1, Left: 2 * time.Second, Aim: 150 * time.Millisecond})
	}
	r.step(now.Add(time.Minute))
	t.Logf("on time %d, late %d, refused %d", r.onTime[0], r.late[0], r.refused[0])
	if r.onTime[0] < 8000*95/100 {
		t.Errorf("%d of 8000 requests are on time at 0.9 of what the servers bear", r.onTime[0])
	}
	held := 15*time.Millisecond + 4*r.transit + r.delay
	want := float64(serverSlots) * held.Seconds() / 0.015
	if c := float64(r.core.capacity(r.core.servers[0])); c < want-1 || c > want+1 {
		t.Errorf("a server gets %v requests at once, %.1f keep its %d slots busy", c, want, serverSlots)
	}
}

// A server that fails part of its requests must not get its share of them while others have room within a short wait: a failed
// request that can't be repeated is lost for its caller, and the failures are never enough in a row for a pause.
func TestSharedSlotsAvoidAServerThatFailsPartly(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for _, load := range []float64{0.4, 0.6} {
		r := newReplay(3)
		r.work = func(string) time.Duration { return 15 * time.Millisecond }
		failed := 0
		r.result = func(s string) Result {
			if s == "s1" && random.IntN(4) == 0 {
				failed++
				return Failed
			}
			return Answered
		}
		now := start
		for n := range 4000 {
			now = now.Add(time.Duration(random.ExpFloat64() / (load * 3 * serverSlots / 0.015) * float64(time.Second)))
			r.step(now, Ask{Key: fmt.Sprint(n), Account: "a", Weight: 1, Left: 2 * time.Second, Aim: 300 * time.Millisecond})
		}
		r.step(now.Add(time.Minute))
		if failed > 4000*3/100 || r.late[0] > 4000*5/100 {
			t.Errorf("at load %.1f %d of 4000 requests failed and %d were late; a third of them would meet the failing server", load, failed, r.late[0])
		}
	}
}

// Some requests fail at every server. They must not make a server look unsound that happened to get one of them: without a share
// from which it is passed over, one failure took a server out of use until its error rate had decayed for seconds.
func TestRequestsThatFailEverywhereLeaveServersInUse(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	r := newReplay(3)
	r.work = func(string) time.Duration { return 15 * time.Millisecond }
	r.result = func(string) Result { return []Result{Answered, ServerError}[max(random.IntN(50)-48, 0)] }
	now := start
	for n := range 8000 {
		now = now.Add(time.Duration(random.ExpFloat64() / (0.75 * 3 * serverSlots / 0.015) * float64(time.Second)))
		r.step(now, Ask{Key: fmt.Sprint(n), Account: "a", Weight: 1, Left: 2 * time.Second, Aim: 30 * time.Millisecond})
	}
	r.step(now.Add(time.Minute))
	if r.onTime[0] < 8000*99/100 {
		t.Errorf("%d of 8000 requests are on time, late %d, refused %d", r.onTime[0], r.late[0], r.refused[0])
	}
}

// After a burst, room is held for callers that are about to return. While nothing waits, that must not make a newcomer that can
// wait a little look like one of a burst, where late requests get next to nothing: it was refused with most of its time left.
func TestNewcomersAreNotRefusedForReturnsAfterABurst(t *testing.T) {
	c, now := NewCore(), start
	c.SetServers(testServers(2))
	refused := 0
	for n := range 300 {
		c.Submit(now, Ask{
			Key: fmt.Sprint(n), Account: fmt.Sprint("a", n%7), Weight: 1, Left: 2 * time.Second, Aim: 300 * time.Millisecond,
			Return: fmt.Sprint("r", n), ReturnWithin: 2 * time.Second,
		})
		for _, d := range c.Decide(now) {
			if d.Err != nil {
				refused++
			}
		}
	}
	if refused == 0 {
		t.Fatal("the burst was too small")
	}
	now = now.Add(1200 * time.Millisecond) // nearly all promises are due
	for key := range c.waiting {           // the burst ends, and the callers that wait leave
		c.Cancel(key)
	}
	for key := range c.leases {
		c.Record(now, Report{Key: key, Unused: true})
	}
	c.Decide(now)
	for n := range 2 * (serverSlots + spareSlots) {
		c.Submit(now, Ask{Key: fmt.Sprint("busy", n), Account: "b", Weight: 1, Left: 2 * time.Second, Aim: 300 * time.Millisecond})
		c.Decide(now)
	}
	c.Submit(now, Ask{Key: "newcomer", Account: "c", Weight: 1, Left: 2 * time.Second, Aim: 300 * time.Millisecond})
	for _, d := range c.Decide(now) {
		if d.Err != nil {
			t.Errorf("a newcomer was refused with %d waiting and %.0f promised: %v", c.queue.Len(), c.promises.Due(now, 0), d.Err)
		}
	}
}

// A request with less time left than an answer usually takes must not be refused while a server is idle: it may be answered in
// time, and is refused only where it would have to wait.
func TestRequestsWithLittleTimeGetFreeSlots(t *testing.T) {
	c := NewCore()
	c.SetServers(testServers(1))
	for n := range serverSlots + spareSlots + 1 {
		c.Submit(start, Ask{Key: fmt.Sprint(n), Account: "a", Weight: 1, Left: 30 * time.Millisecond, Aim: 300 * time.Millisecond})
		decisions := c.Decide(start)
		if len(decisions) != 1 {
			t.Fatalf("%d decisions", len(decisions))
		}
		if full := n == serverSlots+spareSlots; errors.Is(decisions[0].Err, ErrFull) != full {
			t.Errorf("unexpected decision on request %d: %+v", n, decisions[0])
		}
	}
}

// A slow server must get less than its share, and one that fails must be paused and tried again.
func TestSharedSlotsFollowTheServers(t *testing.T) {
	run := func(set func(r *replay)) *replay {
		r := newReplay(4)
		r.work = func(string) time.Duration { return 60 * time.Millisecond }
		set(r)
		for n := range 4000 {
			r.step(start.Add(time.Duration(n)*5*time.Millisecond), Ask{Key: fmt.Sprint(n), Account: "a", Weight: 1, Left: time.Second, Aim: 300 * time.Millisecond})
		}
		return r
	}
	slow := run(func(r *replay) {
		r.work = func(s string) time.Duration {
			if s == "s1" {
				return 240 * time.Millisecond
			}
			return 60 * time.Millisecond
		}
	})
	if slow.given["s1"] > 4000/8 {
		t.Errorf("the slow server got %d of 4000 requests, half of its share is 500", slow.given["s1"])
	}
	failing := run(func(r *replay) {
		r.result = func(s string) Result {
			if s == "s1" {
				return Failed
			}
			return Answered
		}
	})
	if n := failing.given["s1"]; n > 60 || n < maxFailures+2 {
		t.Errorf("the failing server got %d of 4000 requests", n)
	}
}

// Noise of some tenths of a second must not be taken for a slow server: it would leave slots idle.
func TestNoiseDoesNotMakeAServerSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	r := newReplay(3)
	now := start
	r.work = func(s string) time.Duration {
		noisy := int(now.Sub(start)/(600*time.Millisecond))*7%20 < 3 // 600 ms at a time, in turn
		if noisy && s == fmt.Sprint("s", int(now.Sub(start)/(600*time.Millisecond))%3) {
			return 37 * time.Millisecond
		}
		return time.Duration(10+random.IntN(10)) * time.Millisecond
	}
	for n := range 20000 {
		now = start.Add(time.Duration(n) * 2 * time.Millisecond)
		r.step(now, Ask{Key: fmt.Sprint(n), Account: "a", Weight: 1, Zone: "x", Left: time.Second, Aim: 120 * time.Millisecond})
	}
	for server, n := range r.given {
		if n < 20000/6 {
			t.Errorf("%s got %d of 20000 requests, less than half of its share", server, n)
		}
	}
}

// A server of another zone must not be used while one in the instance's zone is as free.
func TestSlotsInTheZoneOfTheInstanceArePreferred(t *testing.T) {
	r := newReplay(3)
	r.work = func(string) time.Duration { return 20 * time.Millisecond }
	for n := range 200 {
		r.step(start.Add(time.Duration(n)*30*time.Millisecond), Ask{Key: fmt.Sprint(n), Account: "a", Weight: 1, Zone: "b", Left: time.Second, Aim: time.Second})
	}
	if r.given["s1"] != 200 {
		t.Errorf("the server in zone b got %d of 200 requests", r.given["s1"])
	}
}

// Retries beyond the shared budget must not be sent: they would multiply the load of failing servers.
func TestSharedRetriesStayWithinTheBudget(t *testing.T) {
	r := newReplay(2)
	r.core.RetryShare = 0.1
	r.work = func(string) time.Duration { return time.Millisecond }
	for n := range 1000 {
		at := start.Add(time.Duration(n) * 10 * time.Millisecond)
		r.step(at, Ask{Key: fmt.Sprint(n), Account: "a", Weight: 1, First: true, Left: time.Second})
		r.step(at, Ask{Key: fmt.Sprint(n, "-2"), Account: "a", Weight: 1, Retry: true, Left: time.Second})
	}
	paid := 2000 - r.refused[0]
	if retries := paid - 1000; retries > 100+maxRetryBudget+1 || retries < 100 {
		t.Errorf("%d retries were paid", retries)
	}
}

// Whatever comes, each ask gets one decision, slots are counted right, and lost reports free their slots in the end.
func TestCoreCountsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := NewCore(), start
		c.SetServers(testServers(2))
		decided := make(map[string]int)
		var given []string
		n := 0
		decide := func() {
			for _, d := range c.Decide(now) {
				if decided[d.Key]++; decided[d.Key] > 1 {
					t.Fatalf("%s was decided twice", d.Key)
				}
				if d.Err == nil {
					given = append(given, d.Key)
				} else if !errors.Is(d.Err, ErrFull) && !errors.Is(d.Err, ErrNoServer) {
					t.Fatalf("unexpected error %v", d.Err)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				n++
				c.Submit(now, Ask{
					Key: fmt.Sprint(n), Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
					Left: time.Duration(rapid.IntRange(50, 2000).Draw(t, "left")) * time.Millisecond, Aim: 200 * time.Millisecond,
					Exclude: rapid.SampledFrom([][]string{nil, {"s0"}}).Draw(t, "exclude"),
				})
				decide()
			},
			"end": func(t *rapid.T) {
				if len(given) == 0 || rapid.Bool().Draw(t, "lost") {
					return
				}
				took := time.Duration(0)
				if l, ok := c.leases[given[0]]; ok {
					took = now.Sub(l.since) // no time on the way, so the bound on a server's requests is that of its slots
				}
				c.Record(now, Report{Key: given[0], Took: took, Result: Result(rapid.IntRange(0, 2).Draw(t, "result"))})
				given = given[1:]
				decide()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				decide()
			},
			"cancel": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, n).Draw(t, "key"))
				if decided[key] == 0 {
					decided[key]++
				}
				c.Cancel(key)
				decide()
			},
			"": func(t *rapid.T) {
				for _, s := range c.servers {
					if s.inUse < 0 || s.inUse > serverSlots+spareSlots {
						t.Fatalf("%d requests at %s", s.inUse, s.Server.Server)
					}
				}
			},
		})
		now = now.Add(time.Minute)
		decide()
		if s := c.State(now); s.InUse != 0 || s.Waiting != 0 {
			t.Fatalf("unexpected state %+v after all has ended", s)
		}
		for i := range n {
			if decided[fmt.Sprint(i+1)] != 1 {
				t.Fatalf("%d was never decided", i+1)
			}
		}
	})
}

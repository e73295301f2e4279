package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgate/event"
	"teaselgate/platform"
	"teaselgate/standin/bubble"
)

// contactTime is the time within which the users expect an instance to know what another has learnt.
const contactTime = 3 * time.Second

// fakeFleet connects the lists of several instances. It runs in a synctest bubble.
type fakeFleet struct {
	ctx   context.Context
	lists map[string]*List
	mu    sync.Mutex
	away  map[string]bool // instances that neither call nor answer
	store *fakeStore      // nil without a store
	serve sync.WaitGroup
}

var errAway = errors.New("quarantine: the peer is away")

// runFleet runs a test with the given number of instances, named i0 and on.
func runFleet(t *testing.T, size int, test func(f *fakeFleet)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := &fakeFleet{ctx: ctx, lists: make(map[string]*List), away: make(map[string]bool)}
		for n := range size {
			f.start(fmt.Sprint("i", n))
		}
		time.Sleep(time.Second)
		test(f)
		stop()
		f.serve.Wait()
	})
}

// start starts an instance.
func (f *fakeFleet) start(name string) *List {
	l := NewList()
	l.Self = name
	l.Live = f.names
	l.Peers = func() []string {
		return slices.DeleteFunc(f.names(), func(other string) bool { return other == name })
	}
	l.Call = func(_ context.Context, address, method string, args, reply any) error {
		return f.call(name, address, method, args, reply)
	}
	if f.store != nil {
		l.Get, l.Update = f.store.get, f.store.update
	}
	f.mu.Lock()
	f.lists[name] = l
	f.mu.Unlock()
	f.serve.Go(func() { _ = l.Serve(f.ctx) })
	f.serve.Go(func() { f.probe(name, l) })
	return l
}

func (f *fakeFleet) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.lists))
}

func (f *fakeFleet) list(name string) *List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists[name]
}

func (f *fakeFleet) setAway(name string, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away[name] = away
}

func (f *fakeFleet) isAway(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.away[name]
}

func (f *fakeFleet) call(from, to, method string, args, reply any) error {
	time.Sleep(2 * time.Millisecond)
	if f.isAway(from) || f.isAway(to) {
		return errAway
	}
	receiver := f.list(to).Receiver()
	evidence, _ := args.(Evidence)
	if strings.HasSuffix(method, "Tell") {
		return receiver.Tell(evidence, nil)
	}
	out, _ := reply.(*Evidence)
	return receiver.Exchange(evidence, out)
}

// probe compares digests with two peers each second, as the fleet's probes do.
func (f *fakeFleet) probe(name string, l *List) {
	for n := 0; ; n++ {
		select {
		case <-f.ctx.Done():
			return
		case <-time.After(time.Second):
		}
		names := f.names()
		at := slices.Index(names, name)
		for step := range 2 {
			peer := names[(at+1+(2*n+step)%max(len(names)-1, 1))%len(names)]
			if peer != name && !f.isAway(name) && !f.isAway(peer) {
				l.ExchangeIfDifferent(peer, f.list(peer).Digest())
			}
		}
	}
}

// crash reports crashes of requests with the given parts at different engines, a while after each other.
func crash(l *List, account string, n int, parts ...string) {
	for range n {
		id := l.Now().UnixNano()
		l.ReportCrash(Crash{Request: fmt.Sprint(l.Self, id), Server: fmt.Sprint("d", id), Caller: callerOf(account), Parts: parts})
		time.Sleep(2 * sameCause)
	}
}

// refusing returns the names of the instances that refuse a request.
func (f *fakeFleet) refusing(account string, parts ...string) []string {
	var out []string
	for _, name := range f.names() {
		if refusal, _ := f.list(name).Check(callerOf(account), parts); refusal != nil {
			out = append(out, name)
		}
	}
	return out
}

func TestAllInstancesLearnOfDeadlyParts(t *testing.T) {
	for _, size := range []int{2, 9, 60} {
		runFleet(t, size, func(f *fakeFleet) {
			crash(f.list("i0"), "x", 1, "a", "dead")
			crash(f.list("i1"), "x", 1, "a", "dead")
			time.Sleep(contactTime)
			if got := f.refusing("x", "a", "dead"); len(got) != size {
				t.Errorf("%d of %d instances refuse", len(got), size)
			}
		})
	}
}

// An instance that was paused or cut off learns from the probes, one that starts from its first peers.
func TestAwayAndNewInstancesLearnOfDeadlyParts(t *testing.T) {
	runFleet(t, 6, func(f *fakeFleet) {
		f.setAway("i3", true)
		crash(f.list("i0"), "x", 2, "dead")
		time.Sleep(10 * time.Second)
		if got := f.refusing("x", "dead"); slices.Contains(got, "i3") || len(got) != 5 {
			t.Errorf("while i3 is away, %v refuse", got)
		}
		f.setAway("i3", false)
		f.start("new")
		time.Sleep(contactTime)
		if got := f.refusing("x", "dead"); len(got) != 7 {
			t.Errorf("after i3 is back and another has started, %v refuse", got)
		}
	})
}

// What an instance learns while it reaches nobody, all learn once it is back.
func TestEvidenceOfAnInstanceThatWasAway(t *testing.T) {
	runFleet(t, 5, func(f *fakeFleet) {
		f.setAway("i2", true)
		crash(f.list("i2"), "x", 2, "dead")
		time.Sleep(5 * time.Second)
		f.setAway("i2", false)
		time.Sleep(contactTime)
		if got := f.refusing("x", "dead"); len(got) != 5 {
			t.Errorf("%v refuse", got)
		}
	})
}

// The first part of the deadly requests is one of sound requests, whose answers begin at another instance.
func TestPartsOfSoundRequestsAreReleasedEverywhere(t *testing.T) {
	runFleet(t, 9, func(f *fakeFleet) {
		crash(f.list("i0"), "x", 3, "a")
		time.Sleep(contactTime)
		if got := f.refusing("x", "a"); len(got) != 9 {
			t.Errorf("%v refuse", got)
		}
		f.list("i5").ReportSuccess("", []string{"a"})
		time.Sleep(contactTime)
		if got := f.refusing("x", "a"); len(got) != 0 {
			t.Errorf("%v still refuse although an answer was begun", got)
		}
	})
	runFleet(t, 9, func(f *fakeFleet) {
		f.list("i5").ReportSuccess("", []string{"a"})
		crash(f.list("i0"), "x", 1, "a", "dead1")
		crash(f.list("i1"), "x", 1, "a", "dead2")
		time.Sleep(contactTime)
		if got := f.refusing("x", "a"); len(got) != 0 {
			t.Errorf("%v refuse a part that i5 has seen succeed before the crashes", got)
		}
	})
}

// After the term of a block one request is let through in the whole fleet. If it crashes an engine, too, the parts are
// refused for longer; if its answer begins, they are released.
func TestOneRequestTriesLapsedParts(t *testing.T) {
	for _, deadly := range []bool{true, false} {
		runFleet(t, 9, func(f *fakeFleet) {
			crash(f.list("i0"), "x", 2, "dead")
			time.Sleep(firstTerm - time.Second)
			tries := 0
			for range 400 { // 40 s
				for _, name := range f.names() {
					refusal, trial := f.list(name).Check(callerOf("x"), []string{"dead"})
					if refusal != nil || !trial {
						continue
					}
					tries++
					time.AfterFunc(100*time.Millisecond, func() {
						if deadly {
							crash(f.list(name), "x", 1, "dead")
						} else {
							f.list(name).ReportSuccess("", []string{"dead"})
						}
					})
				}
				time.Sleep(100 * time.Millisecond)
			}
			if tries != 1 {
				t.Errorf("deadly %v: %d requests were let through in 40 s", deadly, tries)
			}
			if got := len(f.refusing("x", "dead")); got != map[bool]int{true: 9, false: 0}[deadly] {
				t.Errorf("deadly %v: %d instances refuse afterwards", deadly, got)
			}
		})
	}
}

// A trial whose request ends without a result does not block the next one for good.
func TestTrialWithoutResultIsRepeated(t *testing.T) {
	runFleet(t, 1, func(f *fakeFleet) {
		l := f.list("i0")
		crash(l, "x", 2, "dead")
		time.Sleep(firstTerm)
		for n := range 2 {
			if _, trial := l.Check(callerOf("x"), []string{"dead"}); !trial {
				t.Errorf("trial %d was not let through", n)
			}
			if refusal, _ := l.Check(callerOf("x"), []string{"dead"}); refusal == nil {
				t.Error("a second request was let through during the trial")
			}
			time.Sleep(trialTimeout)
		}
	})
}

func TestEvidenceIsBoundedAndExpires(t *testing.T) {
	runFleet(t, 3, func(f *fakeFleet) {
		l := f.list("i0")
		for n := range 3 * maxCrashes {
			l.ReportCrash(Crash{Request: fmt.Sprint(n, strings.Repeat("x", 9000)), Server: fmt.Sprint("d", n), Caller: callerOf("x"), Parts: []string{fmt.Sprint("p", n), "dead"}})
		}
		time.Sleep(contactTime)
		for _, name := range f.names() {
			e := f.list(name).evidence()
			text, err := json.Marshal(f.list(name).stored())
			if err != nil || len(text) > 1<<19 {
				t.Errorf("%s would store %d bytes, error %v", name, len(text), err)
			}
			if len(e.Crashes) > maxCrashes || len(e.Crashes) == 0 || len(e.Successes) > 0 {
				t.Errorf("%s holds %d crashes and %d successes", name, len(e.Crashes), len(e.Successes))
			}
		}
		for n := range 3 * maxBegan {
			l.ReportSuccess("", []string{fmt.Sprint("q", n)})
		}
		if got := len(l.began.parts) + len(l.began.before); got > 2*maxBegan {
			t.Errorf("%d parts of begun answers are held", got)
		}
		time.Sleep(evidenceLife + 2*expirePeriod)
		for _, name := range f.names() {
			if l := f.list(name); len(l.evidence().Crashes) > 0 || l.Digest() != 0 || l.Count() != 0 {
				t.Errorf("%s still holds evidence: digest %d, %d blocks", name, l.Digest(), l.Count())
			}
		}
	})
}

// Instances that have exchanged their evidence stop exchanging it.
func TestEqualEvidenceIsNotExchangedAgain(t *testing.T) {
	runFleet(t, 9, func(f *fakeFleet) {
		calls := 0
		for _, name := range f.names() {
			l := f.list(name)
			call := l.Call
			l.Call = func(ctx context.Context, address, method string, args, reply any) error {
				f.mu.Lock()
				calls++
				f.mu.Unlock()
				return call(ctx, address, method, args, reply)
			}
		}
		f.list("i5").ReportSuccess("", []string{"a"})
		crash(f.list("i0"), "x", 2, "a", "dead")
		time.Sleep(2 * contactTime)
		f.mu.Lock()
		before := calls
		f.mu.Unlock()
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if calls != before {
			t.Errorf("%d calls without anything new, %d before", calls-before, before)
		}
	})
}

// Blocks are logged once at each instance, with their evidence.
func TestBlocksAreLoggedWithTheirEvidence(t *testing.T) {
	runFleet(t, 2, func(f *fakeFleet) {
		var mu sync.Mutex
		var logged []string
		f.list("i1").Record = func(e event.Event) {
			mu.Lock()
			defer mu.Unlock()
			if e.Code == event.PartsQuarantined {
				logged = append(logged, e.Detail)
			}
		}
		crash(f.list("i0"), "x", 2, "dead")
		time.Sleep(10 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if len(logged) != 1 || !strings.Contains(logged[0], "[dead]") || !strings.Contains(logged[0], "1 callers of the accounts [x]") ||
			!strings.Contains(logged[0], "i0") {
			t.Errorf("logged %q", logged)
		}
	})
}

// fakeStore is the platform store of a fakeFleet.
type fakeStore struct {
	mu      sync.Mutex
	object  platform.Object
	down    bool
	updates int
}

func (s *fakeStore) get(context.Context, string, string) (platform.Object, error) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return platform.Object{}, platform.ErrUnavailable
	case s.object.Version == 0:
		return platform.Object{}, platform.ErrNotFound
	}
	return s.object, nil
}

func (s *fakeStore) update(
	_ context.Context, _, _ string, version platform.Version, data any,
) (platform.Object, error) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return platform.Object{}, platform.ErrUnavailable
	case version != s.object.Version:
		return platform.Object{}, platform.ErrConflict
	}
	text, err := json.Marshal(data)
	if err != nil {
		return platform.Object{}, err
	}
	s.updates++
	s.object = platform.Object{Version: version + 1, Data: text}
	return s.object, nil
}

// All instances end at the same moment, and their successors start with what the platform store has.
func TestEvidenceOutlastsAllInstances(t *testing.T) {
	for _, lost := range []string{"", "down", "unreadable"} {
		bubble.Test(t, func(t *testing.T) {
			store := &fakeStore{down: lost == "down"}
			if lost == "unreadable" {
				store.object = platform.Object{Version: 7, Data: []byte("[1,")}
			}
			run := func(test func(f *fakeFleet)) {
				ctx, stop := context.WithCancel(t.Context())
				f := &fakeFleet{ctx: ctx, lists: make(map[string]*List), away: make(map[string]bool), store: store}
				for n := range 5 {
					f.start(fmt.Sprint("i", n))
				}
				test(f)
				stop()
				f.serve.Wait()
			}
			run(func(f *fakeFleet) {
				time.Sleep(time.Second)
				f.list("i3").ReportSuccess("", []string{"a"})
				crash(f.list("i0"), "x", 1, "a", "dead")
				crash(f.list("i1"), "x", 1, "a", "dead")
				time.Sleep(time.Second)
				if lost == "down" {
					store.mu.Lock()
					store.down = false
					store.mu.Unlock()
					time.Sleep(2 * maxRetry)
				}
			})
			if store.updates > 3 {
				t.Errorf("%s: %d writes to the store", lost, store.updates)
			}
			run(func(f *fakeFleet) {
				time.Sleep(time.Second)
				if got := f.refusing("x", "a", "dead"); len(got) != 5 {
					t.Errorf("%s: after the restart %v refuse", lost, got)
				}
				if got := f.refusing("x", "a"); len(got) != 0 {
					t.Errorf("%s: after the restart %v refuse a sound part", lost, got)
				}
			})
		})
	}
}

// A part that was sound shortly before a crash, and is so again shortly after it.
func TestSuccessRightAfterACrashCounts(t *testing.T) {
	runFleet(t, 2, func(f *fakeFleet) {
		l := f.list("i0")
		l.ReportSuccess("", []string{"a"})
		time.Sleep(100 * time.Millisecond)
		for range 4 {
			crash(l, "x", 1, "a")
		}
		if got := f.refusing("x", "a"); len(got) == 0 {
			t.Error("nobody refuses a part with four crashes")
		}
		l.ReportSuccess("", []string{"a"})
		time.Sleep(contactTime)
		if got := f.refusing("x", "a"); len(got) != 0 {
			t.Errorf("%v refuse although an answer was begun 0.8 s after the first", got)
		}
	})
}

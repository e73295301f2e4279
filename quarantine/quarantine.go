// Package quarantine keeps requests away from servers that would crash on them. When servers end under the same request
// again and again, or under requests that share a part of their prompts, further such requests are refused, at all instances.
// The evidence is exchanged between the instances, so that all of them block the same requests and parts.
package quarantine

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/event"
	"teaselgate/gossip"
	"teaselgate/platform"
)

// trialTimeout is how long the result of a request that is let through as a trial is awaited.
const trialTimeout = 10 * time.Second

// trialSpacing is the time between the trials of two instances. A trial shows its result earlier, so that few requests
// reach engines if the part still crashes them.
const trialSpacing = 500 * time.Millisecond

// List is an instance's evidence of crashes, and the blocks of parts that follow from it. Its exported fields are set before use.
type List struct {
	Self  string          // name of this instance
	Live  func() []string // names of the live instances, this one included
	Peers func() []string // addresses of the other reachable instances
	Call  func(ctx context.Context, address, method string, args, reply any) error
	// Get and Update read and write an object of the platform store, which keeps the evidence; nil without a store.
	Get    func(ctx context.Context, kind, name string) (platform.Object, error)
	Update func(ctx context.Context, kind, name string, version platform.Version, data any) (platform.Object, error)
	Record func(event.Event)
	Now    func() time.Time

	current    atomic.Pointer[snapshot]
	began      recentParts
	mu         sync.Mutex
	ledger     ledger
	unsent     Evidence             // evidence that peers have yet to be told; its ages count from unsentAt
	unsentAt   time.Time            // time of the first unsent evidence
	trials     map[string]time.Time // end of the running trial, by key of the block
	spreader   *gossip.Spreader
	watch      *watch
	wake       chan struct{} // makes Serve tell peers
	unsaved    chan struct{} // makes Serve write to the platform store
	background sync.WaitGroup
}

// snapshot is what follows from the evidence. It is immutable.
type snapshot struct {
	blocks   []block
	suspects map[string]bool // parts of the requests under which servers crashed
}

// Refusal says why and until when requests are refused.
type Refusal struct {
	Parts   []string
	Crashes int // crashes of servers for which the parts account
	RetryAt time.Time
}

// Reason describes the refusal for the log.
func (r *Refusal) Reason() string {
	return fmt.Sprintf("servers crashed %d times under requests with the parts %v", r.Crashes, r.Parts)
}

// NewList returns a list without evidence or peers.
func NewList() *List {
	l := &List{
		Peers:    func() []string { return nil },
		Live:     func() []string { return nil },
		Record:   func(event.Event) {},
		Now:      time.Now,
		ledger:   newLedger(),
		trials:   make(map[string]time.Time),
		spreader: gossip.NewSpreader(),
		wake:     make(chan struct{}, 1),
		unsaved:  make(chan struct{}, 1),
	}
	l.spreader.Peers, l.spreader.Failed = func() []string { return l.Peers() }, l.recordFailure
	l.spreader.Now = func() time.Time { return l.Now() }
	l.spreader.Call = func(ctx context.Context, address, method string, args, reply any) error {
		return l.Call(ctx, address, method, args, reply)
	}
	l.watch = newWatch()
	l.watch.now, l.watch.report = func() time.Time { return l.Now() }, l.reportEnds
	l.current.Store(&snapshot{})
	return l
}

// Check decides whether a request of a caller with the given parts may be sent to servers. It returns why not, or nil.
// When a block has lapsed, one request at a time is let through as a trial; it is not to be checked again.
func (l *List) Check(caller Caller, parts []string) (refusal *Refusal, trial bool) {
	for _, b := range l.current.Load().blocks {
		if !b.covers(caller, parts) {
			continue
		}
		if !l.mayTry(b) {
			return &Refusal{Parts: b.parts, Crashes: b.crashes, RetryAt: b.until}, false
		}
		trial = true
	}
	return nil, trial
}

// mayTry reports whether a block has lapsed and this instance may let a request through as a trial.
func (l *List) mayTry(b block) bool {
	now, key := l.Now(), b.key()
	if now.Before(b.until) || now.Before(b.until.Add(time.Duration(l.rank(key))*trialSpacing)) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.trials[key]) || !l.isCurrent(b) {
		return false
	}
	l.trials[key] = now.Add(trialTimeout)
	l.Record(event.Event{Code: event.QuarantineTrial, Detail: fmt.Sprintf("parts %v", b.parts)})
	return true
}

// isCurrent reports whether a block still holds as it is: a trial may just have changed it. The caller holds the lock.
func (l *List) isCurrent(b block) bool {
	return slices.ContainsFunc(l.current.Load().blocks, func(other block) bool {
		return other.key() == b.key() && other.until.Equal(b.until)
	})
}

// rank returns the position of this instance in the order in which the instances try the parts of a block again.
func (l *List) rank(key string) int {
	own, before := gossip.Hash(key, l.Self), 0
	for _, name := range l.Live() {
		if gossip.Hash(key, name) < own {
			before++
		}
	}
	return before
}

// ReportCrash records that servers have crashed under requests before they had answered them.
func (l *List) ReportCrash(crashes ...Crash) {
	for n := range crashes {
		c := &crashes[n]
		c.At = l.Now()
		c.Request = c.Request[:min(len(c.Request), maxRequestIDBytes)]
		for _, part := range c.Parts {
			if isRequestPart(part) {
				c.Answers = l.began.takeAnswers(part) * max(len(l.Live()), 1)
			}
		}
	}
	l.merge(crashes, nil, true)
	l.SaveAgain()
}

// ReportSuccess records that a server has answered a request with the given parts, or has begun to write the answer and goes
// on: none of them crashes servers.
func (l *List) ReportSuccess(server string, parts []string) {
	now := l.Now()
	suspects := l.current.Load().suspects
	l.began.add(now, parts, server, suspects)
	if len(suspects) == 0 {
		return
	}
	var successes []success
	for _, part := range parts {
		if suspects[part] {
			successes = append(successes, success{part, now})
		}
	}
	if l.merge(nil, successes, true) {
		l.requestSave()
	}
}

// merge adds evidence, and answers crashes with what this instance has seen of their parts. It has peers told what is
// new; with passOn unset, only what this instance adds. It reports whether the blocks have changed.
func (l *List) merge(crashes []Crash, successes []success, passOn bool) bool {
	if len(crashes)+len(successes) == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.ledger.prune(now)
	changed := false
	for _, c := range crashes {
		served := !c.Served && l.began.hasServed(c.Parts, c.Server)
		c.Served = c.Served || served
		if !l.ledger.addCrash(now, c) {
			continue
		}
		changed = true
		if passOn || served {
			l.queue(now, Evidence{Crashes: []CrashReport{c.report(now)}})
		}
		for _, s := range l.began.successes(now, c.Parts) {
			if l.ledger.addSuccess(s) {
				l.queue(now, Evidence{Successes: []SuccessReport{s.report(now)}})
			}
		}
	}
	for _, s := range successes {
		if !l.ledger.addSuccess(s) {
			continue
		}
		changed = true
		if passOn {
			l.queue(now, Evidence{Successes: []SuccessReport{s.report(now)}})
		}
	}
	return changed && l.update()
}

// update derives the blocks from the evidence, logs those that have changed, and reports whether any has. The caller
// holds the lock.
func (l *List) update() bool {
	before := l.current.Load().blocks
	next := &snapshot{blocks: findBlocks(l.ledger.crashes, l.ledger.successes), suspects: make(map[string]bool)}
	for _, c := range l.ledger.crashes {
		for _, part := range c.Parts {
			next.suspects[part] = true
		}
	}
	l.current.Store(next)
	known := make(map[string]block, len(before))
	for _, b := range before {
		known[b.key()] = b
	}
	changed := false
	for _, b := range next.blocks {
		if old, ok := known[b.key()]; !ok || old.crashes != b.crashes || !maps.Equal(old.callers, b.callers) {
			l.Record(event.Event{Code: event.PartsQuarantined, Detail: b.describe(l.Now())})
			delete(l.trials, b.key())
			changed = true
		}
		delete(known, b.key())
	}
	for _, key := range slices.Sorted(maps.Keys(known)) {
		l.Record(event.Event{Code: event.PartsReleased, Detail: fmt.Sprintf("parts %v", known[key].parts)})
		delete(l.trials, key)
	}
	return changed || len(known) > 0
}

// expire drops old evidence, and the blocks that follow from it.
func (l *List) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ledger.prune(l.Now()) {
		l.update()
	}
}

// Count returns the number of blocks of parts of prompts.
func (l *List) Count() int { return len(l.current.Load().blocks) }

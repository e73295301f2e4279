package quarantine

import (
	"context"
	"slices"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/gossip"
)

// RPCName is the name under which the methods are registered for other instances.
const RPCName = "Quarantine"

// CrashReport is a Crash as sent to other instances, whose clocks may differ.
type CrashReport struct {
	Request string
	Server  string
	Caller  Caller
	Parts   []string
	Begun   bool
	Served  bool
	Answers int
	Ran     time.Duration // time from the sending of the request to the crash
	Age     time.Duration // time since the crash
}

// SuccessReport is a success as sent to other instances.
type SuccessReport struct {
	Part string
	Age  time.Duration // time since the success
}

// Evidence is what an instance tells another. In an exchange it is one page of it, or asks for one.
type Evidence struct {
	Crashes   []CrashReport
	Successes []SuccessReport
	Digests   []uint64 // digests of all evidence of the sender, by group; without them all of it is asked for
	Next      int      // group with which the page that is asked for begins, or the one after a reply; 0 if there is none
}

// TellReply is the empty reply to Evidence.
type TellReply struct{}

// Timing of the exchange.
const (
	tellDelay    = 5 * time.Millisecond // collects evidence, since several requests see the same crash
	expirePeriod = time.Minute
)

func (c Crash) report(now time.Time) CrashReport {
	return CrashReport{
		Request: c.Request, Server: c.Server, Caller: c.Caller, Parts: c.Parts, Begun: c.Begun, Served: c.Served, Answers: c.Answers,
		Ran: c.At.Sub(c.Sent), Age: now.Sub(c.At),
	}
}

func (s success) report(now time.Time) SuccessReport { return SuccessReport{s.part, now.Sub(s.at)} }

// local converts evidence to times of this instance's clock.
func (e Evidence) local(now time.Time) ([]Crash, []success) {
	crashes, successes := make([]Crash, 0, len(e.Crashes)), make([]success, 0, len(e.Successes))
	for _, c := range e.Crashes {
		at := now.Add(-max(c.Age, 0))
		crashes = append(crashes, Crash{
			Request: c.Request, Server: c.Server, Caller: c.Caller, Parts: c.Parts, Begun: c.Begun, Served: c.Served, Answers: c.Answers,
			Sent: at.Add(-max(c.Ran, 0)), At: at,
		})
	}
	for _, s := range e.Successes {
		successes = append(successes, success{s.Part, now.Add(-max(s.Age, 0))})
	}
	return crashes, successes
}

// mergeReports adds the evidence of a peer.
func (l *List) mergeReports(e Evidence) {
	crashes, successes := e.local(l.Now())
	l.merge(crashes, successes, l.spreader.PassesOn())
}

// evidence returns all evidence.
func (l *List) evidence() Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.prune(l.Now())
	return l.report(l.ledger.crashes)
}

// evidencePage returns a page of the evidence in the groups that differ from other digests.
func (l *List) evidencePage(other []uint64, from int) Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.prune(l.Now())
	digests := l.ledger.digests()
	page, next := digests.Differing(other).Page(from, l.ledger.sizes())
	e := l.report(slices.DeleteFunc(slices.Clone(l.ledger.crashes), func(c Crash) bool { return !page[c.group()] }))
	e.Digests, e.Next = digests[:], next
	return e
}

// report returns crashes and the successes of their parts as sent to other instances. The caller holds the lock.
func (l *List) report(crashes []Crash) Evidence {
	now := l.Now()
	var e Evidence
	sent := make(map[string]bool)
	for _, c := range crashes {
		e.Crashes = append(e.Crashes, c.report(now))
		for _, part := range c.Parts {
			if at, ok := l.ledger.successes[part]; ok && !sent[part] {
				sent[part] = true
				e.Successes = append(e.Successes, success{part, at}.report(now))
			}
		}
	}
	return e
}

// queue has Serve tell peers what is new. The caller holds the lock.
func (l *List) queue(now time.Time, e Evidence) {
	if len(l.unsent.Crashes)+len(l.unsent.Successes) == 0 {
		l.unsentAt = now
	}
	l.unsent.Crashes = append(l.unsent.Crashes, e.Crashes...)
	l.unsent.Successes = append(l.unsent.Successes, e.Successes...)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// takeUnsent returns the evidence that peers have yet to be told.
func (l *List) takeUnsent() Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, waited := l.unsent, l.Now().Sub(l.unsentAt)
	l.unsent = Evidence{}
	for n := range e.Crashes {
		e.Crashes[n].Age += waited
	}
	for n := range e.Successes {
		e.Successes[n].Age += waited
	}
	return e
}

// Serve learns the evidence of a peer, and tells peers what is new until the context ends.
func (l *List) Serve(ctx context.Context) error {
	defer l.spreader.Wait()
	defer l.background.Wait()
	l.spreader.Learn(ctx, l.exchange)
	l.background.Go(func() { l.keepStored(ctx) })
	l.background.Go(func() { l.watch.serve(ctx) })
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l.expire()
		case <-l.wake:
			if err := delay.For(ctx, tellDelay); err != nil {
				return err
			}
			l.tell(ctx, l.takeUnsent())
		}
	}
}

// tell sends evidence to peers.
func (l *List) tell(ctx context.Context, e Evidence) {
	if len(e.Crashes)+len(e.Successes) > 0 {
		l.spreader.Tell(ctx, RPCName+".Tell", e, func() any { return &TellReply{} })
	}
}

// recordFailure records that a call to a peer failed.
func (l *List) recordFailure(address string, err error) {
	l.Record(event.Event{Code: event.QuarantineCallFailed, Detail: address + ": " + err.Error()})
}

// Digest returns a digest of the evidence; 0 without evidence.
func (l *List) Digest() uint64 {
	if len(l.current.Load().suspects) == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.digests().Sum()
}

// digests returns the digests of the evidence, by group.
func (l *List) digests() gossip.Digests {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.digests()
}

// ExchangeIfDifferent exchanges the evidence that differs, in the background, with a peer whose digest differs.
func (l *List) ExchangeIfDifferent(address string, digest uint64) {
	l.spreader.ExchangeIfDifferent(address, l.Digest(), digest, l.exchange)
}

// exchange merges the evidence that a peer has in the groups that differ, and sends it that of this instance. After a failure
// the next exchange has only the groups that still differ.
func (l *List) exchange(ctx context.Context, address string) error {
	own := l.digests()
	var learnt Evidence
	err := gossip.EachPage(ctx, func(ctx context.Context, from int) (int, error) {
		var page Evidence
		err := l.Call(ctx, address, RPCName+".Exchange", Evidence{Digests: own[:], Next: from}, &page)
		learnt.Crashes, learnt.Successes = append(learnt.Crashes, page.Crashes...), append(learnt.Successes, page.Successes...)
		learnt.Digests = page.Digests
		return page.Next, err
	})
	l.mergeReports(learnt) // all at once, since blocks follow from all evidence together
	if err != nil {
		return err
	}
	return gossip.EachPage(ctx, func(ctx context.Context, from int) (int, error) {
		page := l.evidencePage(learnt.Digests, from)
		if len(page.Crashes) == 0 {
			return 0, nil
		}
		return page.Next, l.Call(ctx, address, RPCName+".Tell", page, &TellReply{})
	})
}

// Receiver serves the RPC methods of a List.
type Receiver struct{ list *List }

// Receiver returns the net/rpc receiver to register under RPCName.
func (l *List) Receiver() *Receiver { return &Receiver{l} }

// Tell merges what is new at a peer.
func (r *Receiver) Tell(args Evidence, _ *TellReply) error {
	r.list.mergeReports(args)
	return nil
}

// Exchange merges the evidence of a peer and replies with a page of what differs from it at this instance, or with all evidence
// to a peer without digests.
func (r *Receiver) Exchange(args Evidence, reply *Evidence) error {
	r.list.mergeReports(args)
	if len(args.Digests) == 0 {
		*reply = r.list.evidence()
		return nil
	}
	*reply = r.list.evidencePage(args.Digests, args.Next)
	return nil
}

package quarantine

import (
	"context"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
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

// Evidence is what an instance tells another.
type Evidence struct {
	Crashes   []CrashReport
	Successes []SuccessReport
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
	now := l.Now()
	l.ledger.prune(now)
	var e Evidence
	for _, c := range l.ledger.crashes {
		e.Crashes = append(e.Crashes, c.report(now))
	}
	for part, at := range l.ledger.successes {
		e.Successes = append(e.Successes, success{part, at}.report(now))
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
	return l.ledger.digest()
}

// ExchangeIfDifferent exchanges all evidence, in the background, with a peer whose digest differs.
func (l *List) ExchangeIfDifferent(address string, digest uint64) {
	l.spreader.ExchangeIfDifferent(address, l.Digest(), digest, l.exchange)
}

// exchange sends all evidence to a peer and merges that of the peer.
func (l *List) exchange(ctx context.Context, address string) error {
	var reply Evidence
	if err := l.Call(ctx, address, RPCName+".Exchange", l.evidence(), &reply); err != nil {
		return err
	}
	l.mergeReports(reply)
	return nil
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

// Exchange merges all evidence of a peer and replies with that of this instance.
func (r *Receiver) Exchange(args Evidence, reply *Evidence) error {
	r.list.mergeReports(args)
	*reply = r.list.evidence()
	return nil
}

package throttle

import (
	"context"
	"slices"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/gossip"
	"teaselgate/upstream"
)

// RPCName is the name under which the methods are registered for other instances.
const RPCName = "Throttle"

// Timing of the exchange.
const (
	tellDelay   = 20 * time.Millisecond // collects statements, since several servers may be in need at once
	prunePeriod = time.Minute
)

// Statements is what an instance tells another about limits. In an exchange it is one page of them, or asks for one.
type Statements struct {
	All     []Statement
	Digests []uint64 // digests of all statements of the sender, by group; without them all are asked for
	Next    int      // group with which the page that is asked for begins, or the one after a reply; 0 if there is none
}

// TellReply is the empty reply to Statements.
type TellReply struct{}

// queue has Serve tell peers a statement. The caller holds the lock.
func (l *List) queue(now time.Time, s Statement) {
	if len(l.unsent) == 0 {
		l.unsentAt = now
	}
	l.unsent = append(l.unsent, s)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// takeUnsent returns the statements that peers have yet to be told.
func (l *List) takeUnsent() []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	out, waited := l.unsent, l.Now().Sub(l.unsentAt)
	l.unsent = nil
	for n := range out {
		out[n].Age += waited
	}
	return out
}

// Serve learns what a peer knows, and tells peers what is new until the context ends.
func (l *List) Serve(ctx context.Context) error {
	defer l.spreader.Wait()
	l.spreader.Learn(ctx, l.exchange)
	ticker := time.NewTicker(prunePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l.prune()
		case <-l.wake:
			if err := delay.For(ctx, tellDelay); err != nil {
				return err
			}
			if unsent := l.takeUnsent(); len(unsent) > 0 {
				l.spreader.Tell(ctx, RPCName+".Tell", Statements{All: unsent}, func() any { return &TellReply{} })
			}
		}
	}
}

// recordFailure records that a call to a peer failed.
func (l *List) recordFailure(address string, err error) {
	l.Record(event.Event{Code: event.LimitCallFailed, Detail: address + ": " + err.Error()})
}

// ExchangeIfDifferent exchanges the statements that differ, in the background, with a peer whose digest differs.
func (l *List) ExchangeIfDifferent(address string, digest uint64) {
	l.spreader.ExchangeIfDifferent(address, l.Digest(), digest, l.exchange)
}

// exchange merges the statements that a peer has in the groups that differ, and sends it those of this instance. After a failure
// the next exchange has only the groups that still differ.
func (l *List) exchange(ctx context.Context, address string) error {
	var theirs []uint64
	err := gossip.EachPage(ctx, func(ctx context.Context, from int) (int, error) {
		var page Statements
		own := digestStatements(l.known())
		if err := l.Call(ctx, address, RPCName+".Exchange", Statements{Digests: own[:], Next: from}, &page); err != nil {
			return 0, err
		}
		l.mergeAll(page, "from "+address)
		theirs = page.Digests
		return page.Next, nil
	})
	if err != nil {
		return err
	}
	return gossip.EachPage(ctx, func(ctx context.Context, from int) (int, error) {
		page := l.page(theirs, from)
		if len(page.All) == 0 {
			return 0, nil
		}
		return page.Next, l.Call(ctx, address, RPCName+".Tell", page, &TellReply{})
	})
}

// page returns a page of the statements in the groups that differ from other digests.
func (l *List) page(other []uint64, from int) Statements {
	all := l.known()
	digests := digestStatements(all)
	var sizes [gossip.Groups]int
	for _, s := range all {
		sizes[s.group()] += s.size()
	}
	page, next := digests.Differing(other).Page(from, sizes)
	all = slices.DeleteFunc(all, func(s Statement) bool { return !page[s.group()] })
	return Statements{All: all, Digests: digests[:], Next: next}
}

func (l *List) mergeAll(s Statements, source string) {
	passOn := l.spreader.PassesOn()
	for _, statement := range s.All {
		l.merge(statement, passOn, source)
	}
}

// Receiver serves the RPC methods of a List.
type Receiver struct{ list *List }

// Receiver returns the net/rpc receiver to register under RPCName.
func (l *List) Receiver() *Receiver { return &Receiver{l} }

// Tell merges what is new at a peer.
func (r *Receiver) Tell(args Statements, _ *TellReply) error {
	r.list.mergeAll(args, "from a peer")
	return nil
}

// Exchange merges the statements of a peer and replies with a page of those that differ at this instance, or with all to a peer
// without digests.
func (r *Receiver) Exchange(args Statements, reply *Statements) error {
	r.list.mergeAll(args, "from a peer")
	if len(args.Digests) == 0 {
		reply.All = r.list.known()
		return nil
	}
	*reply = r.list.page(args.Digests, args.Next)
	return nil
}

// Take grants a permit, or says when there is one.
func (r *Receiver) Take(args TakeArgs, reply *TakeReply) error {
	server := args.Statement.Server
	r.list.merge(args.Statement, true, "from a peer")
	r.list.spend(server, args.Sent)
	*reply = r.list.take(server, args.Use)
	reply.Statement = r.list.statement(server)
	return nil
}

// spend records requests that another instance has sent without a permit.
func (l *List) spend(server upstream.ServerKey, n float64) {
	if n <= 0 {
		return
	}
	share := l.share()
	l.mu.Lock()
	defer l.mu.Unlock()
	if rate, limited := l.rate(server); limited {
		l.permit(server).spend(l.Now(), max(rate, minRate)*share, n)
	}
}

// statement returns what is known about a server.
func (l *List) statement(server upstream.ServerKey) Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statements[server].export(server, l.Now())
}

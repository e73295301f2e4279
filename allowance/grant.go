package allowance

import "time"

// TakeArgs asks a keeper for grants and gives back what was not spent of earlier ones.
type TakeArgs struct {
	To    uint64 // incarnation of the keeper that is asked; another one refuses
	Items []TakeItem
}

// TakeItem is the request for one client account.
type TakeItem struct {
	Account string
	Need    int64 // tokens without which a grant is of no use; 0: only Back
	Want    int64 // tokens that can be used before the grant ends
	Ahead   bool  // some of them are wanted ahead of use
	Back    []ReturnedGrant
}

// ReturnedGrant closes a grant.
type ReturnedGrant struct {
	Grant  uint64
	Tokens int64 // not spent
}

// TakeReply answers each item in its place.
type TakeReply struct{ Items []GrantReply }

// GrantReply is the answer for one client account.
type GrantReply struct {
	Refusal Refusal
	Epoch   uint64
	Grant   uint64
	Tokens  int64
	Life    time.Duration // until the grant ends, counted from when the request was sent
	Wait    time.Duration // until the tokens may be there
}

// Refusal tells why a keeper made no grant.
type Refusal uint8

// The reasons of a keeper.
const (
	Granted            Refusal = iota
	NotPrimary                 // ask the other keeper
	InsufficientTokens         // the account has not enough tokens
	UnknownAccount             // the keeper does not know the account
)

// HandleTake makes grants as primary.
func (k *ShardManager) HandleTake(now time.Time, args TakeArgs) TakeReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	reply := TakeReply{Items: make([]GrantReply, len(args.Items))}
	for n, item := range args.Items {
		if args.To != k.Self.Incarnation {
			reply.Items[n].Refusal = NotPrimary
			continue
		}
		reply.Items[n] = k.takeOne(now, item)
	}
	return reply
}

func (k *ShardManager) takeOne(now time.Time, item TakeItem) GrantReply {
	shard := ShardForAccount(item.Account, len(k.seats))
	s := &k.seats[shard]
	out := GrantReply{Epoch: s.object.Epoch}
	l := k.ledgers[shard]
	if !s.acting || l == nil {
		out.Refusal, out.Wait = NotPrimary, k.untilClaim(now, s)
		return out
	}
	a, ok := k.Account(item.Account)
	if !ok {
		out.Refusal = UnknownAccount
		return out
	}
	b := l.balance(now, a, k.changes[item.Account])
	for _, back := range item.Back {
		b.giveBack(back.Grant, back.Tokens)
	}
	if item.Need <= 0 {
		return out
	}
	end := s.right(now)
	if end.IsZero() {
		out.Refusal, out.Wait = NotPrimary, s.untilRight(now)
		return out
	}
	if !item.Ahead {
		end = earlier(end, now.Add(onceLife))
	}
	k.grants++
	out.Tokens, out.Wait = b.grant(k.grants, end, item)
	if out.Tokens == 0 {
		out.Refusal = InsufficientTokens
		return out
	}
	out.Grant, out.Life = k.grants, end.Sub(now)
	return out
}

// untilRight returns the time until a new primary may grant, 0 if it can't be told.
func (s *seat) untilRight(now time.Time) time.Duration {
	if now.Before(s.quiet) {
		return s.quiet.Sub(now)
	}
	return 0
}

// untilClaim returns the time until a successor that does not hear the primary may act, 0 if the primary works.
func (k *ShardManager) untilClaim(now time.Time, s *seat) time.Duration {
	if !s.object.Successor.same(k.Self) || s.resigned || now.Sub(s.renewed) < probeDelay {
		return 0
	}
	return max(s.promise.Sub(now), retryTime)
}

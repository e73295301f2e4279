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
func (m *ShardManager) HandleTake(now time.Time, args TakeArgs) TakeReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := TakeReply{Items: make([]GrantReply, len(args.Items))}
	for n, item := range args.Items {
		if args.To != m.Self.Incarnation {
			reply.Items[n].Refusal = NotPrimary
			continue
		}
		reply.Items[n] = m.handleTakeItem(now, item)
	}
	return reply
}

func (m *ShardManager) handleTakeItem(now time.Time, item TakeItem) GrantReply {
	shard := ShardForAccount(item.Account, len(m.shards))
	s := &m.shards[shard]
	out := GrantReply{Epoch: s.assignment.Epoch}
	buckets := m.buckets[shard]
	if !s.acting || buckets == nil {
		out.Refusal, out.Wait = NotPrimary, m.untilTakeover(now, s)
		return out
	}
	a, ok := m.Account(item.Account)
	if !ok {
		out.Refusal = UnknownAccount
		return out
	}
	b := buckets.bucket(now, a, m.recentChanges[item.Account])
	for _, back := range item.Back {
		b.returnGrant(back.Grant, back.Tokens)
	}
	if item.Need <= 0 {
		return out
	}
	until := s.mayGrantUntil(now)
	if until.IsZero() {
		out.Refusal, out.Wait = NotPrimary, s.untilGrantsAllowed(now)
		return out
	}
	if !item.Ahead {
		until = earlier(until, now.Add(shortGrantDuration))
	}
	m.lastGrantID++
	out.Tokens, out.Wait = b.grant(m.lastGrantID, until, item)
	if out.Tokens == 0 {
		out.Refusal = InsufficientTokens
		return out
	}
	out.Grant, out.Life = m.lastGrantID, until.Sub(now)
	return out
}

// untilRight returns the time until a new primary may grant, 0 if it can't be told.
func (s *shardState) untilGrantsAllowed(now time.Time) time.Duration {
	if now.Before(s.noGrantsBefore) {
		return s.noGrantsBefore.Sub(now)
	}
	return 0
}

// untilClaim returns the time until a successor that does not hear the primary may act, 0 if the primary works.
func (m *ShardManager) untilTakeover(now time.Time, s *shardState) time.Duration {
	if !s.assignment.Successor.sameIncarnation(m.Self) || s.resigned || now.Sub(s.renewedAt) < silenceTimeout {
		return 0
	}
	return max(s.issuedUntil.Sub(now), retryDelay)
}

package allowance

import "time"

// TakeArgs requests grants and returns unspent tokens of earlier ones.
type TakeArgs struct {
	To    uint64 // incarnation of the receiver; another incarnation refuses
	Items []TakeItem
}

// TakeItem is the part of a TakeArgs for one client account.
type TakeItem struct {
	Account string
	Need    int64           // smallest useful grant, in tokens; 0 if the item only returns grants
	Want    int64           // largest useful grant, in tokens
	Ahead   bool            // part of the tokens is requested ahead of use
	Back    []ReturnedGrant // grants to close
}

// ReturnedGrant closes a grant and returns its unspent tokens.
type ReturnedGrant struct {
	Grant  uint64 // id of the grant
	Tokens int64  // unspent tokens
}

// TakeReply holds the reply to each item, in the order of the items.
type TakeReply struct{ Items []GrantReply }

// GrantReply is the reply for one client account.
type GrantReply struct {
	Refusal Refusal
	Epoch   uint64        // epoch of the shard
	Grant   uint64        // id of the grant
	Tokens  int64         // tokens granted
	Life    time.Duration // time from the sending of the request to the deadline of the grant
	Wait    time.Duration // time until a retry may succeed; 0 if unknown
}

// Refusal is the reason why no grant was made, or Granted.
type Refusal uint8

// Values of Refusal.
const (
	Granted            Refusal = iota // no refusal
	NotPrimary                        // the receiver doesn't act as primary; if Wait is 0, try the shard's other instance
	InsufficientTokens                // the account's bucket holds too few tokens
	UnknownAccount                    // the primary has no rule for the account
)

// HandleTake makes grants, as primary of the accounts' shards.
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
	for _, returned := range item.Back {
		b.returnGrant(returned.Grant, returned.Tokens)
	}
	if item.Need <= 0 {
		return out
	}
	until := s.latestGrantDeadline(now)
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

// untilGrantsAllowed returns the time until a new primary may make grants, or 0 if that time is unknown.
func (s *shardState) untilGrantsAllowed(now time.Time) time.Duration {
	if now.Before(s.noGrantsBefore) {
		return s.noGrantsBefore.Sub(now)
	}
	return 0
}

// untilTakeover returns the time until this instance may take over a shard as successor of a silent primary. It returns
// 0 if the primary has renewed its lease recently, or if this instance isn't the successor or has resigned.
func (m *ShardManager) untilTakeover(now time.Time, s *shardState) time.Duration {
	if !s.assignment.Successor.sameIncarnation(m.Self) || s.resigned || now.Sub(s.renewedAt) < silenceTimeout {
		return 0
	}
	return max(s.issuedUntil.Sub(now), retryDelay)
}

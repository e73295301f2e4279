package allowance

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"teaselgate/platform"
)

// Renewal is a message that asks a successor to renew its leases.
type Renewal struct {
	To   Instance
	Args RenewArgs
}

// RenewArgs asks a successor for leases on the listed shards.
type RenewArgs struct {
	From   Instance
	Echo   int64 // newest RenewReply.Echo that the primary has received; 0 if none
	Shards []RenewShard
}

// RenewShard is one shard of a renewal.
type RenewShard struct {
	Shard   int
	Epoch   uint64
	Release bool             // asks the successor to resign instead
	Version platform.Version // version of Object
	Object  *Assignment      // sent until the successor has issued a lease in this epoch
}

// RenewReply lists the shards for which no lease is issued.
type RenewReply struct {
	Echo     int64 // time of the reply in nanoseconds since the successor's clockOrigin
	Refused  []int
	Released []int // shards that the successor never takes over in this epoch
}

// planRenewal adds a shard to the renewal for its successor if the lease is due for renewal.
func (m *ShardManager) planRenewal(now time.Time, shard int, renewals map[string]*Renewal) {
	s := &m.shards[shard]
	a := s.assignment
	if s.sole || s.pendingWrite != nil || !a.Primary.sameIncarnation(m.Self) || a.Successor.Name == "" {
		return
	}
	if now.Sub(s.renewedAt) < renewInterval {
		return
	}
	s.renewedAt = now
	renewal := renewals[a.Successor.Name]
	if renewal == nil {
		renewal = &Renewal{
			To:   a.Successor,
			Args: RenewArgs{From: m.Self, Echo: m.successorClocks[incarnationKey(a.Successor)]},
		}
		renewals[a.Successor.Name] = renewal
	}
	item := RenewShard{Shard: shard, Epoch: a.Epoch, Release: s.releaseRequested}
	if !s.successorConfirmed {
		item.Version, item.Object = s.version, &a
	}
	renewal.Args.Shards = append(renewal.Args.Shards, item)
}

// alignRenewals adds shards that are due soon to the renewals for their successors, so that one message renews all
// leases between the same two instances.
func (m *ShardManager) alignRenewals(now time.Time, renewals map[string]*Renewal) {
	if len(renewals) == 0 {
		return
	}
	for i := range m.shards {
		s := &m.shards[i]
		dueSoon := now.Sub(s.renewedAt) >= renewInterval/2
		if s.acting && dueSoon && renewals[s.assignment.Successor.Name] != nil {
			s.renewedAt = time.Time{}
			m.planRenewal(now, i, renewals)
		}
	}
}

func sortedRenewals(renewals map[string]*Renewal) []Renewal {
	out := make([]Renewal, 0, len(renewals))
	for _, renewal := range renewals {
		out = append(out, *renewal)
	}
	slices.SortFunc(out, func(a, b Renewal) int { return cmp.Compare(a.To.Name, b.To.Name) })
	return out
}

func incarnationKey(instance Instance) string {
	return instance.Name + "/" + strconv.FormatUint(instance.Incarnation, 10)
}

// HandleRenew issues leases, as successor of the listed shards.
func (m *ShardManager) HandleRenew(now time.Time, args RenewArgs) RenewReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := RenewReply{Echo: int64(now.Sub(m.clockOrigin))}
	for _, item := range args.Shards {
		if item.Shard < 0 || item.Shard >= len(m.shards) {
			reply.Refused = append(reply.Refused, item.Shard)
			continue
		}
		if item.Object != nil {
			m.adoptAssignment(now, item.Shard, item.Version, *item.Object)
		}
		m.renewLease(now, args, item, &reply)
	}
	return reply
}

// renewLease issues a lease on one shard, refuses it, or resigns as the shard's successor.
func (m *ShardManager) renewLease(now time.Time, args RenewArgs, item RenewShard, reply *RenewReply) {
	s := &m.shards[item.Shard]
	a := s.assignment
	isSuccessor := a.Epoch == item.Epoch && a.Successor.sameIncarnation(m.Self) && a.Primary.sameIncarnation(args.From)
	if !isSuccessor || s.acting || s.leasesStopped || s.pendingWrite != nil || m.isGone(args.From) {
		reply.Refused = append(reply.Refused, item.Shard)
		return
	}
	if s.resigned || item.Release || m.leaving {
		s.resigned = true
		reply.Released = append(reply.Released, item.Shard)
		return
	}
	s.issuedUntil = later(s.issuedUntil, now.Add(leaseDuration))
	s.renewedAt = now
	// The primary received the echoed reply after it was sent, so its replaceableAt is later than this proofUntil.
	if args.Echo != 0 {
		s.proofUntil = later(s.proofUntil, m.clockOrigin.Add(time.Duration(args.Echo)+leaseDuration-clockMargin))
	}
}

// HandleRenewReply handles a successor's reply to a renewal that was sent at the given time.
func (m *ShardManager) HandleRenewReply(now, sent time.Time, renewal Renewal, reply RenewReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := incarnationKey(renewal.To)
	m.successorClocks[key] = max(m.successorClocks[key], reply.Echo)
	// Once echoed, the reply extends proofUntil of each shard that a later renewal to this successor lists.
	for i := range m.shards {
		s := &m.shards[i]
		if s.acting && s.assignment.Successor.sameIncarnation(renewal.To) {
			s.replaceableAt = later(s.replaceableAt, now.Add(leaseDuration+clockMargin))
		}
	}
	for _, item := range renewal.Args.Shards {
		s := &m.shards[item.Shard]
		if !s.acting || s.pendingWrite != nil || s.assignment.Epoch != item.Epoch ||
			!s.assignment.Successor.sameIncarnation(renewal.To) {
			continue
		}
		switch {
		case slices.Contains(reply.Released, item.Shard):
			m.successorResigned(item.Shard)
		case !slices.Contains(reply.Refused, item.Shard):
			s.leaseUntil = later(s.leaseUntil, sent.Add(leaseDuration-clockMargin))
			s.successorConfirmed = true
		}
	}
}

// successorResigned makes this instance act as primary without a lease, since the successor never takes over in this
// epoch.
func (m *ShardManager) successorResigned(shard int) {
	s := &m.shards[shard]
	if s.sole || s.pendingWrite != nil {
		return
	}
	s.sole, s.releaseRequested = true, false
	m.OnRoleChange(RoleChange{shard, s.assignment.Epoch, RoleSolePrimary})
}

package allowance

import "time"

// Resignation is a message that hands over a shard to its successor.
type Resignation struct {
	To   Instance
	Args ResignArgs
}

// ResignArgs hands over a shard. The sender makes no more grants for it in this epoch.
type ResignArgs struct {
	From    Instance
	Shard   int
	Epoch   uint64
	Quiet   time.Duration // time that the receiver must wait before it makes grants
	Age     time.Duration // time since all buckets were empty; startedFullAge if they started full
	Buckets []BucketState
}

// BucketState is the handed-over state of one client account's token bucket.
type BucketState struct {
	Account     string
	Level       float64 // tokens available for grants
	Outstanding int64   // tokens granted and neither returned nor expired
}

// ResignReply reports whether the successor has taken over.
type ResignReply struct{ Taken bool }

// planResignation hands over a shard to its successor if this instance is leaving or the successor ranks highest.
func (m *ShardManager) planResignation(now time.Time, shard int, plan *Plan) {
	s := &m.shards[shard]
	a := s.assignment
	if s.sole || s.pendingWrite != nil || !a.Primary.sameIncarnation(m.Self) ||
		!s.successorConfirmed || !now.Before(s.leaseUntil) {
		return
	}
	if !m.leaving && !m.isSuccessorPreferred(shard) {
		return
	}
	args := ResignArgs{From: m.Self, Shard: shard, Epoch: a.Epoch, Quiet: max(s.noGrantsBefore.Sub(now), 0)}
	if buckets := m.buckets[shard]; buckets != nil {
		m.createChangedBuckets(now, shard, buckets)
		args.Age, args.Buckets = buckets.age(now), buckets.snapshot(now)
	}
	s.acting, s.resigned, s.leaseUntil = false, true, time.Time{}
	delete(m.buckets, shard)
	plan.Resignations = append(plan.Resignations, Resignation{a.Successor, args})
	m.OnRoleChange(RoleChange{shard, a.Epoch, RoleResigned})
}

// isSuccessorPreferred reports whether the successor ranks highest for the shard.
func (m *ShardManager) isSuccessorPreferred(shard int) bool {
	rank := m.Rank(shard)
	return len(rank) > 0 && rank[0].sameIncarnation(m.shards[shard].assignment.Successor)
}

// planRebalance asks a successor to resign if another instance is preferred in its place.
func (m *ShardManager) planRebalance(now time.Time, shard int) {
	s := &m.shards[shard]
	if s.sole || s.pendingWrite != nil || !s.successorConfirmed || s.releaseRequested || m.leaving ||
		now.Sub(m.lastReleaseRequest) < releaseInterval {
		return
	}
	if best := m.successorCandidate(now, shard); best.Name != "" && !best.sameIncarnation(s.assignment.Successor) {
		s.releaseRequested = true
		m.lastReleaseRequest = now
	}
}

// HandleResign takes over a shard from a primary that has resigned.
func (m *ShardManager) HandleResign(now time.Time, args ResignArgs) ResignReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	if args.Shard < 0 || args.Shard >= len(m.shards) {
		return ResignReply{}
	}
	s := &m.shards[args.Shard]
	a := s.assignment
	if a.Epoch != args.Epoch || !a.Primary.sameIncarnation(args.From) || !a.Successor.sameIncarnation(m.Self) {
		return ResignReply{}
	}
	if s.acting || s.leasesStopped || s.resigned || s.pendingWrite != nil {
		return ResignReply{}
	}
	s.acting, s.sole, s.leasesStopped = true, true, true
	s.noGrantsBefore = now.Add(args.Quiet)
	m.buckets[args.Shard] = restoreShardBuckets(now, args.Age, args.Buckets)
	m.OnRoleChange(RoleChange{args.Shard, a.Epoch, RoleSolePrimary})
	return ResignReply{Taken: true}
}

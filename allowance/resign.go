package allowance

import "time"

// Resignation is one message that hands shards over to their successor.
type Resignation struct {
	To   Instance
	Args ResignArgs
}

// ResignArgs says that the sender grants no more tokens of a shard in this epoch.
type ResignArgs struct {
	From    Instance
	Shard   int
	Epoch   uint64
	Quiet   time.Duration // wait before the first grant
	Age     time.Duration // time since the buckets were empty
	Buckets []BucketState
}

// BucketState is the state of one client account that is handed over.
type BucketState struct {
	Account     string
	Level       float64 // tokens
	Outstanding int64   // tokens granted and not returned
}

// ResignReply tells whether the successor acts from now on.
type ResignReply struct{ Taken bool }

// planResign hands a shard over to its successor: at leaving, or to move it to the first in rank.
func (m *ShardManager) planResignation(now time.Time, shard int, plan *Plan) {
	s := &m.shards[shard]
	a := s.assignment
	if s.sole || s.pendingWrite != nil || !a.Primary.sameIncarnation(m.Self) || !s.successorConfirmed || !now.Before(s.leaseUntil) {
		return
	}
	if !m.leaving && !m.isSuccessorPreferred(shard) {
		return
	}
	args := ResignArgs{From: m.Self, Shard: shard, Epoch: a.Epoch, Quiet: max(s.noGrantsBefore.Sub(now), 0)}
	if buckets := m.buckets[shard]; buckets != nil {
		m.openChangedBuckets(now, shard, buckets)
		args.Age, args.Buckets = buckets.age(now), buckets.snapshot(now)
	}
	s.acting, s.resigned, s.leaseUntil = false, true, time.Time{}
	delete(m.buckets, shard)
	plan.Resignations = append(plan.Resignations, Resignation{a.Successor, args})
	m.OnRoleChange(RoleChange{shard, a.Epoch, RoleResigned})
}

// mayMove tells whether the successor is the first in rank and this instance is not.
func (m *ShardManager) isSuccessorPreferred(shard int) bool {
	rank := m.Rank(shard)
	return len(rank) > 0 && rank[0].sameIncarnation(m.shards[shard].assignment.Successor)
}

// planRebalance asks a successor to resign, so that a better one in rank can take its place.
func (m *ShardManager) planRebalance(now time.Time, shard int) {
	s := &m.shards[shard]
	if s.sole || s.pendingWrite != nil || !s.successorConfirmed || s.releaseRequested || m.leaving || now.Sub(m.lastReleaseRequest) < releaseInterval {
		return
	}
	if best := m.successorCandidate(now, shard); best.Name != "" && !best.sameIncarnation(s.assignment.Successor) {
		s.releaseRequested = true
		m.lastReleaseRequest = now
	}
}

// HandleResign takes over from a primary that has resigned.
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

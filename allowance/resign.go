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
func (k *ShardManager) planResign(now time.Time, shard int, plan *Plan) {
	s := &k.seats[shard]
	o := s.object
	if s.alone || s.write != nil || !o.Primary.same(k.Self) || !s.known || !now.Before(s.held) {
		return
	}
	if !k.leaving && !k.mayMove(shard) {
		return
	}
	args := ResignArgs{From: k.Self, Shard: shard, Epoch: o.Epoch, Quiet: max(s.quiet.Sub(now), 0)}
	if l := k.ledgers[shard]; l != nil {
		k.openChanged(now, shard, l)
		args.Age, args.Buckets = l.age(now), l.export(now)
	}
	s.acting, s.resigned, s.held = false, true, time.Time{}
	delete(k.ledgers, shard)
	plan.Resignations = append(plan.Resignations, Resignation{o.Successor, args})
	k.OnRoleChange(RoleChange{shard, o.Epoch, RoleResigned})
}

// mayMove tells whether the successor is the first in rank and this instance is not.
func (k *ShardManager) mayMove(shard int) bool {
	rank := k.Rank(shard)
	return len(rank) > 0 && rank[0].same(k.seats[shard].object.Successor)
}

// planRebalance asks a successor to resign, so that a better one in rank can take its place.
func (k *ShardManager) planRebalance(now time.Time, shard int) {
	s := &k.seats[shard]
	if s.alone || s.write != nil || !s.known || s.release || k.leaving || now.Sub(k.moved) < moveInterval {
		return
	}
	if best := k.candidate(now, shard); best.Name != "" && !best.same(s.object.Successor) {
		s.release = true
		k.moved = now
	}
}

// HandleResign takes over from a primary that has resigned.
func (k *ShardManager) HandleResign(now time.Time, args ResignArgs) ResignReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	if args.Shard < 0 || args.Shard >= len(k.seats) {
		return ResignReply{}
	}
	s := &k.seats[args.Shard]
	o := s.object
	if o.Epoch != args.Epoch || !o.Primary.same(args.From) || !o.Successor.same(k.Self) {
		return ResignReply{}
	}
	if s.acting || s.claimed || s.resigned || s.write != nil {
		return ResignReply{}
	}
	s.acting, s.alone, s.claimed = true, true, true
	s.quiet = now.Add(args.Quiet)
	k.ledgers[args.Shard] = load(now, args.Age, args.Buckets)
	k.OnRoleChange(RoleChange{args.Shard, o.Epoch, RoleSolePrimary})
	return ResignReply{Taken: true}
}

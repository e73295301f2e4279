package allowance

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Renewal is one message that asks a successor for its promises.
type Renewal struct {
	To   Instance
	Args RenewArgs
}

// RenewArgs asks a successor not to take over the named shards for the life of a promise.
type RenewArgs struct {
	From   Instance
	Echo   int64 // newest answer of the successor that has come back
	Shards []RenewShard
}

// RenewShard is one shard of a renewal.
type RenewShard struct {
	Shard   int
	Epoch   uint64
	Release bool        // asks the successor to resign
	Version uint64      // with Object
	Object  *Assignment // until the successor has promised in this epoch
}

// RenewReply names the shards for which no promise is given.
type RenewReply struct {
	Echo     int64 // the successor's clock, nanoseconds
	Refused  []int
	Released []int // the successor has resigned from these and never takes them over in this epoch
}

// planRenewal adds a shard to the message to its successor.
func (k *ShardManager) planRenewal(now time.Time, shard int, due map[string]*Renewal) {
	s := &k.seats[shard]
	o := s.object
	if s.alone || s.write != nil || !o.Primary.same(k.Self) || o.Successor.Name == "" {
		return
	}
	if now.Sub(s.renewed) < renewInterval {
		return
	}
	s.renewed = now
	r := due[o.Successor.Name]
	if r == nil {
		r = &Renewal{To: o.Successor, Args: RenewArgs{From: k.Self, Echo: k.echoes[echoKey(o.Successor)]}}
		due[o.Successor.Name] = r
	}
	item := RenewShard{Shard: shard, Epoch: o.Epoch, Release: s.release}
	if !s.known {
		item.Version, item.Object = s.version, &o
	}
	r.Args.Shards = append(r.Args.Shards, item)
}

// alignRenewals makes all shards of a pair of keepers renew in one message.
func (k *ShardManager) alignRenewals(now time.Time, due map[string]*Renewal) {
	if len(due) == 0 {
		return
	}
	for i := range k.seats {
		s := &k.seats[i]
		early := now.Sub(s.renewed) >= renewInterval/2
		if s.acting && early && due[s.object.Successor.Name] != nil {
			s.renewed = time.Time{}
			k.planRenewal(now, i, due)
		}
	}
}

func sortedRenewals(due map[string]*Renewal) []Renewal {
	out := make([]Renewal, 0, len(due))
	for _, r := range due {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Renewal) int { return cmp.Compare(a.To.Name, b.To.Name) })
	return out
}

func echoKey(h Instance) string { return h.Name + "/" + strconv.FormatUint(h.Incarnation, 10) }

// HandleRenew gives promises as a successor.
func (k *ShardManager) HandleRenew(now time.Time, args RenewArgs) RenewReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	reply := RenewReply{Echo: int64(now.Sub(k.origin))}
	for _, item := range args.Shards {
		if item.Shard < 0 || item.Shard >= len(k.seats) {
			reply.Refused = append(reply.Refused, item.Shard)
			continue
		}
		if item.Object != nil {
			k.adopt(now, item.Shard, item.Version, *item.Object)
		}
		k.renewOne(now, args, item, &reply)
	}
	return reply
}

func (k *ShardManager) renewOne(now time.Time, args RenewArgs, item RenewShard, reply *RenewReply) {
	s := &k.seats[item.Shard]
	o := s.object
	mine := o.Epoch == item.Epoch && o.Successor.same(k.Self) && o.Primary.same(args.From)
	if !mine || s.acting || s.claimed || s.write != nil || k.isGone(args.From) {
		reply.Refused = append(reply.Refused, item.Shard)
		return
	}
	if s.resigned || item.Release || k.leaving {
		s.resigned = true
		reply.Released = append(reply.Released, item.Shard)
		return
	}
	s.promise = later(s.promise, now.Add(promiseLife))
	s.renewed = now
	if args.Echo != 0 {
		s.window = later(s.window, k.origin.Add(time.Duration(args.Echo)+promiseLife-clockMargin))
	}
}

// HandleRenewReply takes in a successor's answer to a renewal that was sent at the given time.
func (k *ShardManager) HandleRenewReply(now, sent time.Time, r Renewal, reply RenewReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := echoKey(r.To)
	k.echoes[key] = max(k.echoes[key], reply.Echo)
	for i := range k.seats {
		s := &k.seats[i]
		if s.acting && s.object.Successor.same(r.To) {
			s.replaceable = later(s.replaceable, now.Add(promiseLife+clockMargin))
		}
	}
	for _, item := range r.Args.Shards {
		s := &k.seats[item.Shard]
		if !s.acting || s.write != nil || s.object.Epoch != item.Epoch || !s.object.Successor.same(r.To) {
			continue
		}
		switch {
		case slices.Contains(reply.Released, item.Shard):
			k.successorResigned(item.Shard)
		case !slices.Contains(reply.Refused, item.Shard):
			s.held = later(s.held, sent.Add(promiseLife-clockMargin))
			s.known = true
		}
	}
}

// successorResigned goes on alone: the successor has said that it never takes over in this epoch.
func (k *ShardManager) successorResigned(shard int) {
	s := &k.seats[shard]
	if s.alone || s.write != nil {
		return
	}
	s.alone, s.release = true, false
	k.OnRoleChange(RoleChange{shard, s.object.Epoch, RoleSolePrimary})
}

package allowance

import (
	"time"
)

// Tick tells what is to be done now. It is called at short intervals and after each message.
func (k *ShardManager) Tick(now time.Time) Plan {
	k.mu.Lock()
	defer k.mu.Unlock()
	var plan Plan
	due := make(map[string]*Renewal)
	probed := make(map[string]bool)
	others := !now.Before(k.others)
	if others {
		k.others = now.Add(othersInterval)
	}
	for i := range k.seats {
		if !others && k.isOther(i) {
			continue
		}
		k.useProof(now, i)
		k.planWrite(now, i, &plan)
		s := &k.seats[i]
		if l := k.ledgers[i]; l != nil {
			l.sweep(now)
		}
		if s.acting {
			k.planResign(now, i, &plan)
			k.planRebalance(now, i)
			k.planRenewal(now, i, due)
		}
		if h, ok := k.suspect(now, i); ok && !probed[h.Name] {
			probed[h.Name] = true
			plan.Probes = append(plan.Probes, h)
		}
	}
	k.alignRenewals(now, due)
	plan.Renewals = sortedRenewals(due)
	return plan
}

// isOther tells whether other instances keep a shard, so that this one need not look at it often.
func (k *ShardManager) isOther(shard int) bool {
	s := &k.seats[shard]
	return s.object.Epoch > 0 && !s.acting && s.write == nil && !s.object.Successor.same(k.Self)
}

// suspect returns a keeper of whose end a proof would help.
func (k *ShardManager) suspect(now time.Time, shard int) (Instance, bool) {
	s := &k.seats[shard]
	o := s.object
	if o.Epoch == 0 || s.write != nil || s.alone || now.Sub(s.probed) < probeInterval {
		return Instance{}, false
	}
	var found Instance
	switch {
	case s.acting:
		if now.After(s.held.Add(probeDelay - promiseLife)) {
			found = o.Successor
		}
	case o.Successor.same(k.Self):
		if !s.resigned && now.Sub(s.renewed) > probeDelay {
			found = o.Primary
		}
	case !o.Primary.same(k.Self) && k.first(shard):
		found = k.missing(o)
	}
	if k.isGone(found) {
		return Instance{}, false
	}
	s.probed = now
	return found, true
}

// missing returns a keeper that the membership no longer counts.
func (k *ShardManager) missing(o Assignment) Instance {
	for _, h := range []Instance{o.Primary, o.Successor} {
		if !k.isGone(h) && !k.IsLive(h) {
			return h
		}
	}
	return Instance{}
}

// first tells whether this instance is the first in rank that is not proved gone.
func (k *ShardManager) first(shard int) bool {
	for _, h := range k.Rank(shard) {
		if !k.isGone(h) {
			return h.same(k.Self)
		}
	}
	return false
}

// planWrite starts, confirms or repeats a conditional update.
func (k *ShardManager) planWrite(now time.Time, shard int, plan *Plan) {
	s := &k.seats[shard]
	if s.inFlight || s.reading || s.write == nil && !k.wantsWrite(now, shard) {
		return
	}
	if now.Sub(s.confirmed) > confirmTimeout {
		if !now.Before(s.retry) {
			s.reading = true
			plan.Reads = append(plan.Reads, shard)
		}
		return
	}
	s.confirmed = time.Time{}
	if s.write == nil {
		k.startWrite(now, shard)
	}
	s.inFlight = true
	plan.Writes = append(plan.Writes, Write{shard, s.version, *s.write})
}

// wantsWrite tells whether the rules allow this instance to write the shard's object, and it helps.
func (k *ShardManager) wantsWrite(now time.Time, shard int) bool {
	s := &k.seats[shard]
	o := s.object
	switch {
	case o.Epoch == 0:
		return s.absent && !k.leaving && k.first(shard)
	case s.acting:
		return k.primaryWantsWrite(now, shard)
	case s.resigned || o.Primary.same(k.Self):
		return false
	case o.Successor.same(k.Self):
		return !now.Before(s.promise) || k.isGone(o.Primary)
	}
	return k.isGone(o.Primary) && k.isGone(o.Successor) && !k.leaving && k.first(shard)
}

// primaryWantsWrite tells whether an acting primary may name another successor (rule 2), and there is a reason to.
func (k *ShardManager) primaryWantsWrite(now time.Time, shard int) bool {
	s := &k.seats[shard]
	o := s.object
	switch {
	case s.alone:
		return !k.isGone(k.candidate(now, shard)) || !o.Primary.same(k.Self)
	case k.isGone(o.Successor):
		return true
	}
	return !now.Before(s.held) && !now.Before(s.replaceable)
}

// candidate returns the instance to name as successor: the first in rank, so that the shard can move to it,
// or, at the first in rank itself, the next of another availability zone.
func (k *ShardManager) candidate(now time.Time, shard int) Instance {
	var other Instance
	for n, h := range k.Rank(shard) {
		if h.same(k.Self) || k.isGone(h) || now.Before(k.avoid[h.Name]) {
			continue
		}
		if n == 0 || h.Zone != k.Self.Zone {
			return h
		}
		if other.Name == "" {
			other = h
		}
	}
	return other
}

func (k *ShardManager) startWrite(now time.Time, shard int) {
	s := &k.seats[shard]
	o := s.object
	if s.acting && !s.alone && !s.known {
		k.avoid[o.Successor.Name] = now.Add(avoidTime)
	}
	s.write = &Assignment{Epoch: o.Epoch + 1, Primary: k.Self, Successor: k.candidate(now, shard), Change: k.NewWriteID()}
	s.wasAlone, s.wasBound = s.alone, s.claimed
	s.coming = now.Add(promiseLife - clockMargin)
	s.claimed, s.uncertain = true, false
	switch {
	case s.acting && s.alone:
		s.held, s.alone = s.coming, false
	case s.acting:
	case o.Epoch == 0:
	case o.Successor.same(k.Self):
		s.quiet = s.promise
	default:
		s.quiet = now.Add(promiseLife)
	}
}

// WriteResult is how an attempt at a write ended.
type WriteResult int

// The ends of an attempt at a write.
const (
	WriteApplied    WriteResult = iota // it took effect
	WriteConflict                      // another version is stored
	WriteNotApplied                    // it did not take effect
	WriteUnknown                       // it may have taken effect or may still do so
)

// HandleWriteResult takes in the end of an attempt at a write.
func (k *ShardManager) HandleWriteResult(now time.Time, w Write, end WriteResult, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &k.seats[w.Shard]
	if s.write == nil || s.write.Change != w.Object.Change {
		return
	}
	s.inFlight = false
	s.retry = now.Add(claimInterval)
	switch {
	case end == WriteApplied:
		k.adopt(now, w.Shard, version, w.Object)
	case end == WriteUnknown:
		s.uncertain = true
	case end == WriteNotApplied && !s.uncertain:
		s.write = nil
		s.alone, s.claimed = s.wasAlone, s.wasBound
	}
}

// HandleRead takes in an object of the platform that was read or watched. Version 0 means that there is none.
func (k *ShardManager) HandleRead(now time.Time, shard int, version uint64, o Assignment) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &k.seats[shard]
	s.reading, s.failures = false, 0
	if version == 0 {
		s.absent = s.object.Epoch == 0
	}
	k.adopt(now, shard, version, o)
	if o.Epoch == s.object.Epoch {
		s.version, s.confirmed = version, now
	}
}

// KnownAssignment is a shard's object as an instance knows it.
type KnownAssignment struct {
	Shard   int
	Version uint64
	Object  Assignment
}

// KnownAssignments returns all objects that are known here.
func (k *ShardManager) KnownAssignments() []KnownAssignment {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]KnownAssignment, 0, len(k.seats))
	for i := range k.seats {
		if s := &k.seats[i]; s.object.Epoch > 0 {
			out = append(out, KnownAssignment{i, s.version, s.object})
		}
	}
	return out
}

// HandleKnownAssignments takes in what another instance knows, for a start while the platform is out.
func (k *ShardManager) HandleKnownAssignments(now time.Time, objects []KnownAssignment) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, o := range objects {
		if o.Shard >= 0 && o.Shard < len(k.seats) {
			k.adopt(now, o.Shard, o.Version, o.Object)
		}
	}
}

// HandleReadFailure says that the platform could not be read.
func (k *ShardManager) HandleReadFailure(now time.Time, shard int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &k.seats[shard]
	s.reading = false
	s.retry = now.Add(min(claimInterval<<s.failures, maxClaimInterval))
	s.failures = min(s.failures+1, maxFailures)
}

// SetStartFull says that the platform held no shard of another layout, so that new buckets may be full.
func (k *ShardManager) SetStartFull(fresh bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fresh = fresh
}

// adopt takes a newer object of a shard into this instance's view.
func (k *ShardManager) adopt(now time.Time, shard int, version uint64, o Assignment) {
	s := &k.seats[shard]
	if o.Epoch <= s.object.Epoch {
		return
	}
	old := *s
	*s = seat{version: version, object: o, quiet: old.quiet, renewed: now.Add(-renewInterval)}
	switch {
	case o.Primary.same(k.Self):
		k.adoptPrimary(now, shard, &old)
	case o.Successor.same(k.Self):
		s.promise = now.Add(promiseLife)
		s.renewed = now
		delete(k.ledgers, shard)
		k.OnRoleChange(RoleChange{shard, o.Epoch, RoleSuccessor})
	default:
		delete(k.ledgers, shard)
		if old.acting || old.object.Successor.same(k.Self) {
			k.OnRoleChange(RoleChange{shard, o.Epoch, RoleNone})
		}
	}
}

func (k *ShardManager) adoptPrimary(now time.Time, shard int, old *seat) {
	s := &k.seats[shard]
	if old.write == nil || old.write.Change != s.object.Change {
		s.resigned = true // named by a write that this instance no longer knows of
		return
	}
	s.acting = true
	s.held = later(old.held, old.coming)
	s.replaceable = now.Add(promiseLife + clockMargin)
	s.alone = s.object.Successor.Name == ""
	if k.ledgers[shard] == nil {
		start := later(s.quiet, now)
		if s.object.Epoch == 1 && k.fresh {
			start = time.Time{}
		}
		k.ledgers[shard] = newLedger(start)
	}
	k.OnRoleChange(RoleChange{shard, s.object.Epoch, RolePrimary})
}

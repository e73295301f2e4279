package allowance

import (
	"time"
)

// Tick tells what is to be done now. It is called at short intervals and after each message.
func (m *ShardManager) Tick(now time.Time) Plan {
	m.mu.Lock()
	defer m.mu.Unlock()
	var plan Plan
	renewals := make(map[string]*Renewal)
	probed := make(map[string]bool)
	fullScan := !now.Before(m.nextFullScan)
	if fullScan {
		m.nextFullScan = now.Add(fullScanInterval)
	}
	for i := range m.shards {
		if !fullScan && m.isInactive(i) {
			continue
		}
		m.becomeSoleOnProof(now, i)
		m.planWrite(now, i, &plan)
		s := &m.shards[i]
		if buckets := m.buckets[i]; buckets != nil {
			buckets.sweep(now)
		}
		if s.acting {
			m.planResignation(now, i, &plan)
			m.planRebalance(now, i)
			m.planRenewal(now, i, renewals)
		}
		if instance, ok := m.probeTarget(now, i); ok && !probed[instance.Name] {
			probed[instance.Name] = true
			plan.Probes = append(plan.Probes, instance)
		}
	}
	m.alignRenewals(now, renewals)
	plan.Renewals = sortedRenewals(renewals)
	return plan
}

// isOther tells whether other instances keep a shard, so that this one need not look at it often.
func (m *ShardManager) isInactive(shard int) bool {
	s := &m.shards[shard]
	return s.assignment.Epoch > 0 && !s.acting && s.pendingWrite == nil && !s.assignment.Successor.sameIncarnation(m.Self)
}

// suspect returns a keeper of whose end a proof would help.
func (m *ShardManager) probeTarget(now time.Time, shard int) (Instance, bool) {
	s := &m.shards[shard]
	a := s.assignment
	if a.Epoch == 0 || s.pendingWrite != nil || s.sole || now.Sub(s.probedAt) < probeInterval {
		return Instance{}, false
	}
	var target Instance
	switch {
	case s.acting:
		if now.After(s.leaseUntil.Add(silenceTimeout - leaseDuration)) {
			target = a.Successor
		}
	case a.Successor.sameIncarnation(m.Self):
		if !s.resigned && now.Sub(s.renewedAt) > silenceTimeout {
			target = a.Primary
		}
	case !a.Primary.sameIncarnation(m.Self) && m.isFirstRanked(shard):
		target = m.missingMember(a)
	}
	if m.isGone(target) {
		return Instance{}, false
	}
	s.probedAt = now
	return target, true
}

// missing returns a keeper that the membership no longer counts.
func (m *ShardManager) missingMember(a Assignment) Instance {
	for _, instance := range []Instance{a.Primary, a.Successor} {
		if !m.isGone(instance) && !m.IsLive(instance) {
			return instance
		}
	}
	return Instance{}
}

// first tells whether this instance is the first in rank that is not proved gone.
func (m *ShardManager) isFirstRanked(shard int) bool {
	for _, instance := range m.Rank(shard) {
		if !m.isGone(instance) {
			return instance.sameIncarnation(m.Self)
		}
	}
	return false
}

// planWrite starts, confirms or repeats a conditional update.
func (m *ShardManager) planWrite(now time.Time, shard int, plan *Plan) {
	s := &m.shards[shard]
	if s.writeInFlight || s.readInFlight || s.pendingWrite == nil && !m.shouldWrite(now, shard) {
		return
	}
	if now.Sub(s.confirmedAt) > maxConfirmationAge {
		if !now.Before(s.retryAt) {
			s.readInFlight = true
			plan.Reads = append(plan.Reads, shard)
		}
		return
	}
	s.confirmedAt = time.Time{}
	if s.pendingWrite == nil {
		m.startWrite(now, shard)
	}
	s.writeInFlight = true
	plan.Writes = append(plan.Writes, Write{shard, s.version, *s.pendingWrite})
}

// wantsWrite tells whether the rules allow this instance to write the shard's object, and it helps.
func (m *ShardManager) shouldWrite(now time.Time, shard int) bool {
	s := &m.shards[shard]
	a := s.assignment
	switch {
	case a.Epoch == 0:
		return s.absent && !m.leaving && m.isFirstRanked(shard)
	case s.acting:
		return m.primaryShouldWrite(now, shard)
	case s.resigned || a.Primary.sameIncarnation(m.Self):
		return false
	case a.Successor.sameIncarnation(m.Self):
		return !now.Before(s.issuedUntil) || m.isGone(a.Primary)
	}
	return m.isGone(a.Primary) && m.isGone(a.Successor) && !m.leaving && m.isFirstRanked(shard)
}

// primaryWantsWrite tells whether an acting primary may name another successor (rule 2), and there is a reason to.
func (m *ShardManager) primaryShouldWrite(now time.Time, shard int) bool {
	s := &m.shards[shard]
	a := s.assignment
	switch {
	case s.sole:
		return !m.isGone(m.successorCandidate(now, shard)) || !a.Primary.sameIncarnation(m.Self)
	case m.isGone(a.Successor):
		return true
	}
	return !now.Before(s.leaseUntil) && !now.Before(s.replaceableAt)
}

// candidate returns the instance to name as successor: the first in rank, so that the shard can move to it,
// or, at the first in rank itself, the next of another availability zone.
func (m *ShardManager) successorCandidate(now time.Time, shard int) Instance {
	var fallback Instance
	for n, instance := range m.Rank(shard) {
		if instance.sameIncarnation(m.Self) || m.isGone(instance) || now.Before(m.avoidUntil[instance.Name]) {
			continue
		}
		if n == 0 || instance.Zone != m.Self.Zone {
			return instance
		}
		if fallback.Name == "" {
			fallback = instance
		}
	}
	return fallback
}

func (m *ShardManager) startWrite(now time.Time, shard int) {
	s := &m.shards[shard]
	a := s.assignment
	if s.acting && !s.sole && !s.successorConfirmed {
		m.avoidUntil[a.Successor.Name] = now.Add(avoidDuration)
	}
	s.pendingWrite = &Assignment{Epoch: a.Epoch + 1, Primary: m.Self, Successor: m.successorCandidate(now, shard), Change: m.NewWriteID()}
	s.soleBeforeWrite, s.leasesStoppedBeforeWrite = s.sole, s.leasesStopped
	s.pendingLeaseUntil = now.Add(leaseDuration - clockMargin)
	s.leasesStopped, s.writeUncertain = true, false
	switch {
	case s.acting && s.sole:
		s.leaseUntil, s.sole = s.pendingLeaseUntil, false
	case s.acting:
	case a.Epoch == 0:
	case a.Successor.sameIncarnation(m.Self):
		s.noGrantsBefore = s.issuedUntil
	default:
		s.noGrantsBefore = now.Add(leaseDuration)
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
func (m *ShardManager) HandleWriteResult(now time.Time, w Write, result WriteResult, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.shards[w.Shard]
	if s.pendingWrite == nil || s.pendingWrite.Change != w.Object.Change {
		return
	}
	s.writeInFlight = false
	s.retryAt = now.Add(writeInterval)
	switch {
	case result == WriteApplied:
		m.adoptAssignment(now, w.Shard, version, w.Object)
	case result == WriteUnknown:
		s.writeUncertain = true
	case result == WriteNotApplied && !s.writeUncertain:
		s.pendingWrite = nil
		s.sole, s.leasesStopped = s.soleBeforeWrite, s.leasesStoppedBeforeWrite
	}
}

// HandleRead takes in an object of the platform that was read or watched. Version 0 means that there is none.
func (m *ShardManager) HandleRead(now time.Time, shard int, version uint64, a Assignment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.shards[shard]
	s.readInFlight, s.readFailures = false, 0
	if version == 0 {
		s.absent = s.assignment.Epoch == 0
	}
	m.adoptAssignment(now, shard, version, a)
	if a.Epoch == s.assignment.Epoch {
		s.version, s.confirmedAt = version, now
	}
}

// KnownAssignment is a shard's object as an instance knows it.
type KnownAssignment struct {
	Shard   int
	Version uint64
	Object  Assignment
}

// KnownAssignments returns all objects that are known here.
func (m *ShardManager) KnownAssignments() []KnownAssignment {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]KnownAssignment, 0, len(m.shards))
	for i := range m.shards {
		if s := &m.shards[i]; s.assignment.Epoch > 0 {
			out = append(out, KnownAssignment{i, s.version, s.assignment})
		}
	}
	return out
}

// HandleKnownAssignments takes in what another instance knows, for a start while the platform is out.
func (m *ShardManager) HandleKnownAssignments(now time.Time, assignments []KnownAssignment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range assignments {
		if known.Shard >= 0 && known.Shard < len(m.shards) {
			m.adoptAssignment(now, known.Shard, known.Version, known.Object)
		}
	}
}

// HandleReadFailure says that the platform could not be read.
func (m *ShardManager) HandleReadFailure(now time.Time, shard int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.shards[shard]
	s.readInFlight = false
	s.retryAt = now.Add(min(writeInterval<<s.readFailures, maxReadRetryInterval))
	s.readFailures = min(s.readFailures+1, maxReadFailures)
}

// SetStartFull says that the platform held no shard of another layout, so that new buckets may be full.
func (m *ShardManager) SetStartFull(full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startFull = full
}

// adopt takes a newer object of a shard into this instance's view.
func (m *ShardManager) adoptAssignment(now time.Time, shard int, version uint64, a Assignment) {
	s := &m.shards[shard]
	if a.Epoch <= s.assignment.Epoch {
		return
	}
	old := *s
	*s = shardState{version: version, assignment: a, noGrantsBefore: old.noGrantsBefore, renewedAt: now.Add(-renewInterval)}
	switch {
	case a.Primary.sameIncarnation(m.Self):
		m.becomePrimary(now, shard, &old)
	case a.Successor.sameIncarnation(m.Self):
		s.issuedUntil = now.Add(leaseDuration)
		s.renewedAt = now
		delete(m.buckets, shard)
		m.OnRoleChange(RoleChange{shard, a.Epoch, RoleSuccessor})
	default:
		delete(m.buckets, shard)
		if old.acting || old.assignment.Successor.sameIncarnation(m.Self) {
			m.OnRoleChange(RoleChange{shard, a.Epoch, RoleNone})
		}
	}
}

func (m *ShardManager) becomePrimary(now time.Time, shard int, old *shardState) {
	s := &m.shards[shard]
	if old.pendingWrite == nil || old.pendingWrite.Change != s.assignment.Change {
		s.resigned = true // named by a write that this instance no longer knows of
		return
	}
	s.acting = true
	s.leaseUntil = later(old.leaseUntil, old.pendingLeaseUntil)
	s.replaceableAt = now.Add(leaseDuration + clockMargin)
	s.sole = s.assignment.Successor.Name == ""
	if m.buckets[shard] == nil {
		emptyAt := later(s.noGrantsBefore, now)
		if s.assignment.Epoch == 1 && m.startFull {
			emptyAt = time.Time{}
		}
		m.buckets[shard] = newShardBuckets(emptyAt)
	}
	m.OnRoleChange(RoleChange{shard, s.assignment.Epoch, RolePrimary})
}

package allowance

import (
	"time"

	"teaselgate/platform"
)

// Tick returns the actions that are due. It is called at short intervals.
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

// isInactive reports whether this instance knows a shard's assignment and neither acts as its primary, nor is its
// successor, nor writes its object. Only full scans check such a shard.
func (m *ShardManager) isInactive(shard int) bool {
	s := &m.shards[shard]
	return s.assignment.Epoch > 0 && !s.acting && s.pendingWrite == nil && !s.assignment.Successor.sameIncarnation(m.Self)
}

// probeTarget returns the primary or successor to probe, if one is due: a proof that it is gone would let this instance
// act as primary or write the assignment.
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

// missingMember returns the primary, or else the successor, if the membership doesn't list it as live and it isn't
// proved gone. If this holds for neither, it returns the zero Instance.
func (m *ShardManager) missingMember(a Assignment) Instance {
	for _, instance := range []Instance{a.Primary, a.Successor} {
		if !m.isGone(instance) && !m.IsLive(instance) {
			return instance
		}
	}
	return Instance{}
}

// isFirstRanked reports whether this instance is the highest-ranked one that is not proved gone.
func (m *ShardManager) isFirstRanked(shard int) bool {
	for _, instance := range m.Rank(shard) {
		if !m.isGone(instance) {
			return instance.sameIncarnation(m.Self)
		}
	}
	return false
}

// planWrite starts or repeats a conditional update of a shard's object. Before each attempt it reads the object, unless
// a recent read has confirmed the known version.
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

// shouldWrite reports whether this instance may write the shard's object under the takeover rules and has a reason to.
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

// primaryShouldWrite reports whether an acting primary may name another successor (takeover rule 2) and has a reason
// to.
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

// successorCandidate returns the instance to name as successor: the highest-ranked one, so that the shard can move to
// it. If that is this instance or can't be named, it returns the next one in another availability zone, or else the
// next one that can be named. The result has no name if there is none.
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

// startWrite prepares a write that names this instance primary. From then on it issues no leases, and it makes no
// grants before those of an earlier primary have expired.
func (m *ShardManager) startWrite(now time.Time, shard int) {
	s := &m.shards[shard]
	a := s.assignment
	if s.acting && !s.sole && !s.successorConfirmed {
		m.avoidUntil[a.Successor.Name] = now.Add(avoidDuration)
	}
	s.pendingWrite = &Assignment{
		Epoch:     a.Epoch + 1,
		Primary:   m.Self,
		Successor: m.successorCandidate(now, shard),
		Change:    m.NewWriteID(),
	}
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

// WriteResult is the result of an attempt to write.
type WriteResult int

// Results of an attempt to write.
const (
	WriteApplied    WriteResult = iota // the write took effect
	WriteConflict                      // another version is stored
	WriteNotApplied                    // the write did not take effect
	WriteUnknown                       // the write may have taken effect or may still do so
)

// HandleWriteResult handles the result of an attempt to write. If the write took effect, version is that of the stored
// object.
func (m *ShardManager) HandleWriteResult(now time.Time, w Write, result WriteResult, version platform.Version) {
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

// HandleRead handles an object that was read from the platform or reported by a watch. Version 0 means that the
// platform has no object for the shard.
func (m *ShardManager) HandleRead(now time.Time, shard int, version platform.Version, a Assignment) {
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

// KnownAssignment is the newest object of a shard that an instance knows.
type KnownAssignment struct {
	Shard   int
	Version platform.Version
	Object  Assignment
}

// KnownAssignments returns the objects of all shards that this instance knows.
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

// HandleKnownAssignments adopts the objects that another instance knows. It lets an instance start during a platform
// outage.
func (m *ShardManager) HandleKnownAssignments(now time.Time, assignments []KnownAssignment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range assignments {
		if known.Shard >= 0 && known.Shard < len(m.shards) {
			m.adoptAssignment(now, known.Shard, known.Version, known.Object)
		}
	}
}

// HandleReadFailure handles a failed read of the platform and delays the next one.
func (m *ShardManager) HandleReadFailure(now time.Time, shard int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.shards[shard]
	s.readInFlight = false
	s.retryAt = now.Add(min(writeInterval<<s.readFailures, maxReadRetryInterval))
	s.readFailures = min(s.readFailures+1, maxReadFailures)
}

// SetStartFull sets whether the buckets of a shard without an earlier primary start full. That is safe only if the
// platform holds no objects of another layout, that is, of another number of shards.
func (m *ShardManager) SetStartFull(full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startFull = full
}

// adoptAssignment replaces the known object of a shard by a newer one and takes on the role that it assigns.
func (m *ShardManager) adoptAssignment(now time.Time, shard int, version platform.Version, a Assignment) {
	s := &m.shards[shard]
	if a.Epoch <= s.assignment.Epoch {
		return
	}
	old := *s
	*s = shardState{
		version: version, assignment: a, noGrantsBefore: old.noGrantsBefore, renewedAt: now.Add(-renewInterval),
	}
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

// becomePrimary makes this instance act as primary if it still knows the write that assigned the shard to it.
func (m *ShardManager) becomePrimary(now time.Time, shard int, old *shardState) {
	s := &m.shards[shard]
	if old.pendingWrite == nil || old.pendingWrite.Change != s.assignment.Change {
		s.resigned = true // assigned by a write that this instance no longer knows
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

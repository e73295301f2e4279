package allowance

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"teaselgate/rule"
)

// ShardManager holds an instance's part in all shards. It does no input or output: time is passed in, messages are
// passed in and out as values. Its exported fields are set before use.
type ShardManager struct {
	Self         Instance
	Account      func(name string) (rule.Account, bool)
	Rank         func(shard int) []Instance // some live instances, the one to hold the shard first
	IsLive       func(Instance) bool        // whether the membership counts the instance
	NewWriteID   func() string              // makes the unique id of a write
	OnRoleChange func(RoleChange)           // told of each change of this instance's own part

	mu                 sync.Mutex
	shards             []shardState
	buckets            map[int]*shardBuckets    // of the shards in which this instance acts
	goneIncarnations   map[string]uint64        // the newest incarnation proved gone, by name
	successorClocks    map[string]int64         // newest answer of each successor, by its own clock
	avoidUntil         map[string]time.Time     // instances that were named and did not promise, until when
	nextFullScan       time.Time                // when the shards of others are looked at again
	lastReleaseRequest time.Time                // when the last shard was given away
	clockOrigin        time.Time                // zero of this instance's clock in messages
	startFull          bool                     // the platform had no shard of another layout: new buckets are full
	recentChanges      map[string]*recentChange // client accounts whose rule changed lately
	lastGrantID        uint64                   // number of the newest grant
	leaving            bool
}

// RoleChange is a change of an instance's part in a shard.
type RoleChange struct {
	Shard int
	Epoch uint64
	Role  Role
}

// Role is an instance's part in a shard.
type Role string

// The parts in a shard.
const (
	RolePrimary     Role = "primary"
	RoleSuccessor   Role = "successor"
	RoleSolePrimary Role = "alone"
	RoleResigned    Role = "resigned"
	RoleNone        Role = "none"
	RoleStopped     Role = "stopped"
)

// NewShardManager returns a keeper without any shard.
func NewShardManager(self Instance, shards int, now time.Time) *ShardManager {
	return &ShardManager{
		Self:             self,
		Account:          func(string) (rule.Account, bool) { return rule.Account{}, false },
		Rank:             func(int) []Instance { return nil },
		IsLive:           func(Instance) bool { return true },
		NewWriteID:       uuid.NewString,
		OnRoleChange:     func(RoleChange) {},
		shards:           make([]shardState, shards),
		buckets:          make(map[int]*shardBuckets),
		goneIncarnations: make(map[string]uint64),
		successorClocks:  make(map[string]int64),
		recentChanges:    make(map[string]*recentChange),
		avoidUntil:       make(map[string]time.Time),
		clockOrigin:      now.Add(-time.Hour),
	}
}

// Plan is what an instance is to do next.
type Plan struct {
	Reads        []int // shards to read from the platform
	Writes       []Write
	Renewals     []Renewal
	Resignations []Resignation
	Probes       []Instance // instances whose address is to be tried
}

// Write is one conditional update of a shard's object.
type Write struct {
	Shard   int
	Version uint64
	Object  Assignment
}

// Shards returns the number of shards.
func (m *ShardManager) Shards() int { return len(m.shards) }

// Assignment returns the object of a shard as known here.
func (m *ShardManager) Assignment(shard int) Assignment {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards[shard].assignment
}

// Ready tells whether the keepers of all shards are known.
func (m *ShardManager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.shards {
		if m.shards[i].assignment.Epoch == 0 {
			return false
		}
	}
	return true
}

// GrantingShards returns the number of shards in which this instance may grant.
func (m *ShardManager) GrantingShards(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for i := range m.shards {
		if !m.shards[i].mayGrantUntil(now).IsZero() {
			n++
		}
	}
	return n
}

// Idle tells whether this instance has no part in any shard.
func (m *ShardManager) Idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.shards {
		s := &m.shards[i]
		if s.acting || s.assignment.Successor.sameIncarnation(m.Self) && !s.resigned {
			return false
		}
	}
	return true
}

// Leave makes the instance hand its shards over from the next Tick on.
func (m *ShardManager) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// MarkGone takes in a proof that an incarnation has ended. Older incarnations have ended too.
func (m *ShardManager) MarkGone(now time.Time, instance Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if instance.Name == "" || instance.sameIncarnation(m.Self) || m.goneIncarnations[instance.Name] >= instance.Incarnation {
		return
	}
	m.goneIncarnations[instance.Name] = instance.Incarnation
	for i := range m.shards {
		m.becomeSoleOnProof(now, i)
	}
}

// Evict takes in an operator's word that an instance is gone. The instance itself stops all granting.
func (m *ShardManager) Evict(now time.Time, instance Instance) {
	if !instance.sameIncarnation(m.Self) {
		m.MarkGone(now, instance)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	for i := range m.shards {
		s := &m.shards[i]
		s.acting, s.sole, s.resigned, s.leasesStopped = false, false, true, true
	}
}

func (m *ShardManager) isGone(instance Instance) bool {
	return instance.Name == "" || m.goneIncarnations[instance.Name] >= instance.Incarnation && instance.Incarnation > 0
}

// useProof goes on alone if a proof allows it (rule 3).
func (m *ShardManager) becomeSoleOnProof(now time.Time, shard int) {
	s := &m.shards[shard]
	if s.assignment.Epoch == 0 || s.pendingWrite != nil || s.sole {
		return
	}
	a := s.assignment
	switch {
	case s.acting && a.Primary.sameIncarnation(m.Self) && m.isGone(a.Successor) && now.Before(s.leaseUntil):
		s.sole = true
		m.OnRoleChange(RoleChange{shard, a.Epoch, RoleSolePrimary})
	case !s.acting && !s.resigned && !s.leasesStopped && a.Successor.sameIncarnation(m.Self) && m.isGone(a.Primary) && now.Before(s.proofUntil):
		s.acting, s.sole, s.leasesStopped = true, true, true
		s.noGrantsBefore = s.issuedUntil
		m.buckets[shard] = newShardBuckets(later(s.noGrantsBefore, now))
		m.OnRoleChange(RoleChange{shard, a.Epoch, RoleSolePrimary})
	}
}

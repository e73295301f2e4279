package allowance

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"teaselgate/platform"
	"teaselgate/rule"
)

// ShardManager manages an instance's roles in all shards. It does no input or output: the current time is passed in,
// messages are passed in and out as values. The exported fields are set before use.
type ShardManager struct {
	Self         Instance
	Account      func(name string) (rule.Account, bool) // returns the rule of a client account
	Rank         func(shard int) []Instance             // highest-ranked live instances, the preferred primary first
	IsLive       func(Instance) bool                    // reports whether the membership lists the instance as live
	NewWriteID   func() string                          // returns a unique id for a write
	OnRoleChange func(RoleChange)                       // called for each change of this instance's roles

	mu                 sync.Mutex
	shards             []shardState
	buckets            map[int]*shardBuckets    // buckets of the shards for which this instance acts as primary
	goneIncarnations   map[string]uint64        // newest incarnation proved gone, by instance name
	successorClocks    map[string]int64         // newest RenewReply.Echo of each successor, by incarnationKey
	avoidUntil         map[string]time.Time     // time until which an instance isn't named successor, by name
	nextFullScan       time.Time                // time of the next Tick that includes inactive shards
	lastReleaseRequest time.Time                // time of the last request to a successor to resign
	clockOrigin        time.Time                // origin of RenewReply.Echo; before the start, since 0 means none
	startFull          bool                     // see SetStartFull
	recentChanges      map[string]*recentChange // recent rule changes, by client account
	lastGrantID        uint64                   // id of the newest grant
	leaving            bool                     // the instance resigns its roles and claims no shards of others
}

// RoleChange is a change of an instance's role in a shard.
type RoleChange struct {
	Shard int
	Epoch uint64
	Role  Role
}

// Role is an instance's role in a shard.
type Role string

// Roles in a shard.
const (
	RolePrimary     Role = "primary"
	RoleSuccessor   Role = "successor"
	RoleSolePrimary Role = "alone"
	RoleResigned    Role = "resigned"
	RoleNone        Role = "none"
	RoleStopped     Role = "stopped"
)

// NewShardManager returns a shard manager without a role in any shard.
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

// Plan holds the actions that an instance must carry out.
type Plan struct {
	Reads        []int // shards to read from the platform
	Writes       []Write
	Renewals     []Renewal
	Resignations []Resignation
	Probes       []Instance // instances to probe
}

// Write is a conditional update of a shard's object.
type Write struct {
	Shard   int
	Version platform.Version // version that the update replaces; 0 to create the object
	Object  Assignment
}

// Shards returns the number of shards.
func (m *ShardManager) Shards() int { return len(m.shards) }

// Assignment returns the newest known object of a shard.
func (m *ShardManager) Assignment(shard int) Assignment {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards[shard].assignment
}

// Ready reports whether the assignments of all shards are known.
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

// GrantingShards returns the number of shards for which this instance may make grants.
func (m *ShardManager) GrantingShards(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for i := range m.shards {
		if !m.shards[i].latestGrantDeadline(now).IsZero() {
			n++
		}
	}
	return n
}

// Idle reports whether this instance acts as primary of no shard and, unless it has resigned, is successor of none.
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

// Leave makes the instance hand over its shards from the next Tick on.
func (m *ShardManager) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// MarkGone records a proof that an incarnation is gone. Older incarnations of the instance are then gone, too.
func (m *ShardManager) MarkGone(now time.Time, instance Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if instance.Name == "" || instance.sameIncarnation(m.Self) ||
		m.goneIncarnations[instance.Name] >= instance.Incarnation {
		return
	}
	m.goneIncarnations[instance.Name] = instance.Incarnation
	for i := range m.shards {
		m.becomeSoleOnProof(now, i)
	}
}

// Evict records an operator's declaration that an instance is gone. The instance itself stops making grants.
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

// isGone reports whether an incarnation is proved gone. An empty name, which stands for no instance, counts as gone.
func (m *ShardManager) isGone(instance Instance) bool {
	return instance.Name == "" || m.goneIncarnations[instance.Name] >= instance.Incarnation && instance.Incarnation > 0
}

// becomeSoleOnProof makes this instance act as primary without a lease if the shard's other instance is proved gone
// (takeover rule 3).
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
	case !s.acting && !s.resigned && !s.leasesStopped && a.Successor.sameIncarnation(m.Self) &&
		m.isGone(a.Primary) && now.Before(s.proofUntil):
		s.acting, s.sole, s.leasesStopped = true, true, true
		s.noGrantsBefore = s.issuedUntil
		m.buckets[shard] = newShardBuckets(later(s.noGrantsBefore, now))
		m.OnRoleChange(RoleChange{shard, a.Epoch, RoleSolePrimary})
	}
}

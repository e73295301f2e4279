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

	mu      sync.Mutex
	seats   []seat
	ledgers map[int]*ledger      // of the shards in which this instance acts
	gone    map[string]uint64    // the newest incarnation proved gone, by name
	echoes  map[string]int64     // newest answer of each successor, by its own clock
	avoid   map[string]time.Time // instances that were named and did not promise, until when
	others  time.Time            // when the shards of others are looked at again
	moved   time.Time            // when the last shard was given away
	origin  time.Time            // zero of this instance's clock in messages
	fresh   bool                 // the platform had no shard of another layout: new buckets are full
	changes map[string]*changed  // client accounts whose rule changed lately
	grants  uint64               // number of the newest grant
	leaving bool
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
		Self:         self,
		Account:      func(string) (rule.Account, bool) { return rule.Account{}, false },
		Rank:         func(int) []Instance { return nil },
		IsLive:       func(Instance) bool { return true },
		NewWriteID:   uuid.NewString,
		OnRoleChange: func(RoleChange) {},
		seats:        make([]seat, shards),
		ledgers:      make(map[int]*ledger),
		gone:         make(map[string]uint64),
		echoes:       make(map[string]int64),
		changes:      make(map[string]*changed),
		avoid:        make(map[string]time.Time),
		origin:       now.Add(-time.Hour),
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
func (k *ShardManager) Shards() int { return len(k.seats) }

// Assignment returns the object of a shard as known here.
func (k *ShardManager) Assignment(shard int) Assignment {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.seats[shard].object
}

// Ready tells whether the keepers of all shards are known.
func (k *ShardManager) Ready() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.seats {
		if k.seats[i].object.Epoch == 0 {
			return false
		}
	}
	return true
}

// GrantingShards returns the number of shards in which this instance may grant.
func (k *ShardManager) GrantingShards(now time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for i := range k.seats {
		if !k.seats[i].right(now).IsZero() {
			n++
		}
	}
	return n
}

// Idle tells whether this instance has no part in any shard.
func (k *ShardManager) Idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.seats {
		s := &k.seats[i]
		if s.acting || s.object.Successor.same(k.Self) && !s.resigned {
			return false
		}
	}
	return true
}

// Leave makes the instance hand its shards over from the next Tick on.
func (k *ShardManager) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
}

// MarkGone takes in a proof that an incarnation has ended. Older incarnations have ended too.
func (k *ShardManager) MarkGone(now time.Time, h Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h.Name == "" || h.same(k.Self) || k.gone[h.Name] >= h.Incarnation {
		return
	}
	k.gone[h.Name] = h.Incarnation
	for i := range k.seats {
		k.useProof(now, i)
	}
}

// Evict takes in an operator's word that an instance is gone. The instance itself stops all granting.
func (k *ShardManager) Evict(now time.Time, h Instance) {
	if !h.same(k.Self) {
		k.MarkGone(now, h)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
	for i := range k.seats {
		s := &k.seats[i]
		s.acting, s.alone, s.resigned, s.claimed = false, false, true, true
	}
}

func (k *ShardManager) isGone(h Instance) bool {
	return h.Name == "" || k.gone[h.Name] >= h.Incarnation && h.Incarnation > 0
}

// useProof goes on alone if a proof allows it (rule 3).
func (k *ShardManager) useProof(now time.Time, shard int) {
	s := &k.seats[shard]
	if s.object.Epoch == 0 || s.write != nil || s.alone {
		return
	}
	o := s.object
	switch {
	case s.acting && o.Primary.same(k.Self) && k.isGone(o.Successor) && now.Before(s.held):
		s.alone = true
		k.OnRoleChange(RoleChange{shard, o.Epoch, RoleSolePrimary})
	case !s.acting && !s.resigned && !s.claimed && o.Successor.same(k.Self) && k.isGone(o.Primary) && now.Before(s.window):
		s.acting, s.alone, s.claimed = true, true, true
		s.quiet = s.promise
		k.ledgers[shard] = newLedger(later(s.quiet, now))
		k.OnRoleChange(RoleChange{shard, o.Epoch, RoleSolePrimary})
	}
}

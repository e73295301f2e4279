package allowance

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShardKind is the kind of the platform's objects that name the keepers of the shards.
const ShardKind = "shard"

// Timing of promises and grants.
const (
	leaseDuration      = time.Second            // a grant ends with the promise that it was given under
	shortGrantDuration = 100 * time.Millisecond // of a grant for requests that wait for it: it is spent as it comes
	renewInterval      = 250 * time.Millisecond // between two renewals of a promise
	clockMargin        = 10 * time.Millisecond  // allowance for clocks of different speed
	silenceTimeout     = 350 * time.Millisecond // silence after which a successor looks for a proof
	probeInterval      = 100 * time.Millisecond
	writeInterval      = 100 * time.Millisecond // between two tries to write
	avoidDuration      = 10 * time.Second       // for which an instance that did not promise is not named again
	fullScanInterval   = 500 * time.Millisecond // between two looks at the shards of other instances
	releaseInterval    = 50 * time.Millisecond  // between two shards that an instance gives away
	maxConfirmationAge = 500 * time.Millisecond // age of a reading that a write may follow
)

// Limits of the delay between two readings of the platform while it fails.
const (
	maxReadRetryInterval = 2 * time.Second
	maxReadFailures      = 5
)

// Instance is one incarnation of an instance.
type Instance struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Peer        string `json:"peer"` // address for calls between instances
}

// same tells whether both are one incarnation.
func (i Instance) sameIncarnation(other Instance) bool {
	return i.Name == other.Name && i.Incarnation == other.Incarnation
}

// Assignment is the object at the platform that names a shard's keepers.
type Assignment struct {
	Epoch     uint64   `json:"epoch"` // rises with each write
	Primary   Instance `json:"primary"`
	Successor Instance `json:"successor"` // empty name: none
	Change    string   `json:"change"`    // unique id of the write
}

// ShardForAccount returns the shard of a client account.
func ShardForAccount(account string, shards int) int {
	return int(xxhash.Sum64String(account) & uint64(shards-1))
}

// ShardName names the platform's object of a shard.
func ShardName(shard, shards int) string { return fmt.Sprintf("%d.%d", shards, shard) }

// seat is what an instance knows of one shard and of its own part in it. All times are deadlines.
type shardState struct {
	version    uint64     // of the object at the platform
	assignment Assignment // epoch 0: no object is known
	absent     bool       // the platform has no object

	acting        bool // acts as primary in the epoch of the object
	sole          bool // needs no promise: no other keeper can act
	resigned      bool
	leasesStopped bool // gives no more promises in this epoch

	leaseUntil         time.Time // end of the promise held
	replaceableAt      time.Time // the successor can't use a proof after this
	issuedUntil        time.Time // end of the promise given
	proofUntil         time.Time // a proof that the primary is gone counts until then
	noGrantsBefore     time.Time // the last grant of others has expired by then
	renewedAt          time.Time // when the promise was last asked for, at the primary, or given, at the successor
	successorConfirmed bool      // the successor has promised in this epoch
	releaseRequested   bool      // the successor is asked to resign

	pendingWrite             *Assignment // a write that may still take effect
	soleBeforeWrite          bool        // before the write
	leasesStoppedBeforeWrite bool        // claimed before the write
	pendingLeaseUntil        time.Time   // end of the promise that the write's successor makes at first sight
	writeUncertain           bool        // an attempt at the write has no known end
	writeInFlight            bool        // an attempt is on its way
	readInFlight             bool        // a reading of the platform is on its way
	readFailures             int         // readings that failed in a row
	retryAt                  time.Time   // when the platform may be called again
	probedAt                 time.Time   // when the other keeper's address was last tried
	confirmedAt              time.Time   // when the platform last answered with this epoch
}

// right returns the end of the right to grant; a zero time means none.
func (s *shardState) mayGrantUntil(now time.Time) time.Time {
	if !s.acting || now.Before(s.noGrantsBefore) {
		return time.Time{}
	}
	if s.sole {
		return now.Add(leaseDuration)
	}
	if now.Before(s.leaseUntil) {
		return s.leaseUntil
	}
	return time.Time{}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

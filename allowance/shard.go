package allowance

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselgate/platform"
)

// ShardKind is the kind of the platform's objects that hold the assignments of the shards.
const ShardKind = "shard"

// Timing of leases and grants.
const (
	leaseDuration      = time.Second            // duration of a lease; a grant under it ends no later than the lease
	shortGrantDuration = 100 * time.Millisecond // longest duration of a grant that isn't made ahead of use
	renewInterval      = 250 * time.Millisecond // interval between renewals of a lease
	clockMargin        = 10 * time.Millisecond  // tolerance for clocks that run at different speeds
	silenceTimeout     = 350 * time.Millisecond // time without renewals after which the other instance is probed
	probeInterval      = 100 * time.Millisecond // interval between probes of the same shard's primary or successor
	writeInterval      = 100 * time.Millisecond // delay of the next read after an attempt to write or a first failed read
	avoidDuration      = 10 * time.Second       // time for which an instance that issued no lease isn't named successor
	fullScanInterval   = 500 * time.Millisecond // interval between checks of inactive shards
	releaseInterval    = 50 * time.Millisecond  // interval between requests to successors to resign
	maxConfirmationAge = 500 * time.Millisecond // longest time between a read and the write that follows it
)

// Limits of the delay between reads of the platform while they fail.
const (
	maxReadRetryInterval = 2 * time.Second
	maxReadFailures      = 5 // failures in a row after which the delay is no longer doubled
)

// Instance is one incarnation of an instance. Each restart begins a new incarnation with a higher number.
type Instance struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Peer        string `json:"peer"` // address for calls from other instances
}

// sameIncarnation reports whether i and other are the same incarnation of the same instance.
func (i Instance) sameIncarnation(other Instance) bool {
	return i.Name == other.Name && i.Incarnation == other.Incarnation
}

// Assignment is the platform's object that names the primary and the successor of a shard.
type Assignment struct {
	Epoch     uint64   `json:"epoch"` // incremented by each write
	Primary   Instance `json:"primary"`
	Successor Instance `json:"successor"` // empty name if there is none
	Change    string   `json:"change"`    // unique id of the write
}

// ShardForAccount returns the shard of a client account.
func ShardForAccount(account string, shards int) int {
	return int(xxhash.Sum64String(account) & uint64(shards-1))
}

// ShardName returns the name of the platform's object of a shard.
func ShardName(shard, shards int) string { return fmt.Sprintf("%d.%d", shards, shard) }

// shardState is an instance's knowledge of one shard and its role in it.
type shardState struct {
	version    platform.Version // version of the object at the platform
	assignment Assignment       // newest known object; epoch 0 if none
	absent     bool             // the platform has no object of the shard

	acting        bool // the instance acts as primary in this epoch
	sole          bool // the instance needs no lease, since no other one can act
	resigned      bool // the instance never acts in this epoch again
	leasesStopped bool // the instance issues no more leases in this epoch

	leaseUntil         time.Time // end of the lease that this instance holds as primary
	replaceableAt      time.Time // time from which the successor can't act on a proof and may be replaced
	issuedUntil        time.Time // end of the lease that this instance issued as successor
	proofUntil         time.Time // time until which the successor may act on a proof that the primary is gone
	noGrantsBefore     time.Time // start of grants; those of an earlier primary have expired by then
	renewedAt          time.Time // time of the last renewal: sent, at the primary; received, at the successor
	successorConfirmed bool      // the successor has issued a lease in this epoch
	releaseRequested   bool      // renewals ask the successor to resign

	pendingWrite             *Assignment // write that may still take effect; nil if none
	soleBeforeWrite          bool        // value of sole before pendingWrite
	leasesStoppedBeforeWrite bool        // value of leasesStopped before pendingWrite
	pendingLeaseUntil        time.Time   // end of the lease that the successor in pendingWrite issues on reading it
	writeUncertain           bool        // the result of an attempt at pendingWrite is unknown
	writeInFlight            bool        // an attempt at pendingWrite is in flight
	readInFlight             bool        // a read of the object is in flight
	readFailures             int         // reads that failed in a row, up to maxReadFailures
	retryAt                  time.Time   // earliest time of the next read
	probedAt                 time.Time   // time of the last probe for this shard
	confirmedAt              time.Time   // time at which a read returned this epoch; zero once a write has relied on it
}

// latestGrantDeadline returns the latest deadline of grants that this instance makes now, or the zero time if it may
// make none.
func (s *shardState) latestGrantDeadline(now time.Time) time.Time {
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

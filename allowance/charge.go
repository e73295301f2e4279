// Package allowance enforces the rate and burst of each client account over all instances of the fleet. Accounts are
// divided into shards. The primary of a shard owns the token buckets of its accounts; each instance requests grants of
// tokens from it and spends them on the requests that it admits. The successor of a shard issues leases to the primary
// and takes over when the primary fails. The platform stores which instances are primary and successor of each shard.
//
// These takeover rules make sure that no two instances grant the same tokens. An instance is one incarnation here: a
// restarted one has none of the earlier one's roles and leases. It is proved gone if a newer incarnation runs, if its
// host refuses connections to its port, or if an operator has evicted it.
//
//  1. A successor names itself primary only after the lease that it issued has expired, with a proof that the primary
//     is gone, or while it acts by rule 3. It issues no leases from the start of this write on, unless the write is
//     known not to have taken effect. If it doesn't act by rule 3, it makes grants only when the write has taken effect
//     and the grants of the old primary have expired.
//  2. A primary makes grants only while it holds a lease, or by rule 3. It names another successor only when the old
//     one is gone or has resigned, or when the lease has expired and the old one can no longer act on a proof. It then
//     needs a lease from the new one, and accepts none from the old one while the write may still take effect.
//  3. The primary or the successor of a shard acts without a lease if it has a proof that the other one is gone, or
//     after the other one has resigned. So does a primary that has named no successor. A proof counts at the primary
//     until its lease expires. At the successor it counts for a lease duration after the sending of its newest reply
//     that the primary has echoed, and the successor makes grants only when those of the old primary have expired. A
//     primary that resigns hands over its buckets with the outstanding grants, and any wait for grants of an earlier
//     primary. An instance that has resigned never acts under the same assignment again.
//  4. A lease runs from the sending of the renewal at the primary, and from its receipt at the successor. The first
//     lease under an assignment runs from the start of the write at the primary, and from the reading of the assignment
//     at the successor.
//  5. All writes to the platform are conditional on the stored version.
//
// An instance that is neither primary nor successor may name itself primary only with proofs that both are gone, or if
// the shard has no assignment yet. In the first case it makes no grants for a lease duration after the start of the
// write.
package allowance

import (
	"sync"

	"github.com/joomcode/errorx"
)

var (
	namespace   = errorx.NewNamespace("allowance")
	exhausted   = namespace.NewType("exhausted")
	unavailable = namespace.NewType("unavailable")

	// ErrExhausted is returned if the account has too few tokens left.
	ErrExhausted = exhausted.NewWithNoMessage()
	// ErrUnavailable is returned if no instance has granted tokens of the account in time.
	ErrUnavailable = unavailable.NewWithNoMessage()
)

// Charge is the number of tokens that an admitted request has taken from its account.
type Charge struct {
	settle func(used int64)
	once   sync.Once
}

// Settle returns the tokens that the request did not use. Only the first call has an effect.
func (c *Charge) Settle(used int64) {
	if c.settle != nil {
		c.once.Do(func() { c.settle(used) })
	}
}

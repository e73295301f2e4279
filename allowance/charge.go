// Package allowance holds each client account to its rate and burst over the whole fleet.
package allowance

import (
	"sync"

	"github.com/joomcode/errorx"
)

var (
	namespace   = errorx.NewNamespace("allowance")
	exhausted   = namespace.NewType("exhausted")
	unavailable = namespace.NewType("unavailable")

	// ErrExhausted says that the account has no tokens left now.
	ErrExhausted = exhausted.NewWithNoMessage()
	// ErrUnavailable says that no keeper of the account's shard answered in time.
	ErrUnavailable = unavailable.NewWithNoMessage()
)

// Charge is what an admitted request took from its account.
type Charge struct {
	settle func(used int64)
	once   sync.Once
}

// Settle gives back what the request did not use. Only the first call counts.
func (c *Charge) Settle(used int64) {
	if c.settle != nil {
		c.once.Do(func() { c.settle(used) })
	}
}

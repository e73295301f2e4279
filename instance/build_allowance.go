package instance

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"teaselgate/allowance"
	"teaselgate/rule"
)

// admitFunc charges tokens to a client account; with ErrExhausted comes the time to come back.
type admitFunc func(context.Context, rule.Account, int64) (*allowance.Charge, time.Time, error)

// buildAllowance makes the part that holds client accounts to their rates.
func (i *Instance) buildAllowance(*suture.Supervisor) error {
	static := allowance.NewStatic(func() int { return len(i.fleet.Live()) })
	i.admit = static.Take
	return nil
}

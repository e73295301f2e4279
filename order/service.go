package order

import (
	"context"
	"sync"
	"time"

	"teaselgate/rule"
)

// Controllers runs a holder for each group of the rules. Its exported fields are set before Serve.
type Controllers struct {
	Rules         func() *rule.Set // as written, without records
	NewController func(group string) *GroupController
}

// Serve starts and stops holders as the groups change, until the context ends.
func (s *Controllers) Serve(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	stops := make(map[string]context.CancelFunc)
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		wanted := make(map[string]bool)
		for _, group := range Groups(s.Rules()) {
			wanted[group.Name] = true
			if stops[group.Name] != nil {
				continue
			}
			holderCtx, stop := context.WithCancel(ctx)
			stops[group.Name] = stop
			holder := s.NewController(group.Name)
			running.Go(func() { holder.Run(holderCtx) })
		}
		for name, stop := range stops {
			if !wanted[name] {
				stop()
				delete(stops, name)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

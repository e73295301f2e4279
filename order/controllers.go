package order

import (
	"context"
	"sync"
	"time"

	"teaselgate/rule"
)

// Controllers runs a GroupController for each group of the rules. Its exported fields are set before Serve.
type Controllers struct {
	Rules         func() *rule.Set // rules as written, without group records applied
	NewController func(group string) *GroupController
}

// Serve starts and stops controllers as the groups change, until the context ends.
func (s *Controllers) Serve(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	cancels := make(map[string]context.CancelFunc)
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		wanted := make(map[string]bool)
		for _, group := range Groups(s.Rules()) {
			wanted[group.Name] = true
			if cancels[group.Name] != nil {
				continue
			}
			controllerCtx, cancel := context.WithCancel(ctx)
			cancels[group.Name] = cancel
			controller := s.NewController(group.Name)
			running.Go(func() { controller.Run(controllerCtx) })
		}
		for name, cancel := range cancels {
			if !wanted[name] {
				cancel()
				delete(cancels, name)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

package order

import (
	"context"
	"sync"
	"time"

	"teaselgate/rule"
)

// Service runs a holder for each group of the rules. Its exported fields are set before Serve.
type Service struct {
	Rules     func() *rule.Set // as written, without records
	NewHolder func(group string) *Holder
}

// Serve starts and stops holders as the groups change, until the context ends.
func (s *Service) Serve(ctx context.Context) error {
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
			holder := s.NewHolder(group.Name)
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

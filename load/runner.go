package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"teaselgate/delay"
	"teaselgate/rule"
	"teaselgate/standin/site"
)

// Run is one run of a profile, on a stand-in site of its own or on a running fleet. Its exported fields are set before
// Do or DoOnTarget.
type Run struct {
	Profile   Profile
	Workload  Workload
	Placement rule.PlacementPolicy
	Fault     Fault
	Headroom  float64 // rate limit of each account relative to its share of the capacity
}

// Do starts a stand-in site, sends the workload, stops the site and summarizes the results.
func (r Run) Do(ctx context.Context) (Summary, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	config := r.Profile.siteConfig(r.Placement, r.Workload.TimeScale, r.Headroom)
	config.Log = newDiscardLogger()
	config.BalancerDelay = balancerDelay
	s, err := site.Start(ctx, config)
	if err != nil {
		return Summary{}, err
	}
	caller := NewCaller(s.Keys(), r.Profile.NetworkDelay, r.Workload.TimeScale)
	lb := newBalancer(s.Addresses())
	pollCtx, stopPolling := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { lb.pollReadiness(pollCtx, s.Instances()) })
	background.Go(func() { r.Fault.inject(ctx, s, r.Workload.Duration) })
	results := sendAll(ctx, caller, lb, r.Profile.drawArrivals(r.Workload))
	stopPolling()
	background.Wait()
	caller.Close()
	err = s.Stop()
	summary := r.summarize(results, config.Accounts)
	summary.addSiteFindings(s, results)
	return summary, err
}

func newDiscardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.ErrorLevel)
	return log
}

// Target is a running fleet that receives the workload.
type Target struct {
	Addresses []string          // addresses of the instances that serve callers
	Keys      map[string]string // API key by client account
}

// DoOnTarget sends the workload to a running fleet and summarizes the results. It neither sets the placement policy of
// the fleet nor injects the fault.
func (r Run) DoOnTarget(ctx context.Context, t Target) (Summary, error) {
	for _, a := range r.Profile.Accounts {
		if t.Keys[a.Name] == "" {
			return Summary{}, fmt.Errorf("load: no key for client account %s", a.Name)
		}
	}
	caller := NewCaller(t.Keys, r.Profile.NetworkDelay, r.Workload.TimeScale)
	defer caller.Close()
	results := sendAll(ctx, caller, newBalancer(t.Addresses), r.Profile.drawArrivals(r.Workload))
	config := r.Profile.siteConfig(r.Placement, r.Workload.TimeScale, r.Headroom)
	return r.summarize(results, config.Accounts), nil
}

// sendAll sends each request at its time and waits for all results. Requests that are not sent before the context ends
// have an empty result.
func sendAll(ctx context.Context, caller *Caller, lb *balancer, arrivals []Arrival) []Result {
	results := make([]Result, len(arrivals))
	start := time.Now()
	var requests sync.WaitGroup
	for i, a := range arrivals {
		_ = delay.For(ctx, time.Until(start.Add(a.At)))
		if ctx.Err() != nil {
			break
		}
		requests.Go(func() { results[i] = caller.Send(ctx, lb.pick(), a) })
	}
	requests.Wait()
	return results
}

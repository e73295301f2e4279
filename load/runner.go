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

// Run is one run of a profile against a site of its own. Its exported fields are set before Do.
type Run struct {
	Profile   Profile
	Workload  Workload
	Placement rule.PlacementPolicy
	Fault     Fault
	Headroom  float64 // rate of each account over its part of the capacity
}

// Do starts the site, sends the traffic, stops the site and sums up what callers saw.
func (r Run) Do(ctx context.Context) (Summary, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	shape := r.Profile.shape(r.Placement, r.Workload.TimeScale, r.Headroom)
	shape.Log = quietLogger()
	shape.BalancerDelay = balancerDelay
	s, err := site.Start(ctx, shape)
	if err != nil {
		return Summary{}, err
	}
	caller := NewCaller(s.Keys(), r.Profile.ClientDelay, r.Workload.TimeScale)
	balance := newBalancer(s.Addresses())
	following, stopFollowing := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { balance.follow(following, s.Instances()) })
	background.Go(func() { r.Fault.inject(ctx, s, r.Workload.Duration) })
	answers := sendAll(ctx, caller, balance, r.Profile.arrivals(r.Workload))
	stopFollowing()
	background.Wait()
	caller.Close()
	err = s.Stop()
	summary := r.summarize(answers, shape.Accounts)
	summary.addSite(s, answers)
	return summary, err
}

func quietLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.ErrorLevel)
	return log
}

// Target is a running fleet that the traffic goes to.
type Target struct {
	Addresses []string
	Keys      map[string]string // secret by client account
}

// DoTarget sends the traffic to a running fleet and sums up what callers saw.
func (r Run) DoTarget(ctx context.Context, t Target) (Summary, error) {
	for _, a := range r.Profile.Accounts {
		if t.Keys[a.Name] == "" {
			return Summary{}, fmt.Errorf("load: no key for client account %s", a.Name)
		}
	}
	caller := NewCaller(t.Keys, r.Profile.ClientDelay, r.Workload.TimeScale)
	defer caller.Close()
	answers := sendAll(ctx, caller, newBalancer(t.Addresses), r.Profile.arrivals(r.Workload))
	shape := r.Profile.shape(r.Placement, r.Workload.TimeScale, r.Headroom)
	return r.summarize(answers, shape.Accounts), nil
}

// sendAll makes each call at its time and waits for all answers.
func sendAll(ctx context.Context, caller *Caller, balance *balancer, arrivals []Arrival) []Answer {
	answers := make([]Answer, len(arrivals))
	start := time.Now()
	var calls sync.WaitGroup
	for n, a := range arrivals {
		_ = delay.For(ctx, time.Until(start.Add(a.At)))
		if ctx.Err() != nil {
			break
		}
		calls.Go(func() { answers[n] = caller.Call(ctx, balance.pick(), a) })
	}
	calls.Wait()
	return answers
}

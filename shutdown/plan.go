// Package shutdown plans the graceful stop of an instance: its steps, when each of them ends, and which requests the instance
// still passes on to backend servers.
package shutdown

import (
	"context"
	"time"
)

// Margin is the part of the grace period that is left after the shutdown deadline, for the steps that follow it.
const Margin = 700 * time.Millisecond

// RetryAfter is when a caller may repeat a request that was refused because of a stop: another instance serves it at once.
const RetryAfter = 50 * time.Millisecond

// Step is a part of a stop.
type Step uint8

// The steps of a stop, in their order.
const (
	Accept  Step = iota // load balancers learn of the stop; new connections are accepted
	Drain               // connections that were opened before are accepted, and those without a request are closed
	Receive             // requests that have arrived in part may be completed
	Finish              // running requests end
	Answer              // the callers of unfinished requests get an error
	CleanUp             // engines and the store learn of these requests
	Leave               // the other instances and the store learn that the instance has ended
)

// Admission is which of the requests that are read in a step are passed on to backend servers.
type Admission uint8

// The admissions, the narrowest first.
const (
	None      Admission = iota
	ByTimeout           // those that time out before the shutdown deadline
	ByLength            // also those whose longest response ends before it
)

// anchor is a time that the settings of an instance determine.
type anchor uint8

const (
	balancersKnow    anchor = iota // end of the balancer delay
	halfway                        // half of the time from there to the shutdown deadline
	shutdownDeadline               // unfinished requests are aborted
)

// schedule holds the steps of each stop. A step ends some time after its anchor, and takes at most its limit if the steps
// before it end early; a limit of 0 means any time. No step before Answer ends after the shutdown deadline.
var schedule = []struct {
	step   Step
	name   string
	anchor anchor
	after  time.Duration
	limit  time.Duration
	admits Admission
}{
	{Accept, "accept", balancersKnow, 0, 0, ByLength},
	{Drain, "drain", balancersKnow, 500 * time.Millisecond, 0, ByTimeout},
	{Receive, "receive", halfway, 0, 5 * time.Second, ByTimeout},
	{Finish, "finish", shutdownDeadline, 0, 0, ByTimeout},
	{Answer, "answer", shutdownDeadline, 400 * time.Millisecond, 2 * time.Second, None},
	{CleanUp, "clean up", shutdownDeadline, 550 * time.Millisecond, 5 * time.Second, None},
	{Leave, "leave", shutdownDeadline, 650 * time.Millisecond, 2 * time.Second, None},
}

// Plan holds the times of one stop. A nil Plan is that of an instance that is not stopping.
type Plan struct {
	began    time.Time
	deadline time.Time
	ends     []time.Time // of the steps, by Step
}

// NewPlan returns the plan of a stop that begins at a time. Load balancers need balancerDelay to learn of it, and requests have
// the timeout after that to end.
func NewPlan(began time.Time, balancerDelay, timeout time.Duration) *Plan {
	know := began.Add(balancerDelay)
	p := &Plan{began: began, deadline: know.Add(timeout)}
	anchors := map[anchor]time.Time{balancersKnow: know, halfway: know.Add(timeout / 2), shutdownDeadline: p.deadline}
	for _, s := range schedule {
		end := anchors[s.anchor].Add(s.after)
		if s.step < Answer && end.After(p.deadline) {
			end = p.deadline
		}
		p.ends = append(p.ends, end)
	}
	return p
}

// Deadline returns when unfinished requests are aborted, or the zero time if the instance is not stopping.
func (p *Plan) Deadline() time.Time {
	if p == nil {
		return time.Time{}
	}
	return p.deadline
}

// Ends returns when a step ends at the latest.
func (p *Plan) Ends(s Step) time.Time { return p.ends[s] }

// Context returns a context that ends with a step which begins now.
func (p *Plan) Context(ctx context.Context, s Step) (context.Context, context.CancelFunc) {
	end := p.ends[s]
	if limit := schedule[s].limit; limit > 0 {
		end = earlier(end, time.Now().Add(limit))
	}
	return context.WithDeadline(ctx, end)
}

// Admits returns which of the requests that are read at a time are passed on.
func (p *Plan) Admits(read time.Time) Admission {
	if p == nil {
		return ByLength
	}
	for _, s := range schedule {
		if read.Before(p.ends[s.step]) {
			return s.admits
		}
	}
	return None
}

// CanEnd reports whether a request is certain to end before the shutdown deadline. It was read at a time, has a timeout, and its
// longest response ends at longest; a zero time stands for none. The timeout is certain. The end of the longest response is an
// estimate, and counts only for requests that are read while new connections are accepted: later ones have another instance to
// go to.
func (p *Plan) CanEnd(read, timeout, longest time.Time) bool {
	if p == nil {
		return true
	}
	if p.endsInTime(timeout) {
		return p.Admits(read) != None
	}
	return p.Admits(read) == ByLength && p.endsInTime(longest)
}

func (p *Plan) endsInTime(at time.Time) bool { return !at.IsZero() && !at.After(p.deadline) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// String describes the plan for the log.
func (p *Plan) String() string {
	out := ""
	for _, s := range schedule {
		if out != "" {
			out += ", "
		}
		out += s.name + " until " + p.ends[s.step].Sub(p.began).Round(time.Millisecond).String()
	}
	return out
}

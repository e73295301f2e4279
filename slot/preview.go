package slot

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"teaselgate/preview"
	"teaselgate/queue"
)

// Preview returns where a request would go now, and why. It queues and promises nothing.
func (c *Core) Preview(now queue.Instant, a Ask) preview.Decision {
	a.Return = ""
	w := c.newWaiting(now, a)
	wait := c.predictWait(now, w)
	if w.Patient && now.Add(wait).After(w.Target) {
		w.Late = true
		wait = c.predictWait(now, w)
	}
	out := preview.Decision{
		Rank: w.Rank, Late: w.Late, Wait: wait, Latest: w.waitDeadline.Sub(now), Queued: c.queue.Len(),
		Ahead: c.queue.CostAhead(&w.Item, 0), PerSec: c.rate(now, &a), Held: c.promises.Due(now, w.Rank),
	}
	chosen := c.choose(now, &a)
	out.Stages = []preview.Stage{c.previewStage(now, &a, chosen)}
	switch {
	case !c.hasServerFor(&a):
		out.Verdict, out.Reason, out.RetryIn = preview.Refused, noLiveServer, minRetryIn
	case chosen != nil && c.queue.Len() == 0:
		out.Verdict = preview.Placed
	case wait > out.Latest:
		out.Verdict, out.RetryIn = preview.Refused, min(max(wait, minRetryIn), maxRetryIn)
		out.Reason = "the wait would be too long"
	default:
		out.Verdict = preview.Waits
	}
	return out
}

func (c *Core) previewStage(now queue.Instant, a *Ask, chosen *sharedServer) preview.Stage {
	stage, choice := preview.Stage{Name: "service"}, c.newChoice(now, a)
	for _, s := range c.servers {
		score, why := c.weigh(now, choice, s)
		candidate := preview.Candidate{
			Server: s.Server.Server, Zone: s.Zone, Chosen: s == chosen, Why: cmp.Or(string(why), "costs more than the chosen one"),
			Figures: fmt.Sprintf("%d in use of %d slots and %d on the way, latency %v, %.0f%% failed", s.inUse, s.slots(), c.capacity(s)-s.slots(),
				secondsOf(c.latencyOf(s)).Round(100*time.Microsecond), 100*s.errors.current(timeOf(now))),
		}
		if why == notLive {
			candidate.Why = string(s.State)
		}
		if why == eligible {
			candidate.Figures += fmt.Sprintf(", cost %v", secondsOf(score).Round(100*time.Microsecond))
		}
		if s == chosen {
			candidate.Why = "best"
		}
		stage.Candidates = append(stage.Candidates, candidate)
	}
	return stage
}

// Preview returns where a request of this instance would go now: it prefers the better of two random servers that are not paused.
func (p *Picker) Preview(pool string, exclude []string) preview.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	stage, a := preview.Stage{Name: "service"}, Ask{Exclude: exclude}
	out := preview.Decision{Verdict: preview.Refused, Reason: noLiveServer, Note: "each instance picks the better of two random servers by itself"}
	for _, server := range p.directory.Pool(p.Rules(), pool) {
		s := p.server(server.Server)
		candidate := preview.Candidate{
			Server: server.Server, Zone: server.Zone, Why: cmp.Or(string(a.rejectionOf(server)), "may be picked"),
			Figures: fmt.Sprintf("%d requests of this instance, cost %v", s.latency.Pending, secondsOf(s.score(now)).Round(100*time.Microsecond)),
		}
		if a.allows(server) {
			out.Verdict, out.Reason = preview.Placed, ""
			if s.pausedUntil.After(now) {
				candidate.Why = string(paused)
			}
		}
		stage.Candidates = append(stage.Candidates, candidate)
	}
	out.Stages = []preview.Stage{stage}
	return out
}

// PreviewReply is the reply to a Preview call.
type PreviewReply struct{ Decision preview.Decision }

// Preview returns where a request would go now.
func (r *Receiver) Preview(args TakeArgs, reply *PreviewReply) error {
	reply.Decision = r.keeper.Preview(args.Pool, args.Ask)
	return nil
}

// Preview returns where a request would go now.
func (k *Keeper) Preview(pool string, a Ask) preview.Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	return k.pool(pool, now).core.Preview(k.instant(now), a)
}

// Preview returns where a request would go now, without giving it a slot.
func (c *Client) Preview(ctx context.Context, pool string, a Ask) (preview.Decision, error) {
	address, self := c.Keeper(pool)
	switch {
	case !c.Shared(pool) || !self && (address == "" || c.isSilent(address)):
		return c.Local.Preview(pool, c.elsewhere(pool, a)), nil
	case self:
		return c.Own.Preview(pool, a), nil
	}
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	var reply PreviewReply
	err := c.Call(ctx, address, RPCName+".Preview", TakeArgs{Pool: pool, Ask: a}, &reply)
	reply.Decision.By = address
	return reply.Decision, err
}

// hasServerFor reports whether a live server may get a request.
func (c *Core) hasServerFor(a *Ask) bool {
	for _, s := range c.servers {
		if a.allows(s.Server) {
			return true
		}
	}
	return false
}

// noLiveServer is the reason of a refusal for want of servers.
const noLiveServer = "slot: no live server that the request may use"

package cell

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"teaselgate/fleet"
	"teaselgate/preview"
	"teaselgate/rule"
)

// Preview returns where a request would go now, and why. It queues, charges and promises nothing.
func (c *Core) Preview(now instant, request PlaceRequest) preview.Decision {
	request.Return = ""
	w := c.newWaitingRequest(now, request)
	wait := c.predictWait(now, w)
	out := preview.Decision{Rank: w.Rank, Queued: c.QueueLength(), PerSec: c.costRate.PerSecond(), Held: c.promises.Due(now, w.Rank)}
	retry, err := c.checkServable(now, w, wait)
	if err == nil && !isInTime(now, w, wait) && w.Patient && !w.Late {
		c.markLate(w)
		wait = c.predictWait(now, w)
	}
	out.Late, out.Wait, out.Latest = w.Late, wait, w.waitDeadline.Sub(now)
	out.Ahead = c.queue.CostAhead(&w.Item, 0)
	if w.Late {
		out.Ahead = c.queue.LateCost(w.Rank)
	}
	placed := c.previewStages(now, &out, w)
	switch {
	case err != nil:
		out.Verdict, out.Reason, out.RetryIn = preview.Refused, err.Error(), retry
	case c.queue.Len() == 0 && placed:
		out.Verdict = preview.Placed
	case wait > out.Latest:
		out.Verdict, out.Reason, out.RetryIn = preview.Refused, c.waitTooLong(now, w, wait).Error(), retryIn(wait)
	default:
		out.Verdict = preview.Waits
	}
	return out
}

// previewStages adds the candidates of both stages, and reports whether both have a server for the request now.
func (c *Core) previewStages(now instant, out *preview.Decision, w *waitingRequest) bool {
	request := &w.request
	chosen := c.choosePrefill(now, request)
	hits, allPaused := c.hints.find(now, request.Prefixes), c.allPrefillsPaused(now)
	prefill := preview.Stage{Name: "prefill"}
	for _, p := range c.prefills {
		choice, why := c.weighPrefill(now, request, p, hits, allPaused)
		candidate := newCandidate(p.server, p == chosen.server, why, "its transfer would end later than the chosen one's")
		if why == eligible {
			candidate.Figures = fmt.Sprintf("transfer ends in %v, %.0f tokens/s, link %.0f tokens/s, %d tokens cached",
				choice.plan.linkEnd.Sub(now).Round(time.Millisecond), p.rate.perSecond, p.linkRate.perSecond, choice.cached)
		}
		prefill.Candidates = append(prefill.Candidates, candidate)
	}
	ready := now
	if chosen.server != nil {
		ready = chosen.plan.end
	}
	pieces := c.piecesReserved(w)
	best := c.chooseDecode(now, request, pieces, ready.Sub(now))
	allPaused = c.allDecodesPaused(now)
	decode := preview.Stage{Name: "decode"}
	for _, d := range c.decodes {
		choice, why := c.weighDecode(now, request, d, pieces, ready.Sub(now), allPaused)
		candidate := newCandidate(d.server, d == best, why, "longer step, or room only later, than the chosen one")
		candidate.Figures = fmt.Sprintf("%d of %d streams, %d of %d pieces, step %v",
			len(d.streams), d.batchLimit, d.usedPieces, d.pieces, seconds(d.steps.step(len(d.streams)+1)).Round(100*time.Microsecond))
		if choice.slow {
			candidate.Figures += ", slow"
		}
		decode.Candidates = append(decode.Candidates, candidate)
	}
	out.Stages = []preview.Stage{prefill, decode}
	return chosen.server != nil && best != nil
}

func newCandidate(s rule.Server, chosen bool, why rejection, lost string) preview.Candidate {
	out := preview.Candidate{Server: s.Server, Zone: s.Zone, Chosen: chosen, Why: cmp.Or(string(why), lost)}
	if why == notLive {
		out.Why = string(s.State)
	}
	if chosen {
		out.Why = "best"
	}
	return out
}

// PreviewReply is the reply to a Preview call.
type PreviewReply struct {
	Found    bool // the instance dispatches for the cell
	Decision preview.Decision
}

// Preview returns where a request would go now.
func (r *Receiver) Preview(args PlaceArgs, reply *PreviewReply) error {
	*reply = r.hub.Preview(args)
	return nil
}

// Preview returns where a request would go now, if this instance dispatches for the cell.
func (h *Hub) Preview(args PlaceArgs) PreviewReply {
	d, ok := h.lookup(args.Cell)
	if !ok {
		return PreviewReply{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := h.Now()
	d.refreshServers(now, h.Rules())
	return PreviewReply{Found: true, Decision: d.core.Preview(d.coreTime(now), args.Ask)}
}

// Preview returns where a request would go now, without placing it. It asks the dispatcher that would be asked.
func (p *Placer) Preview(ctx context.Context, r Request) (preview.Decision, error) {
	out := preview.Decision{Target: r.Model.Decode, By: p.Self, Rank: r.Rank}
	if r.Model.Place != rule.PlacementCell {
		out.Verdict, out.Note = preview.Placed, "each instance places requests of this model by itself: "+string(r.Model.Place)
		return out, nil
	}
	id := p.chooseCell(r)
	r.ID = "preview"
	m, ok := p.nextDispatcher(id, nil)
	if !ok {
		return out, noServer.New("cell: no instance dispatches for %s", id.Decode)
	}
	reply, err := p.callPreview(ctx, m, PlaceArgs{Cell: id, Ask: p.newPlaceRequest(r, 0)})
	if err != nil {
		return out, err
	}
	if !reply.Found {
		out.By, out.Verdict, out.Note = m.Name, preview.Placed, "the dispatcher has had no requests for this model lately: all servers are free"
		return out, nil
	}
	reply.Decision.Target, reply.Decision.By = id.Decode, m.Name
	return reply.Decision, nil
}

func (p *Placer) callPreview(ctx context.Context, m fleet.Member, args PlaceArgs) (PreviewReply, error) {
	if m.Name == p.Self {
		return p.Hub.Preview(args), nil
	}
	ctx, stop := context.WithTimeout(ctx, placeTimeout)
	defer stop()
	var reply PreviewReply
	err := p.Call(ctx, m.Peer, RPCName+".Preview", args, &reply)
	return reply, err
}

package cell

import (
	"cmp"
	"fmt"
	"time"

	"teaselgate/queue"
	"teaselgate/rule"
)

// Constants of waiting requests.
const (
	outputTokenCost      = 16  // cost of a generated token in prompt tokens
	maxUrgentLeadSeconds = 0.5 // seconds of the cell's work by which urgent requests may lead
)

// waitingRequest is a request in the queue, with the times by which it should be placed.
type waitingRequest struct {
	queue.Item
	request          PlaceRequest
	arrived          instant
	first            instant // arrival of the request's first attempt, before a refusal
	responseDeadline instant // the caller has the whole response in time if the request is placed by then
	waitDeadline     instant // a request still waiting then is rejected or becomes late
}

func (c *Core) newWaitingRequest(now instant, request PlaceRequest) *waitingRequest {
	w := &waitingRequest{request: request, arrived: now.Add(-request.Waited), first: c.firstArrival(now, request)}
	w.Item = queue.Item{
		Key: request.Key, Rank: request.Rank, Background: request.Class == rule.ClassSummary,
		Patient: request.Class == rule.ClassPatient, Cost: float64(request.PromptTokens + outputTokenCost*request.MaxTokens),
	}
	c.queue.Assign(&w.Item, request.Account, request.Weight)
	unloadedTime := c.unloadedPrefillTime(request)
	budget := max(
		cmp.Or(request.First, c.targets.FirstToken)-firstTokenMargin-unloadedTime,
		time.Duration(longPromptFactor*float64(unloadedTime)),
	)
	w.Target = w.first.Add(budget)
	w.responseDeadline = w.arrived.Add(cmp.Or(request.MaxWait, c.targets.MaxWait))
	retryLimit := now.Add(maxRetryWait)
	if request.Left > 0 {
		latestPlacement := now.Add(request.Left - unloadedTime)
		w.Target, retryLimit = min(w.Target, latestPlacement), min(retryLimit, latestPlacement)
		w.responseDeadline = min(w.responseDeadline, latestPlacement.Add(-c.minStreamTime(request.MaxTokens)))
	}
	w.waitDeadline = w.Target
	switch {
	case c.isRetry(w):
		w.waitDeadline = retryLimit
	case w.Background:
		w.waitDeadline = w.responseDeadline
		w.Late = now.After(w.Target)
	case w.Patient && now.After(w.Target):
		c.markLate(w)
	}
	c.endAtShutdown(now, w)
	return w
}

// timeLeft describes the time that is left to place the request, and whether the shutdown of its instance limits it.
func (w *waitingRequest) timeLeft(now instant) string {
	left := fmt.Sprintf("%v left", w.waitDeadline.Sub(now).Round(time.Millisecond))
	if w.request.Stopping {
		return left + " before its instance shuts down"
	}
	return left
}

// shorten limits the wait of a queued request whose instance has begun to stop.
func (c *Core) shorten(now instant, w *waitingRequest, request PlaceRequest) {
	if request.Stopping && !w.request.Stopping {
		w.request.Left, w.request.Stopping = request.Left, true
		c.endAtShutdown(now, w)
	}
}

// endAtShutdown limits the wait of a request whose instance is stopping: a response that has not ended by the shutdown deadline
// is cut. So the longest response must fit, and not only the expected one.
func (c *Core) endAtShutdown(now instant, w *waitingRequest) {
	if !w.request.Stopping {
		return
	}
	w.request.mustEnd = now.Add(w.request.Left - firstTokenMargin)
	latestPlacement := w.request.mustEnd.Add(-c.unloadedPrefillTime(w.request) - c.longestStream(now, &w.request))
	w.responseDeadline = min(w.responseDeadline, latestPlacement)
	w.waitDeadline = min(w.waitDeadline, latestPlacement)
}

// markLate marks a request that has missed its target or is predicted to miss it. The request must not be in the queue.
func (c *Core) markLate(w *waitingRequest) {
	w.Late = true
	w.waitDeadline = w.responseDeadline
}

// isRetry reports whether an earlier attempt of the request failed through no fault of its caller.
func (c *Core) isRetry(w *waitingRequest) bool { return len(w.request.Exclude) > 0 }

// unloadedPrefillTime returns the time to compute and transfer a prompt in an idle cell.
func (c *Core) unloadedPrefillTime(request PlaceRequest) time.Duration {
	prefill, link := c.meanRates()
	return seconds(float64(request.PromptTokens)/prefill + float64(request.PromptTokens)/link)
}

// minStreamTime returns the shortest time to generate the tokens, or 0 before the first sample of a step.
func (c *Core) minStreamTime(tokens int) time.Duration {
	if c.poolStep.samples == 0 {
		return 0
	}
	return seconds(float64(tokens) * c.poolStep.mean(1))
}

// longestStream returns the time to generate the most tokens to allow for, at the server that is fastest at present.
// Without a measured pace that is all the time that is left.
func (c *Core) longestStream(now instant, request *PlaceRequest) time.Duration {
	shortest := request.Left
	for _, d := range c.decodes {
		if longest, known := d.longestStream(now, request); known && request.allows(d.server) && d.usable(now) {
			shortest = min(shortest, longest)
		}
	}
	return shortest
}

// urgentLead returns the virtual time by which urgent requests may run ahead of their account's share.
func (c *Core) urgentLead() float64 {
	return c.costRate.PerSecond() * maxUrgentLeadSeconds / max(c.queue.ActiveWeight(), 1)
}

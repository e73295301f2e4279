package allowance

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// GrantClient spends grants for the requests that come to one instance. It does no input or output. Its exported
// fields are set before use.
type GrantClient struct {
	Shards     int
	Assignment func(shard int) Assignment

	mu     sync.Mutex
	pools  map[string]*pool
	routes map[int]*route
	busy   map[string]bool // a question to this instance is on its way
}

// route is what an entry knows of the keepers of a shard by their answers.
type route struct {
	epoch  uint64 // newest seen
	second bool   // the successor is asked first
}

// TakeRequest is one question to a keeper.
type TakeRequest struct {
	To   Instance
	Args TakeArgs
}

// NewGrantClient returns an entry without grants.
func NewGrantClient(shards int, keepers func(int) Assignment) *GrantClient {
	return &GrantClient{
		Shards:     shards,
		Assignment: keepers,
		pools:      make(map[string]*pool),
		routes:     make(map[int]*route),
		busy:       make(map[string]bool),
	}
}

// take admits a request at once or lets it wait.
func (e *GrantClient) take(now time.Time, account string, tokens int64) (admission, *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[account]
	if p == nil {
		p = &pool{account: account, shard: ShardForAccount(account, e.Shards)}
		e.pools[account] = p
	}
	p.estimate(now, tokens)
	if len(p.waiters) == 0 {
		if parts, ok := p.spend(now, tokens); ok {
			return admission{parts: parts}, nil
		}
	}
	if tokens >= p.need && p.short.After(now.Add(maxWait)) {
		return p.refusal(now), nil
	}
	w := &waiter{tokens: tokens, deadline: now.Add(maxWait), done: make(chan admission, 1)}
	p.waiters = append(p.waiters, w)
	return admission{}, w
}

// cancel takes out a request whose caller is gone. It returns false if the request has its answer already.
func (e *GrantClient) cancel(account string, w *waiter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[account]
	if p == nil {
		return false
	}
	i := slices.Index(p.waiters, w)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	return i >= 0
}

// settle gives back to the grants what a request did not use of them.
func (e *GrantClient) settle(now time.Time, parts []part, unused int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(parts) - 1; i >= 0 && unused > 0; i-- {
		n := min(unused, parts[i].tokens)
		unused -= n
		if now.Before(parts[i].grant.deadline) {
			parts[i].grant.left += n
		}
	}
}

// plan returns the questions to ask now, one for each keeper at most.
func (e *GrantClient) plan(now time.Time) []TakeRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	asks := make(map[string]*TakeRequest)
	for name, p := range e.pools {
		p.serve(now)
		p.expire(now)
		if p.idle(now) {
			delete(e.pools, name)
			continue
		}
		e.planPool(now, p, asks)
	}
	out := make([]TakeRequest, 0, len(asks))
	for to, a := range asks {
		e.busy[to] = true
		slices.SortFunc(a.Args.Items, func(a, b TakeItem) int { return cmp.Compare(a.Account, b.Account) })
		out = append(out, *a)
	}
	slices.SortFunc(out, func(a, b TakeRequest) int { return cmp.Compare(a.To.Name, b.To.Name) })
	return out
}

func (e *GrantClient) planPool(now time.Time, p *pool, asks map[string]*TakeRequest) {
	if p.asking || now.Before(p.askAt) {
		return
	}
	to := e.keeper(p.shard)
	if to.Name == "" || e.busy[to.Name] {
		return
	}
	item := TakeItem{Account: p.account, Back: p.closing(now, echoKey(to))}
	item.Need, item.Want = p.demand(now)
	item.Ahead = p.hot(now)
	if item.Need == 0 && len(item.Back) == 0 {
		return
	}
	p.asking = true
	a := asks[to.Name]
	if a == nil {
		a = &TakeRequest{To: to, Args: TakeArgs{To: to.Incarnation}}
		asks[to.Name] = a
	}
	a.Args.Items = append(a.Args.Items, item)
}

// keeper returns the keeper of a shard that is asked next.
func (e *GrantClient) keeper(shard int) Instance {
	o := e.Assignment(shard)
	r := e.route(shard)
	if o.Epoch > r.epoch {
		r.epoch, r.second = o.Epoch, false
	}
	if r.second && o.Successor.Name != "" {
		return o.Successor
	}
	return o.Primary
}

func (e *GrantClient) route(shard int) *route {
	r := e.routes[shard]
	if r == nil {
		r = &route{}
		e.routes[shard] = r
	}
	return r
}

// answered takes in a keeper's answer to a question that was sent at the given time.
func (e *GrantClient) answered(now, sent time.Time, a TakeRequest, reply TakeReply, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.busy, a.To.Name)
	turned := make(map[int]bool)
	for n, item := range a.Args.Items {
		p := e.pools[item.Account]
		if p == nil {
			continue
		}
		p.asking = false
		if err != nil || n >= len(reply.Items) {
			p.askAt = now.Add(failureTime)
			e.turn(p.shard, turned)
			continue
		}
		e.answeredOne(now, sent, p, a.To, item, reply.Items[n], turned)
		p.serve(now)
	}
}

// turn makes the other keeper of a shard the next to be asked.
func (e *GrantClient) turn(shard int, turned map[int]bool) {
	if !turned[shard] {
		turned[shard] = true
		r := e.route(shard)
		r.second = !r.second
	}
}

func (e *GrantClient) answeredOne(now, sent time.Time, p *pool, from Instance, item TakeItem, g GrantReply, turned map[int]bool) {
	r := e.route(p.shard)
	switch g.Refusal {
	case NotPrimary:
		p.askAt = now.Add(min(max(g.Wait, retryTime), maxWait))
		if g.Wait == 0 {
			e.turn(p.shard, turned)
		}
	case UnknownAccount:
		p.askAt = now.Add(retryTime)
	case InsufficientTokens:
		p.need, p.short = item.Need, now.Add(max(g.Wait, failureTime))
		p.askAt = p.short
		p.refuseShort(now)
		if len(p.waiters) > 0 && p.waiters[0].tokens < item.Need {
			p.askAt = now.Add(failureTime)
		}
	case Granted:
		p.short, p.prefetchAt = time.Time{}, now.Add(retryTime)
		if g.Epoch >= r.epoch && g.Tokens > 0 {
			r.epoch = g.Epoch
			p.grants = append(p.grants, newGrant(sent, from, g))
		}
	}
}

// newGrant makes an entry's grant of the answer to a question that was sent at the given time.
func newGrant(sent time.Time, from Instance, g GrantReply) *grant {
	deadline := sent.Add(g.Life)
	return &grant{
		from:     echoKey(from),
		id:       g.Grant,
		left:     g.Tokens,
		deadline: deadline,
		closeAt:  deadline.Add(-min(closeTime, g.Life/closeDivisor)),
	}
}

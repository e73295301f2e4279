package allowance

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// GrantClient admits the requests that one instance receives and spends grants on them. It does no input or output. Its
// exported fields are set before use.
type GrantClient struct {
	Shards     int
	Assignment func(shard int) Assignment // returns the newest known assignment of a shard

	mu       sync.Mutex
	quotas   map[string]*accountQuota // by account
	routes   map[int]*route           // by shard
	inFlight map[string]bool          // names of the instances to which a request is in flight
}

// route is what a grant client has learned about a shard from replies.
type route struct {
	epoch          uint64 // newest epoch seen
	successorFirst bool   // requests go to the successor instead of the primary
}

// TakeRequest is one request for grants to the primary or successor of the accounts' shards.
type TakeRequest struct {
	To   Instance
	Args TakeArgs
}

// NewGrantClient returns a grant client without grants.
func NewGrantClient(shards int, assignment func(int) Assignment) *GrantClient {
	return &GrantClient{
		Shards:     shards,
		Assignment: assignment,
		quotas:     make(map[string]*accountQuota),
		routes:     make(map[int]*route),
		inFlight:   make(map[string]bool),
	}
}

// take admits or refuses a request at once, or returns a waiter for its admission.
func (c *GrantClient) take(now time.Time, account string, tokens int64) (admission, *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.quotas[account]
	if q == nil {
		q = &accountQuota{account: account, shard: ShardForAccount(account, c.Shards)}
		c.quotas[account] = q
	}
	q.recordUsage(now, tokens)
	if len(q.waiters) == 0 {
		if debits, ok := q.spend(now, tokens); ok {
			return admission{debits: debits}, nil
		}
	}
	if tokens >= q.shortNeed && q.shortUntil.After(now.Add(maxGrantWait)) {
		return q.refusal(now), nil
	}
	w := &waiter{tokens: tokens, deadline: now.Add(maxGrantWait), result: make(chan admission, 1)}
	q.waiters = append(q.waiters, w)
	return admission{}, w
}

// cancel removes a waiting request whose caller is gone. It returns false if the request has been decided already.
func (c *GrantClient) cancel(account string, w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.quotas[account]
	if q == nil {
		return false
	}
	i := slices.Index(q.waiters, w)
	if i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
	return i >= 0
}

// settle returns the unused tokens of a request to the grants from which they were taken.
func (c *GrantClient) settle(now time.Time, debits []debit, unused int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(debits) - 1; i >= 0 && unused > 0; i-- {
		n := min(unused, debits[i].tokens)
		unused -= n
		if now.Before(debits[i].grant.deadline) {
			debits[i].grant.remaining += n
		}
	}
}

// planRequests returns the requests for grants to send now, at most one to each instance.
func (c *GrantClient) planRequests(now time.Time) []TakeRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := make(map[string]*TakeRequest)
	for name, q := range c.quotas {
		q.admitWaiters(now)
		q.expire(now)
		if q.isIdle(now) {
			delete(c.quotas, name)
			continue
		}
		c.planAccount(now, q, requests)
	}
	out := make([]TakeRequest, 0, len(requests))
	for to, request := range requests {
		c.inFlight[to] = true
		slices.SortFunc(request.Args.Items, func(a, b TakeItem) int { return cmp.Compare(a.Account, b.Account) })
		out = append(out, *request)
	}
	slices.SortFunc(out, func(a, b TakeRequest) int { return cmp.Compare(a.To.Name, b.To.Name) })
	return out
}

// planAccount adds an account's next request for grants to requests if it is due.
func (c *GrantClient) planAccount(now time.Time, q *accountQuota, requests map[string]*TakeRequest) {
	if q.requestInFlight || now.Before(q.nextRequestAt) {
		return
	}
	to := c.target(q.shard)
	if to.Name == "" || c.inFlight[to.Name] {
		return
	}
	item := TakeItem{Account: q.account, Back: q.returnExpiring(now, incarnationKey(to))}
	item.Need, item.Want = q.demand(now)
	item.Ahead = q.isHot(now)
	if item.Need == 0 && len(item.Back) == 0 {
		return
	}
	q.requestInFlight = true
	request := requests[to.Name]
	if request == nil {
		request = &TakeRequest{To: to, Args: TakeArgs{To: to.Incarnation}}
		requests[to.Name] = request
	}
	request.Args.Items = append(request.Args.Items, item)
}

// target returns the instance to which to send the next request for a shard.
func (c *GrantClient) target(shard int) Instance {
	a := c.Assignment(shard)
	r := c.route(shard)
	if a.Epoch > r.epoch {
		r.epoch, r.successorFirst = a.Epoch, false
	}
	if r.successorFirst && a.Successor.Name != "" {
		return a.Successor
	}
	return a.Primary
}

func (c *GrantClient) route(shard int) *route {
	r := c.routes[shard]
	if r == nil {
		r = &route{}
		c.routes[shard] = r
	}
	return r
}

// handleReply handles the reply to a request that was sent at the given time, or the error of a failed request.
func (c *GrantClient) handleReply(now, sent time.Time, request TakeRequest, reply TakeReply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, request.To.Name)
	switched := make(map[int]bool)
	for n, item := range request.Args.Items {
		q := c.quotas[item.Account]
		if q == nil {
			continue
		}
		q.requestInFlight = false
		if err != nil || n >= len(reply.Items) {
			q.nextRequestAt = now.Add(failureRetryDelay)
			c.switchTarget(q.shard, switched)
			continue
		}
		c.handleGrantReply(now, sent, q, request.To, item, reply.Items[n], switched)
		q.admitWaiters(now)
	}
}

// switchTarget sends the next request for a shard to the successor instead of the primary, or vice versa. Shards in
// switched have been switched already for the same reply.
func (c *GrantClient) switchTarget(shard int, switched map[int]bool) {
	if !switched[shard] {
		switched[shard] = true
		r := c.route(shard)
		r.successorFirst = !r.successorFirst
	}
}

func (c *GrantClient) handleGrantReply(
	now, sent time.Time, q *accountQuota, issuer Instance, item TakeItem, reply GrantReply, switched map[int]bool,
) {
	r := c.route(q.shard)
	switch reply.Refusal {
	case NotPrimary:
		q.nextRequestAt = now.Add(min(max(reply.Wait, retryDelay), maxGrantWait))
		if reply.Wait == 0 {
			c.switchTarget(q.shard, switched)
		}
	case UnknownAccount:
		q.nextRequestAt = now.Add(retryDelay)
	case InsufficientTokens:
		q.shortNeed, q.shortUntil = item.Need, now.Add(max(reply.Wait, failureRetryDelay))
		q.nextRequestAt = q.shortUntil
		q.refuseUnfillable(now)
		if len(q.waiters) > 0 && q.waiters[0].tokens < item.Need {
			q.nextRequestAt = now.Add(failureRetryDelay)
		}
	case Granted:
		q.shortUntil, q.nextPrefetchAt = time.Time{}, now.Add(retryDelay)
		if reply.Epoch >= r.epoch && reply.Tokens > 0 {
			r.epoch = reply.Epoch
			q.grants = append(q.grants, newGrant(sent, issuer, reply))
		}
	}
}

// newGrant returns the grant in a reply. Its duration counts from the time at which the request was sent.
func newGrant(sent time.Time, issuer Instance, reply GrantReply) *grant {
	deadline := sent.Add(reply.Life)
	return &grant{
		issuer:    incarnationKey(issuer),
		id:        reply.Grant,
		remaining: reply.Tokens,
		deadline:  deadline,
		returnAt:  deadline.Add(-min(maxReturnLead, reply.Life/returnLeadDivisor)),
	}
}

package load

import (
	"slices"
	"time"

	"teaselgate/standin/site"
)

// buckets replay each account's rate and burst over the calls that were sent.
type buckets struct {
	accounts map[string]site.Account
	levels   map[string]float64
	updated  map[string]time.Duration
}

func newBuckets(accounts []site.Account) *buckets {
	b := &buckets{
		accounts: make(map[string]site.Account),
		levels:   make(map[string]float64),
		updated:  make(map[string]time.Duration),
	}
	for _, a := range accounts {
		b.accounts[a.Name] = a
		b.levels[a.Name] = float64(a.Burst)
	}
	return b
}

// take tells whether a call is inside its account's rate and burst, and charges it if so.
func (b *buckets) take(call Arrival) bool {
	a := b.accounts[call.Account]
	elapsed := (call.At - b.updated[call.Account]).Seconds()
	b.updated[call.Account] = call.At
	level := min(float64(a.Burst), b.levels[call.Account]+elapsed*float64(a.Rate))
	cost := float64(call.tokens())
	if level < cost {
		b.levels[call.Account] = level
		return false
	}
	b.levels[call.Account] = level - cost
	return true
}

// share works out each account's good tokens over its fair share of all good tokens: what weighted
// max-min fairness would have given it, and no more than it asked for.
func (s *Summary) share(p Profile) {
	fair := fairShares(s.Accounts, weights(p))
	s.Worst = 1
	sum, squares, n := 0.0, 0.0, 0.0
	for i := range s.Accounts {
		a := &s.Accounts[i]
		if a.AskedTokens == 0 {
			continue
		}
		a.FairShare = 1
		if fair[i] > 0 {
			a.FairShare = float64(a.GoodTokens) / fair[i]
		}
		s.Worst = min(s.Worst, a.FairShare)
		x := min(a.FairShare, 1)
		sum, squares, n = sum+x, squares+x*x, n+1
	}
	if squares > 0 {
		s.Jain = sum * sum / (n * squares)
	}
}

func weights(p Profile) map[string]float64 {
	out := make(map[string]float64)
	for _, a := range p.Accounts {
		out[a.Name] = float64(a.Weight)
	}
	return out
}

// fairShares divides all good tokens among the accounts by weight; what one does not ask for goes to the others.
func fairShares(accounts []AccountSummary, weight map[string]float64) []float64 {
	left, weightLeft := 0.0, 0.0
	order := make([]int, len(accounts))
	for i, a := range accounts {
		left += float64(a.GoodTokens)
		weightLeft += weight[a.Account]
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		x := float64(accounts[i].AskedTokens) / weight[accounts[i].Account]
		y := float64(accounts[j].AskedTokens) / weight[accounts[j].Account]
		if x < y {
			return -1
		}
		return 1
	})
	out := make([]float64, len(accounts))
	for _, i := range order {
		w := weight[accounts[i].Account]
		out[i] = min(left*w/weightLeft, float64(accounts[i].AskedTokens))
		left -= out[i]
		weightLeft -= w
	}
	return out
}

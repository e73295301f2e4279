package load

import (
	"slices"
	"time"

	"teaselgate/standin/site"
)

// tokenBuckets checks the requests of a run against the rate and burst of their client accounts.
type tokenBuckets struct {
	accounts  map[string]site.Account
	tokens    map[string]float64       // tokens available at updatedAt
	updatedAt map[string]time.Duration // time of the last update, since the start of the run
}

func newTokenBuckets(accounts []site.Account) *tokenBuckets {
	b := &tokenBuckets{
		accounts:  make(map[string]site.Account),
		tokens:    make(map[string]float64),
		updatedAt: make(map[string]time.Duration),
	}
	for _, a := range accounts {
		b.accounts[a.Name] = a
		b.tokens[a.Name] = float64(a.Burst)
	}
	return b
}

// take reports whether a request is within its account's rate and burst, and charges it if so. It must be called in the
// order of the requests' times.
func (b *tokenBuckets) take(arrival Arrival) bool {
	account := b.accounts[arrival.Account]
	elapsed := (arrival.At - b.updatedAt[arrival.Account]).Seconds()
	b.updatedAt[arrival.Account] = arrival.At
	level := min(float64(account.Burst), b.tokens[arrival.Account]+elapsed*float64(account.Rate))
	cost := float64(arrival.tokenCost())
	if level < cost {
		b.tokens[arrival.Account] = level
		return false
	}
	b.tokens[arrival.Account] = level - cost
	return true
}

// setFairness computes the ratio of each account's good tokens to its weighted max-min fair share of all good tokens,
// the lowest ratio, and Jain's fairness index of the ratios. The lowest ratio and the index treat ratios above 1 as 1
// and leave out accounts without completions.
func (s *Summary) setFairness(p Profile) {
	shares := maxMinShares(s.Accounts, weightsByAccount(p))
	s.WorstFairShareRatio = 1
	sum, squares, count := 0.0, 0.0, 0.0
	for i := range s.Accounts {
		a := &s.Accounts[i]
		if a.RequestedTokens == 0 {
			continue
		}
		a.FairShareRatio = 1
		if shares[i] > 0 {
			a.FairShareRatio = float64(a.GoodTokens) / shares[i]
		}
		s.WorstFairShareRatio = min(s.WorstFairShareRatio, a.FairShareRatio)
		cappedRatio := min(a.FairShareRatio, 1)
		sum, squares, count = sum+cappedRatio, squares+cappedRatio*cappedRatio, count+1
	}
	if squares > 0 {
		s.JainIndex = sum * sum / (count * squares)
	}
}

func weightsByAccount(p Profile) map[string]float64 {
	weights := make(map[string]float64)
	for _, a := range p.Accounts {
		weights[a.Name] = float64(a.Weight)
	}
	return weights
}

// maxMinShares divides all good tokens among the accounts by weighted max-min fairness: no account gets more than it
// requested, and what is left goes to the others by weight.
func maxMinShares(accounts []AccountSummary, weights map[string]float64) []float64 {
	remaining, remainingWeight := 0.0, 0.0
	byDemand := make([]int, len(accounts)) // indexes of the accounts, sorted by requested tokens per weight
	for i, a := range accounts {
		remaining += float64(a.GoodTokens)
		remainingWeight += weights[a.Account]
		byDemand[i] = i
	}
	slices.SortFunc(byDemand, func(i, j int) int {
		demandI := float64(accounts[i].RequestedTokens) / weights[accounts[i].Account]
		demandJ := float64(accounts[j].RequestedTokens) / weights[accounts[j].Account]
		if demandI < demandJ {
			return -1
		}
		return 1
	})
	shares := make([]float64, len(accounts))
	for _, i := range byDemand {
		weight := weights[accounts[i].Account]
		shares[i] = min(remaining*weight/remainingWeight, float64(accounts[i].RequestedTokens))
		remaining -= shares[i]
		remainingWeight -= weight
	}
	return shares
}

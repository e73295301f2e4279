package load

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"teaselgate/outcome"
	"teaselgate/rule"
	"teaselgate/standin/site"
)

// Range of the histograms, in microseconds.
const (
	histogramMaxMicroseconds   = 120_000_000
	histogramSignificantDigits = 3
)

// Quantiles are points of a distribution of times.
type Quantiles struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// AccountSummary is what one client account saw.
type AccountSummary struct {
	Account         string    `json:"account"`
	Sent            int       `json:"sent"`
	Complete        int       `json:"whole"`
	Good            int       `json:"good"` // completions within both latency targets
	Completions     int       `json:"completions"`
	NotRun          int       `json:"not_run"`
	Unknown         int       `json:"unknown"`
	Failed          int       `json:"failed"`
	FalseRejections int       `json:"false_refusals"` // refused though inside the account's rate and burst
	FalseRateLimits int       `json:"over_rate"`      // false refusals that name the rate as their reason
	GoodTokens      int       `json:"good_tokens"`
	RequestedTokens int       `json:"asked_tokens"`
	FairShareRatio  float64   `json:"fair_share"` // good tokens over the fair share of all good tokens
	FirstToken      Quantiles `json:"first_token"`
	InterToken      Quantiles `json:"between_tokens"`
	Order           Quantiles `json:"order"`
}

// Summary is the result of one run.
type Summary struct {
	Profile             string               `json:"profile"`
	Place               rule.PlacementPolicy `json:"place"`
	Load                float64              `json:"load"`
	Fault               Fault                `json:"fault"`
	Seed                uint64               `json:"seed"`
	Accounts            []AccountSummary     `json:"accounts"`
	Goodput             float64              `json:"goodput"`        // good completions for each second of sending
	GoodFraction        float64              `json:"good_part"`      // good completions over completions sent
	GoodChatFraction    float64              `json:"good_chat_part"` // good interactive completions over those sent
	WastedPrefill       float64              `json:"wasted_prefill"` // prefill tokens that led to no whole answer, over all
	WorstFairShareRatio float64              `json:"worst_fair_share"`
	JainIndex           float64              `json:"jain"`
	FalseRejectionRate  float64              `json:"false_refusals"` // over calls that were inside their account's rate
	OrderP50            time.Duration        `json:"order_p50_ns"`
	OrderP99            time.Duration        `json:"order_p99_ns"`
	FirstToken          Quantiles            `json:"first_token"`
	InterToken          Quantiles            `json:"between_tokens"`
	RejectionCodes      map[string]int       `json:"codes"`  // refusals by code
	Failures            []string             `json:"faults"` // answers that were neither whole nor refused
	BrokenPromises      []string             `json:"broken"` // promises that did not hold
}

// accountRecorder is a summary in the making.
type accountRecorder struct {
	AccountSummary
	firstToken, interToken, order *hdrhistogram.Histogram
}

func newAccountRecorder(account string) *accountRecorder {
	return &accountRecorder{
		AccountSummary: AccountSummary{Account: account},
		firstToken:     hdrhistogram.New(1, histogramMaxMicroseconds, histogramSignificantDigits),
		interToken:     hdrhistogram.New(1, histogramMaxMicroseconds, histogramSignificantDigits),
		order:          hdrhistogram.New(1, histogramMaxMicroseconds, histogramSignificantDigits),
	}
}

// record takes in one answer; insideRate tells whether the call was inside its account's rate.
func (r *accountRecorder) record(result Result, timeScale float64, withinRate bool) {
	r.Sent++
	completion := result.Arrival.Class != rule.ClassOrder
	if completion {
		r.Completions++
		r.RequestedTokens += result.Arrival.tokenCost()
	}
	switch {
	case result.Complete:
		r.recordComplete(result, timeScale, completion)
	case result.Failure != "":
		r.Failed++
	case result.Outcome == outcome.NotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
	if withinRate && result.RejectionCode != "" {
		r.FalseRejections++
		if result.Status == http.StatusTooManyRequests {
			r.FalseRateLimits++
		}
	}
}

func (r *accountRecorder) recordComplete(result Result, timeScale float64, completion bool) {
	r.Complete++
	if !completion {
		_ = r.order.RecordValue(result.Latency.Microseconds())
		return
	}
	_ = r.firstToken.RecordValue(result.Latency.Microseconds())
	for _, gap := range result.TokenGaps {
		_ = r.interToken.RecordValue(gap.Microseconds())
	}
	if result.MeetsTargets(timeScale) {
		r.Good++
		r.GoodTokens += result.Arrival.tokenCost()
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	quantile := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: quantile(50), P95: quantile(95), P99: quantile(99)}
}

// summarize sums up the answers of a run.
func (r Run) summarize(results []Result, accounts []site.Account) Summary {
	s := Summary{
		Profile: r.Profile.Name, Place: r.Placement, Load: r.Workload.Load, Fault: r.Fault, Seed: r.Workload.Seed,
		RejectionCodes: make(map[string]int), Failures: []string{}, BrokenPromises: []string{},
	}
	buckets := newTokenBuckets(accounts)
	recorders := make(map[string]*accountRecorder)
	for _, a := range accounts {
		recorders[a.Name] = newAccountRecorder(a.Name)
	}
	withinRate, chats, goodChats := 0, 0, 0
	for _, result := range results {
		admissible := buckets.take(result.Arrival)
		if admissible {
			withinRate++
		}
		recorders[result.Arrival.Account].record(result, r.Workload.TimeScale, admissible)
		if result.Arrival.Class == rule.ClassInteractive {
			chats++
			if result.MeetsTargets(r.Workload.TimeScale) {
				goodChats++
			}
		}
		s.recordProblem(result)
	}
	s.GoodChatFraction = ratio(goodChats, chats)
	s.aggregate(recorders, r.Workload.Duration, withinRate)
	s.setFairness(r.Profile)
	return s
}

func (s *Summary) recordProblem(result Result) {
	if result.RejectionCode != "" {
		s.RejectionCodes[result.RejectionCode]++
	}
	if result.Failure != "" {
		s.Failures = append(s.Failures, result.Arrival.ID+": "+result.Failure)
	}
}

// aggregate adds the client accounts up.
func (s *Summary) aggregate(recorders map[string]*accountRecorder, duration time.Duration, withinRate int) {
	all := newAccountRecorder("")
	falseRejections := 0
	for _, r := range recorders {
		all.firstToken.Merge(r.firstToken)
		all.interToken.Merge(r.interToken)
		all.order.Merge(r.order)
		all.Good += r.Good
		all.Completions += r.Completions
		falseRejections += r.FalseRejections
		r.FirstToken, r.InterToken, r.Order = quantiles(r.firstToken), quantiles(r.interToken), quantiles(r.order)
		s.Accounts = append(s.Accounts, r.AccountSummary)
	}
	slices.SortFunc(s.Accounts, func(a, b AccountSummary) int { return b.RequestedTokens - a.RequestedTokens })
	s.Goodput = float64(all.Good) / duration.Seconds()
	s.GoodFraction = ratio(all.Good, all.Completions)
	s.FalseRejectionRate = ratio(falseRejections, withinRate)
	s.FirstToken, s.InterToken = quantiles(all.firstToken), quantiles(all.interToken)
	orders := quantiles(all.order)
	s.OrderP50, s.OrderP99 = orders.P50, orders.P99
}

func ratio(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// addSiteFindings takes in what the site's backend servers saw.
func (s *Summary) addSiteFindings(site *site.Site, results []Result) {
	var confirmed, rejected []string
	usefulTokens := 0
	for _, result := range results {
		if !result.Complete {
			if result.Arrival.Class == rule.ClassOrder && result.Outcome == outcome.NotRun {
				rejected = append(rejected, result.Arrival.ID)
			}
			continue
		}
		if result.Arrival.Class == rule.ClassOrder {
			confirmed = append(confirmed, result.Arrival.ID)
			continue
		}
		usefulTokens += result.Arrival.tokenCost() - result.Arrival.OutputTokens
	}
	if totalTokens := site.PrefillTokens(); totalTokens > 0 {
		s.WastedPrefill = max(0, 1-float64(usefulTokens)/float64(totalTokens))
	}
	s.BrokenPromises = site.BrokenPromises(confirmed, rejected)
	for _, failure := range s.Failures {
		s.BrokenPromises = append(s.BrokenPromises, fmt.Sprintf("an answer was not whole: %s", failure))
	}
}

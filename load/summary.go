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

// Range and precision of the latency histograms, which count microseconds.
const (
	histogramMaxMicroseconds   = 120_000_000
	histogramSignificantDigits = 3
)

// Quantiles are quantiles of a latency distribution.
type Quantiles struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// AccountSummary summarizes the requests of one client account.
type AccountSummary struct {
	Account         string    `json:"account"`
	Sent            int       `json:"sent"`
	Complete        int       `json:"whole"` // requests with a complete response
	Good            int       `json:"good"`  // completions within both latency targets
	Completions     int       `json:"completions"`
	NotRun          int       `json:"not_run"`        // rejections whose outcome says that the request did not run
	Unknown         int       `json:"unknown"`        // rejections with any other outcome
	Failed          int       `json:"failed"`         // requests with neither a complete response nor a rejection
	FalseRejections int       `json:"false_refusals"` // rejections of requests within the account's rate and burst
	FalseRateLimits int       `json:"over_rate"`      // false rejections with status 429
	GoodTokens      int       `json:"good_tokens"`    // tokens of the good completions
	RequestedTokens int       `json:"asked_tokens"`   // tokens of all completions sent
	FairShareRatio  float64   `json:"fair_share"`     // good tokens divided by the account's fair share of all good tokens
	FirstToken      Quantiles `json:"first_token"`    // time to the first token
	InterToken      Quantiles `json:"between_tokens"` // time between tokens
	Order           Quantiles `json:"order"`          // latency of orders
}

// Summary summarizes one run.
type Summary struct {
	Profile             string               `json:"profile"`
	Placement           rule.PlacementPolicy `json:"place"`
	Load                float64              `json:"load"`
	Fault               Fault                `json:"fault"`
	Seed                uint64               `json:"seed"`
	Accounts            []AccountSummary     `json:"accounts"`
	Goodput             float64              `json:"goodput"`          // good completions per second of the run's duration
	GoodFraction        float64              `json:"good_part"`        // good completions divided by completions sent
	GoodChatFraction    float64              `json:"good_chat_part"`   // good divided by sent interactive completions
	WastedPrefill       float64              `json:"wasted_prefill"`   // fraction of prefill without a complete response
	WorstFairShareRatio float64              `json:"worst_fair_share"` // lowest FairShareRatio of an account, at most 1
	JainIndex           float64              `json:"jain"`             // Jain's fairness index of FairShareRatio
	FalseRejectionRate  float64              `json:"false_refusals"`   // rejected fraction of the requests within rate
	OrderP50            time.Duration        `json:"order_p50_ns"`
	OrderP99            time.Duration        `json:"order_p99_ns"`
	FirstToken          Quantiles            `json:"first_token"`
	InterToken          Quantiles            `json:"between_tokens"`
	RejectionCodes      map[string]int       `json:"codes"`  // rejections by error code
	Failures            []string             `json:"faults"` // requests with neither a complete response nor a rejection
	Violations          []string             `json:"broken"` // violated guarantees, such as an order that ran twice
}

// accountRecorder records the results of one client account.
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

// record adds one result; withinRate reports whether the request was within its account's rate and burst.
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

// quantiles returns the quantiles of a histogram of microseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	quantile := func(percent float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
	}
	return Quantiles{P50: quantile(50), P95: quantile(95), P99: quantile(99)}
}

// summarize returns the summary of a run's results.
func (r Run) summarize(results []Result, accounts []site.Account) Summary {
	s := Summary{
		Profile: r.Profile.Name, Placement: r.Placement, Load: r.Workload.Load, Fault: r.Fault, Seed: r.Workload.Seed,
		RejectionCodes: make(map[string]int), Failures: []string{}, Violations: []string{},
	}
	buckets := newTokenBuckets(accounts)
	recorders := make(map[string]*accountRecorder)
	for _, a := range accounts {
		recorders[a.Name] = newAccountRecorder(a.Name)
	}
	withinRateCount, chats, goodChats := 0, 0, 0
	for _, result := range results {
		withinRate := buckets.take(result.Arrival)
		if withinRate {
			withinRateCount++
		}
		recorders[result.Arrival.Account].record(result, r.Workload.TimeScale, withinRate)
		if result.Arrival.Class == rule.ClassInteractive {
			chats++
			if result.MeetsTargets(r.Workload.TimeScale) {
				goodChats++
			}
		}
		s.recordProblem(result)
	}
	s.GoodChatFraction = ratio(goodChats, chats)
	s.aggregate(recorders, r.Workload.Duration, withinRateCount)
	s.setFairness(r.Profile)
	return s
}

// recordProblem counts a rejection by its code and lists a failure.
func (s *Summary) recordProblem(result Result) {
	if result.RejectionCode != "" {
		s.RejectionCodes[result.RejectionCode]++
	}
	if result.Failure != "" {
		s.Failures = append(s.Failures, result.Arrival.ID+": "+result.Failure)
	}
}

// aggregate computes the totals over all client accounts. The duration is that of sending; withinRateCount is the
// number of requests within their account's rate and burst.
func (s *Summary) aggregate(recorders map[string]*accountRecorder, duration time.Duration, withinRateCount int) {
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
	s.FalseRejectionRate = ratio(falseRejections, withinRateCount)
	s.FirstToken, s.InterToken = quantiles(all.firstToken), quantiles(all.interToken)
	orders := quantiles(all.order)
	s.OrderP50, s.OrderP99 = orders.P50, orders.P99
}

// ratio returns n/total, or 0 if total is 0.
func ratio(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// addSiteFindings adds the violated guarantees and the fraction of prefill tokens that led to no complete response,
// from what the site's backend servers recorded. Each failed request counts as a violation too.
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
	s.Violations = site.Violations(confirmed, rejected)
	for _, failure := range s.Failures {
		s.Violations = append(s.Violations, fmt.Sprintf("incomplete response: %s", failure))
	}
}

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
	histogramMax    = 120_000_000
	histogramDigits = 3
)

// Quantiles are points of a distribution of times.
type Quantiles struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// AccountSummary is what one client account saw.
type AccountSummary struct {
	Account      string    `json:"account"`
	Sent         int       `json:"sent"`
	Whole        int       `json:"whole"`
	Good         int       `json:"good"` // completions within both latency targets
	Completions  int       `json:"completions"`
	NotRun       int       `json:"not_run"`
	Unknown      int       `json:"unknown"`
	Failed       int       `json:"failed"`
	FalseRefusal int       `json:"false_refusals"` // refused though inside the account's rate and burst
	OverRate     int       `json:"over_rate"`      // false refusals that name the rate as their reason
	GoodTokens   int       `json:"good_tokens"`
	AskedTokens  int       `json:"asked_tokens"`
	FairShare    float64   `json:"fair_share"` // good tokens over the fair share of all good tokens
	First        Quantiles `json:"first_token"`
	Between      Quantiles `json:"between_tokens"`
	Order        Quantiles `json:"order"`
}

// Summary is the result of one run.
type Summary struct {
	Profile        string               `json:"profile"`
	Place          rule.PlacementPolicy `json:"place"`
	Load           float64              `json:"load"`
	Fault          Fault                `json:"fault"`
	Seed           uint64               `json:"seed"`
	Accounts       []AccountSummary     `json:"accounts"`
	Goodput        float64              `json:"goodput"`        // good completions for each second of sending
	GoodPart       float64              `json:"good_part"`      // good completions over completions sent
	GoodClass      float64              `json:"good_chat_part"` // good interactive completions over those sent
	WastedPrefill  float64              `json:"wasted_prefill"` // prefill tokens that led to no whole answer, over all
	Worst          float64              `json:"worst_fair_share"`
	Jain           float64              `json:"jain"`
	FalseRefusals  float64              `json:"false_refusals"` // over calls that were inside their account's rate
	OrderP50       time.Duration        `json:"order_p50_ns"`
	OrderP99       time.Duration        `json:"order_p99_ns"`
	First          Quantiles            `json:"first_token"`
	Between        Quantiles            `json:"between_tokens"`
	Codes          map[string]int       `json:"codes"`  // refusals by code
	Faults         []string             `json:"faults"` // answers that were neither whole nor refused
	BrokenPromises []string             `json:"broken"` // promises that did not hold
}

// gathering is a summary in the making.
type gathering struct {
	AccountSummary
	first, between, order *hdrhistogram.Histogram
}

func newGathering(account string) *gathering {
	return &gathering{
		AccountSummary: AccountSummary{Account: account},
		first:          hdrhistogram.New(1, histogramMax, histogramDigits),
		between:        hdrhistogram.New(1, histogramMax, histogramDigits),
		order:          hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

// add takes in one answer; insideRate tells whether the call was inside its account's rate.
func (g *gathering) add(a Answer, scale float64, insideRate bool) {
	g.Sent++
	completion := a.Arrival.Class != rule.ClassOrder
	if completion {
		g.Completions++
		g.AskedTokens += a.Arrival.tokens()
	}
	switch {
	case a.Whole:
		g.addWhole(a, scale, completion)
	case a.Fault != "":
		g.Failed++
	case a.Outcome == outcome.NotRun:
		g.NotRun++
	default:
		g.Unknown++
	}
	if insideRate && a.Code != "" {
		g.FalseRefusal++
		if a.Status == http.StatusTooManyRequests {
			g.OverRate++
		}
	}
}

func (g *gathering) addWhole(a Answer, scale float64, completion bool) {
	g.Whole++
	if !completion {
		_ = g.order.RecordValue(a.First.Microseconds())
		return
	}
	_ = g.first.RecordValue(a.First.Microseconds())
	for _, gap := range a.Gaps {
		_ = g.between.RecordValue(gap.Microseconds())
	}
	if a.Good(scale) {
		g.Good++
		g.GoodTokens += a.Arrival.tokens()
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// summarize sums up the answers of a run.
func (r Run) summarize(answers []Answer, accounts []site.Account) Summary {
	s := Summary{
		Profile: r.Profile.Name, Place: r.Placement, Load: r.Workload.Load, Fault: r.Fault, Seed: r.Workload.Seed,
		Codes: make(map[string]int), Faults: []string{}, BrokenPromises: []string{},
	}
	buckets := newBuckets(accounts)
	by := make(map[string]*gathering)
	for _, a := range accounts {
		by[a.Name] = newGathering(a.Name)
	}
	inside, chats, goodChats := 0, 0, 0
	for _, a := range answers {
		ok := buckets.take(a.Arrival)
		if ok {
			inside++
		}
		by[a.Arrival.Account].add(a, r.Workload.TimeScale, ok)
		if a.Arrival.Class == rule.ClassInteractive {
			chats++
			if a.Good(r.Workload.TimeScale) {
				goodChats++
			}
		}
		s.noteProblem(a)
	}
	s.GoodClass = part(goodChats, chats)
	s.total(by, r.Workload.Duration, inside)
	s.share(r.Profile)
	return s
}

func (s *Summary) noteProblem(a Answer) {
	if a.Code != "" {
		s.Codes[a.Code]++
	}
	if a.Fault != "" {
		s.Faults = append(s.Faults, a.Arrival.ID+": "+a.Fault)
	}
}

// total adds the client accounts up.
func (s *Summary) total(by map[string]*gathering, sending time.Duration, inside int) {
	all := newGathering("")
	refused := 0
	for _, g := range by {
		all.first.Merge(g.first)
		all.between.Merge(g.between)
		all.order.Merge(g.order)
		all.Good += g.Good
		all.Completions += g.Completions
		refused += g.FalseRefusal
		g.First, g.Between, g.Order = quantiles(g.first), quantiles(g.between), quantiles(g.order)
		s.Accounts = append(s.Accounts, g.AccountSummary)
	}
	slices.SortFunc(s.Accounts, func(a, b AccountSummary) int { return b.AskedTokens - a.AskedTokens })
	s.Goodput = float64(all.Good) / sending.Seconds()
	s.GoodPart = part(all.Good, all.Completions)
	s.FalseRefusals = part(refused, inside)
	s.First, s.Between = quantiles(all.first), quantiles(all.between)
	orders := quantiles(all.order)
	s.OrderP50, s.OrderP99 = orders.P50, orders.P99
}

func part(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// addSite takes in what the site's backend servers saw.
func (s *Summary) addSite(site *site.Site, answers []Answer) {
	var confirmed, refused []string
	useful := 0
	for _, a := range answers {
		if !a.Whole {
			if a.Arrival.Class == rule.ClassOrder && a.Outcome == outcome.NotRun {
				refused = append(refused, a.Arrival.ID)
			}
			continue
		}
		if a.Arrival.Class == rule.ClassOrder {
			confirmed = append(confirmed, a.Arrival.ID)
			continue
		}
		useful += a.Arrival.tokens() - a.Arrival.Output
	}
	if all := site.PrefillTokens(); all > 0 {
		s.WastedPrefill = max(0, 1-float64(useful)/float64(all))
	}
	s.BrokenPromises = site.BrokenPromises(confirmed, refused)
	for _, f := range s.Faults {
		s.BrokenPromises = append(s.BrokenPromises, fmt.Sprintf("an answer was not whole: %s", f))
	}
}

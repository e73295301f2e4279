package instance_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"teaselgate/account"
	"teaselgate/config"
	"teaselgate/platform"
	"teaselgate/rule"
	"teaselgate/standin/site"
)

const (
	benchInstances    = 9
	benchPollInterval = 2 * time.Millisecond // between checks of an instance
)

// startBenchSite starts a site with one plain service.
func startBenchSite(b *testing.B) (*site.Site, *platform.Client) {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s, err := site.Start(b.Context(), site.Config{
		Instances: benchInstances, Services: 1, Zones: []string{"ala-a", "ala-b", "ala-c"}, Log: log,
		Accounts: []site.Account{{Name: "shop", Rate: 1_000_000, Burst: 1_000_000, Weight: 1}},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Stop() })
	return s, platform.NewClient(s.PlatformURL(), site.Secrets.Platform)
}

func applyRules(b *testing.B, client *platform.Client, text string) uint64 {
	b.Helper()
	rules, problems := rule.Parse("bench", []byte(text))
	if len(problems) > 0 {
		b.Fatal(problems[0])
	}
	result, err := config.NewWriter(client).Apply(b.Context(), config.ChangeRequest{Rules: rules, By: "bench"})
	if err != nil {
		b.Fatal(err)
	}
	return result.Revision
}

// awaitAllInstances polls each instance until done returns true for it, and returns the time when the last one did.
func awaitAllInstances(b *testing.B, s *site.Site, done func(ctx context.Context, i *site.Instance) bool) time.Time {
	b.Helper()
	var polls sync.WaitGroup
	for _, i := range s.Instances() {
		polls.Go(func() {
			ticker := time.NewTicker(benchPollInterval)
			defer ticker.Stop()
			for !done(b.Context(), i) && b.Context().Err() == nil {
				<-ticker.C
			}
		})
	}
	polls.Wait()
	return time.Now()
}

func reportDurations(b *testing.B, durations []time.Duration) {
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(durations[len(durations)-1].Microseconds())/1000, "max-ms")
}

// BenchmarkInForce measures the time from the start of Apply until a change of the rules is in force on nine instances.
func BenchmarkInForce(b *testing.B) {
	s, client := startBenchSite(b)
	collector := &config.StatusCollector{
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, Token: site.Secrets.Admin,
	}
	var durations []time.Duration
	n := 0
	for b.Loop() {
		n++
		start := time.Now()
		revision := applyRules(b, client,
			s.Rules()+fmt.Sprintf("- {pool: bench, duty: plain, slots: %d}   # bench: one line\n", n))
		end := awaitAllInstances(b, s, func(ctx context.Context, i *site.Instance) bool {
			reports := collector.Collect(ctx, []config.Member{{Name: "i", Admin: i.Admin(), State: "live"}})
			return len(config.Lagging(reports, revision)) == 0
		})
		durations = append(durations, end.Sub(start))
	}
	reportDurations(b, durations)
}

// BenchmarkWithdrawal measures the time from the start of Apply until nine instances reject a withdrawn key.
func BenchmarkWithdrawal(b *testing.B) {
	s, client := startBenchSite(b)
	var durations []time.Duration
	for b.Loop() {
		secret, hash := account.NewKey()
		rulesWithKey := s.Rules() + fmt.Sprintf("- {key: %q, account: shop}   # bench: to be withdrawn\n", hash)
		applyRules(b, client, rulesWithKey)
		awaitAllInstances(b, s, func(ctx context.Context, i *site.Instance) bool {
			return orderStatus(ctx, i, secret) == http.StatusOK
		})
		start := time.Now()
		applyRules(b, client, s.Rules())
		end := awaitAllInstances(b, s, func(ctx context.Context, i *site.Instance) bool {
			return orderStatus(ctx, i, secret) == http.StatusUnauthorized
		})
		durations = append(durations, end.Sub(start))
	}
	reportDurations(b, durations)
}

// orderStatus sends an order with a key and returns the HTTP status, or 0 if there is no response.
func orderStatus(ctx context.Context, i *site.Instance, secret string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.Address()+"/orders", nil)
	if err != nil {
		return 0
	}
	req.Header.Set("X-Api-Key", secret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

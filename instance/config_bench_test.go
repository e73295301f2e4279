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
	benchInstances = 9
	benchInterval  = 2 * time.Millisecond // between looks at an instance
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

func applyText(b *testing.B, client *platform.Client, text string) uint64 {
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

// everywhere looks at every instance until it says yes, and returns when the last one did.
func everywhere(b *testing.B, s *site.Site, look func(ctx context.Context, i *site.Instance) bool) time.Time {
	b.Helper()
	var waits sync.WaitGroup
	for _, i := range s.Instances() {
		waits.Go(func() {
			tick := time.NewTicker(benchInterval)
			defer tick.Stop()
			for !look(b.Context(), i) && b.Context().Err() == nil {
				<-tick.C
			}
		})
	}
	waits.Wait()
	return time.Now()
}

func reportTimes(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "max-ms")
}

// BenchmarkInForce measures the time from the start of apply until a change is in force on nine
// instances, and the platform's calls for each change.
func BenchmarkInForce(b *testing.B) {
	s, client := startBenchSite(b)
	surveyor := &config.StatusCollector{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, Token: site.Secrets.Admin}
	var times []time.Duration
	n := 0
	for b.Loop() {
		n++
		start := time.Now()
		revision := applyText(b, client, s.Rules()+fmt.Sprintf("- {pool: bench, duty: plain, slots: %d}   # bench: one line\n", n))
		end := everywhere(b, s, func(ctx context.Context, i *site.Instance) bool {
			reports := surveyor.Collect(ctx, []config.Member{{Name: "i", Admin: i.Admin(), State: "live"}})
			return len(config.Lagging(reports, revision)) == 0
		})
		times = append(times, end.Sub(start))
	}
	reportTimes(b, times)
}

// BenchmarkWithdrawal measures the time from the start of apply until a withdrawn key is refused
// by nine instances.
func BenchmarkWithdrawal(b *testing.B) {
	s, client := startBenchSite(b)
	var times []time.Duration
	for b.Loop() {
		secret, hash := account.NewKey()
		with := s.Rules() + fmt.Sprintf("- {key: %q, account: shop}   # bench: to be withdrawn\n", hash)
		applyText(b, client, with)
		everywhere(b, s, func(ctx context.Context, i *site.Instance) bool { return status(ctx, i, secret) == http.StatusOK })
		start := time.Now()
		applyText(b, client, s.Rules())
		end := everywhere(b, s, func(ctx context.Context, i *site.Instance) bool {
			return status(ctx, i, secret) == http.StatusUnauthorized
		})
		times = append(times, end.Sub(start))
	}
	reportTimes(b, times)
}

// status sends an order with a key and returns the status.
func status(ctx context.Context, i *site.Instance, secret string) int {
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

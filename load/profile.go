// Package load sends seeded open-loop traffic to a fleet and measures what its callers see.
package load

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"teaselgate/rule"
	standengine "teaselgate/standin/engine"
	"teaselgate/standin/site"
)

// Latency targets of streamed completions: time to the first token, and mean time between tokens.
const (
	FirstTokenTarget = 770 * time.Millisecond
	InterTokenTarget = 36 * time.Millisecond
)

// Parameters of the stand-in engines in all profiles.
const (
	engineSlots         = 20
	enginePieces        = 60                     // units of KV cache memory
	enginePrefillRate   = 60000                  // prompt tokens per second
	engineStepBase      = 10 * time.Millisecond  // duration of a decode step, without that of its streams
	engineStepPerStream = time.Millisecond       // added to a decode step by each stream
	engineLinkRate      = 8 << 30                // KV cache transfer, bytes per second
	engineTokenBytes    = 64 << 10               // KV cache bytes per token
	engineKVLifetime    = 800 * time.Millisecond // how long a prefill engine keeps a result
)

// Profile describes a site and the traffic of its client accounts.
type Profile struct {
	Name                string
	Instances           int
	PrefillEngines      int
	DecodeEngines       int
	Services            int
	Zones               []string
	NetworkDelay        time.Duration // one-way delay between callers and instances
	Accounts            []AccountShare
	PromptTokens        LogUniform
	OutputTokens        LogUniform
	OrdersPerCompletion float64 // requests to the order route per completion
	SummaryFraction     float64 // fraction of the completions that are summaries
}

// AccountShare is one client account's share of the traffic.
type AccountShare struct {
	Name     string
	Fraction float64 // fraction of all requests
	Weight   int
}

// LogUniform is a distribution from Min to Max whose logarithm is uniform: each order of magnitude is equally likely.
type LogUniform struct {
	Min, Max int
}

// Profiles lists the available profiles.
var Profiles = []Profile{
	{
		Name: "demo", Instances: 3, PrefillEngines: 2, DecodeEngines: 4, Services: 2,
		Zones:        []string{"ala-a", "ala-b", "ala-c"},
		Accounts:     []AccountShare{{"dala-almaty", 0.5, 3}, {"dala-astana", 0.35, 2}, {"dala-village", 0.15, 1}},
		PromptTokens: LogUniform{30, 4000}, OutputTokens: LogUniform{8, 100},
		OrdersPerCompletion: 0.3, SummaryFraction: 0.4,
	},
	{
		Name: "dala", Instances: 6, PrefillEngines: 5, DecodeEngines: 15, Services: 3,
		Zones: []string{"ala-a", "ala-b", "ala-c"}, NetworkDelay: time.Millisecond,
		Accounts: []AccountShare{
			{"almaty", 0.40, 4}, {"astana", 0.25, 3}, {"shymkent", 0.15, 2}, {"aktau", 0.12, 2}, {"village", 0.08, 1},
		},
		PromptTokens: LogUniform{30, 20000}, OutputTokens: LogUniform{16, 350},
		OrdersPerCompletion: 0.2, SummaryFraction: 0.4,
	},
	{
		Name: "hojaverde", Instances: 6, PrefillEngines: 3, DecodeEngines: 7, Services: 3,
		Zones: []string{"cr-a", "cr-b", "cr-c"}, NetworkDelay: 3 * time.Millisecond,
		Accounts: []AccountShare{
			{"estates", 0.55, 5}, {"tarrazu", 0.18, 2}, {"orosi", 0.12, 2}, {"naranjo", 0.10, 1}, {"turrialba", 0.05, 1},
		},
		PromptTokens: LogUniform{30, 20000}, OutputTokens: LogUniform{16, 350},
		OrdersPerCompletion: 0.5, SummaryFraction: 0.6,
	},
}

// ErrUnknownProfile is returned for the name of an unknown profile.
var ErrUnknownProfile = errors.New("load: unknown profile")

// FindProfile returns the profile of the given name.
func FindProfile(name string) (Profile, error) {
	i := slices.IndexFunc(Profiles, func(p Profile) bool { return p.Name == name })
	if i < 0 {
		names := make([]string, 0, len(Profiles))
		for _, p := range Profiles {
			names = append(names, p.Name)
		}
		return Profile{}, fmt.Errorf("%w %q; the profiles are %s", ErrUnknownProfile, name, strings.Join(names, ", "))
	}
	return Profiles[i], nil
}

// EngineConfigurer returns a function that sets an engine's parameters to those of the profiles, with all times
// multiplied and all rates divided by timeScale.
func EngineConfigurer(timeScale float64) func(*standengine.Engine) {
	return func(e *standengine.Engine) {
		e.Slots = engineSlots
		e.Pieces = enginePieces
		e.PrefillRate = int(enginePrefillRate / timeScale)
		e.StepBase = scaleDuration(engineStepBase, timeScale)
		e.StepPerStream = scaleDuration(engineStepPerStream, timeScale)
		e.LinkRate = int64(engineLinkRate / timeScale)
		e.TokenBytes = engineTokenBytes
		e.KVLifetime = scaleDuration(engineKVLifetime, timeScale)
		e.LoadLag = scaleDuration(e.LoadLag, timeScale)
	}
}

func scaleDuration(d time.Duration, scale float64) time.Duration {
	return time.Duration(float64(d) * scale)
}

// Capacity returns the completions per second that the profile's engines sustain with full batches: the lower of the
// capacities of the prefill and the decode pool.
func (p Profile) Capacity() float64 {
	step := engineStepBase + engineSlots*engineStepPerStream
	decode := float64(p.DecodeEngines*engineSlots) / step.Seconds() / p.OutputTokens.mean()
	prefill := float64(p.PrefillEngines*enginePrefillRate) / p.PromptTokens.mean()
	return min(decode, prefill)
}

// tokensPerSecond returns the prompt and output tokens per second at full capacity.
func (p Profile) tokensPerSecond() float64 {
	return p.Capacity() * (p.PromptTokens.mean() + p.OutputTokens.mean())
}

// siteConfig returns the configuration of the profile's site. The rate of each account is headroom times its share of
// the capacity, divided by timeScale. Its burst is the rate times burstSeconds, but at least twice the largest
// completion.
func (p Profile) siteConfig(placement rule.PlacementPolicy, timeScale, headroom float64) site.Config {
	const burstSeconds = 5
	config := site.Config{
		Instances: p.Instances, PrefillEngines: p.PrefillEngines, DecodeEngines: p.DecodeEngines,
		Services: p.Services, Zones: p.Zones, Placement: placement, TargetScale: timeScale,
		ConfigureEngine: EngineConfigurer(timeScale),
	}
	for _, a := range p.Accounts {
		rate := max(int64(p.tokensPerSecond()*a.Fraction*headroom/timeScale), 1)
		burst := max(rate*burstSeconds, int64(2*(p.PromptTokens.Max+p.OutputTokens.Max)))
		config.Accounts = append(config.Accounts, site.Account{Name: a.Name, Rate: rate, Burst: burst, Weight: a.Weight})
	}
	return config
}

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

// Targets of the users for streamed answers.
const (
	FirstTokenTarget = 770 * time.Millisecond
	BetweenTarget    = 36 * time.Millisecond
)

// Figures of the engines in the profiles.
const (
	profileSlots         = 20
	profilePieces        = 60
	profilePrefillRate   = 60000 // tokens per second
	profileStepBase      = 10 * time.Millisecond
	profileStepPerStream = time.Millisecond
	profileLinkRate      = 8 << 30  // bytes per second
	profileTokenBytes    = 64 << 10 // bytes
	profileKVLife        = 800 * time.Millisecond
)

// Profile is a shape of site with the traffic of its client accounts.
type Profile struct {
	Name        string
	Instances   int
	Prefills    int
	Decodes     int
	Services    int
	Zones       []string
	ClientDelay time.Duration // one way between callers and instances
	Accounts    []Share
	Prompt      Range   // tokens
	Output      Range   // tokens
	Orders      float64 // calls of the order route for each completion
	Summaries   float64 // part of the completions that are summaries
}

// Share is one client account's part of the traffic.
type Share struct {
	Name   string
	Part   float64 // of the tokens
	Weight int
}

// Range is a span of lengths, drawn so that each order of magnitude is equally likely.
type Range struct {
	Low, High int
}

// Profiles are the known profiles.
var Profiles = []Profile{
	{
		Name: "demo", Instances: 3, Prefills: 2, Decodes: 4, Services: 2,
		Zones:    []string{"ala-a", "ala-b", "ala-c"},
		Accounts: []Share{{"dala-almaty", 0.5, 3}, {"dala-astana", 0.35, 2}, {"dala-village", 0.15, 1}},
		Prompt:   Range{30, 4000}, Output: Range{8, 100}, Orders: 0.3, Summaries: 0.4,
	},
	{
		Name: "dala", Instances: 6, Prefills: 5, Decodes: 15, Services: 3,
		Zones: []string{"ala-a", "ala-b", "ala-c"}, ClientDelay: time.Millisecond,
		Accounts: []Share{
			{"almaty", 0.40, 4}, {"astana", 0.25, 3}, {"shymkent", 0.15, 2}, {"aktau", 0.12, 2}, {"village", 0.08, 1},
		},
		Prompt: Range{30, 20000}, Output: Range{16, 350}, Orders: 0.2, Summaries: 0.4,
	},
	{
		Name: "hojaverde", Instances: 6, Prefills: 3, Decodes: 7, Services: 3,
		Zones: []string{"cr-a", "cr-b", "cr-c"}, ClientDelay: 3 * time.Millisecond,
		Accounts: []Share{
			{"estates", 0.55, 5}, {"tarrazu", 0.18, 2}, {"orosi", 0.12, 2}, {"naranjo", 0.10, 1}, {"turrialba", 0.05, 1},
		},
		Prompt: Range{30, 20000}, Output: Range{16, 350}, Orders: 0.5, Summaries: 0.6,
	},
}

// ErrNoProfile says that no profile has the given name.
var ErrNoProfile = errors.New("load: no such profile")

// FindProfile finds a profile by name.
func FindProfile(name string) (Profile, error) {
	i := slices.IndexFunc(Profiles, func(p Profile) bool { return p.Name == name })
	if i < 0 {
		names := make([]string, 0, len(Profiles))
		for _, p := range Profiles {
			names = append(names, p.Name)
		}
		return Profile{}, fmt.Errorf("%w: %q; there are %s", ErrNoProfile, name, strings.Join(names, ", "))
	}
	return Profiles[i], nil
}

// Tune gives an engine the figures of the profiles, with all times stretched by a scale.
func Tune(scale float64) func(*standengine.Engine) {
	return func(e *standengine.Engine) {
		e.Slots = profileSlots
		e.Pieces = profilePieces
		e.PrefillRate = int(profilePrefillRate / scale)
		e.StepBase = stretch(profileStepBase, scale)
		e.StepPerStream = stretch(profileStepPerStream, scale)
		e.LinkRate = int64(profileLinkRate / scale)
		e.TokenBytes = profileTokenBytes
		e.KVLifetime = stretch(profileKVLife, scale)
		e.LoadLag = stretch(e.LoadLag, scale)
	}
}

func stretch(d time.Duration, scale float64) time.Duration {
	return time.Duration(float64(d) * scale)
}

// Capacity returns the completions a second that the profile's engines can carry: the lesser
// of what prefill and decode pools sustain with full batches.
func (p Profile) Capacity() float64 {
	step := profileStepBase + profileSlots*profileStepPerStream
	decode := float64(p.Decodes*profileSlots) / step.Seconds() / p.Output.mean()
	prefill := float64(p.Prefills*profilePrefillRate) / p.Prompt.mean()
	return min(decode, prefill)
}

// tokenRate returns the tokens a second, prompts and answers, at full capacity.
func (p Profile) tokenRate() float64 {
	return p.Capacity() * (p.Prompt.mean() + p.Output.mean())
}

// shape returns the site that the profile runs on; rates are headroom times each account's part.
func (p Profile) shape(place rule.PlacementPolicy, scale, headroom float64) site.Config {
	const burstSeconds = 5
	s := site.Config{
		Instances: p.Instances, PrefillEngines: p.Prefills, DecodeEngines: p.Decodes, Services: p.Services,
		Zones: p.Zones, Placement: place, TargetScale: scale, ConfigureEngine: Tune(scale),
	}
	for _, a := range p.Accounts {
		rate := max(int64(p.tokenRate()*a.Part*headroom/scale), 1)
		burst := max(rate*burstSeconds, int64(2*(p.Prompt.High+p.Output.High)))
		s.Accounts = append(s.Accounts, site.Account{Name: a.Name, Rate: rate, Burst: burst, Weight: a.Weight})
	}
	return s
}

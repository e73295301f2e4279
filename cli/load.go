package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"teaselgate/load"
	"teaselgate/rule"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	profile, fault, greedyAccount   string
	placements, targets, keys       []string
	loads                           []float64
	seeds                           []uint
	duration                        time.Duration
	sharedPrefixFraction, timeScale float64
	headroom, greedyFactor          float64
	json, accounts                  bool
}

func newLoadCommand() *cobra.Command {
	var f loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send seeded open-loop traffic and measure what callers see",
		Long: "Runs a site of stand-ins for each placement policy, load and seed, or sends to the fleet of --target, and\n" +
			"prints goodput under both latency targets, wasted prefill, the worst-served account and false refusals.",
		Example: "  teaselgate load --profile dala --place robin,least,ewma,cell --load 0.7,1.0,1.3 --seed 1,2,3 --length 20s\n" +
			"  teaselgate load --profile dala --target 127.0.0.1:8080 --key almaty=tg-... --length 30s",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.profile, "profile", "dala", "profile of the site and its traffic: demo, dala or hojaverde")
	flags.StringSliceVar(&f.placements, "place", []string{string(rule.PlacementCell)},
		"placement policies: cell, robin, least, ewma")
	flags.Float64SliceVar(&f.loads, "load", []float64{1}, "offered loads as fractions of the engines' capacity")
	flags.UintSliceVar(&f.seeds, "seed", []uint{1}, "seeds; one run for each")
	flags.DurationVar(&f.duration, "length", 20*time.Second, "how long each run sends requests")
	flags.StringVar(&f.fault, "fault", string(load.FaultNone),
		"fault to inject: none, slow, lost, platform, instance or lie")
	flags.Float64Var(&f.sharedPrefixFraction, "prefix", 0.3, "fraction of the prompts that begin with a shared prefix")
	flags.Float64Var(&f.timeScale, "scale", 1, "factor on all times but --length, for a slow machine")
	flags.Float64Var(&f.headroom, "headroom", 1.6,
		"rate limit of each client account relative to its share of the capacity")
	flags.StringVar(&f.greedyAccount, "greedy", "", "client account that sends a multiple of its share")
	flags.Float64Var(&f.greedyFactor, "greed", 5, "multiple that the account of --greedy sends")
	flags.StringSliceVar(&f.targets, "target", nil,
		"addresses at which a running fleet serves callers; sends there instead of to a site of stand-ins")
	flags.StringSliceVar(&f.keys, "key", nil, "ACCOUNT=KEY for --target, for each client account of the profile")
	flags.BoolVar(&f.accounts, "accounts", false, "print a table of the client accounts for each run")
	flags.BoolVar(&f.json, "json", false, "print JSON")
	return cmd
}

func (f *loadFlags) run(cmd *cobra.Command) error {
	profile, err := load.FindProfile(f.profile)
	if err != nil {
		return usageError{err}
	}
	fault, err := load.ParseFault(f.fault)
	if err != nil {
		return usageError{err}
	}
	var results []load.Summary
	for _, run := range f.runs(profile, fault) {
		summary, err := f.execute(cmd, run)
		if err != nil {
			return err
		}
		results = append(results, summary)
		if f.accounts {
			load.WriteAccounts(cmd.OutOrStdout(), summary)
		}
	}
	if f.json {
		return load.WriteJSON(cmd.OutOrStdout(), results)
	}
	load.WriteRuns(cmd.OutOrStdout(), results)
	return nil
}

// runs returns one run for each combination of load, placement policy and seed.
func (f *loadFlags) runs(profile load.Profile, fault load.Fault) []load.Run {
	runs := make([]load.Run, 0, len(f.loads)*len(f.placements)*len(f.seeds))
	for _, fraction := range f.loads {
		for _, placement := range f.placements {
			for _, seed := range f.seeds {
				runs = append(runs, load.Run{
					Profile: profile, Placement: rule.PlacementPolicy(placement), Fault: fault, Headroom: f.headroom,
					Workload: load.Workload{
						Seed: uint64(seed), Duration: f.duration, Load: fraction,
						SharedPrefixFraction: f.sharedPrefixFraction, TimeScale: f.timeScale,
						GreedyAccount: f.greedyAccount, GreedyFactor: f.greedyFactor,
					},
				})
			}
		}
	}
	return runs
}

// execute performs a run on a stand-in site or, with --target, on a running fleet.
func (f *loadFlags) execute(cmd *cobra.Command, run load.Run) (load.Summary, error) {
	if len(f.targets) == 0 {
		return run.Do(cmd.Context())
	}
	target := load.Target{Addresses: f.targets, Keys: make(map[string]string)}
	for _, pair := range f.keys {
		account, secret, ok := strings.Cut(pair, "=")
		if !ok {
			return load.Summary{}, usageError{fmt.Errorf("cli: --key takes ACCOUNT=KEY")}
		}
		target.Keys[account] = secret
	}
	return run.DoOnTarget(cmd.Context(), target)
}

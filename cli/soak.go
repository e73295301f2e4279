package cli

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"teaselgate/soak"
)

// errBrokenPromises says that a soak found failures.
var errBrokenPromises = errors.New("cli: promises were broken")

func newSoakCommand() *cobra.Command {
	var seed uint64
	var duration time.Duration
	var instances, runs int
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run real instances under random faults and check the promises",
		Long: "Starts instances of this program as processes on loopback, with emulated backend servers and a store, and\n" +
			"injects faults from outside: connections that are delayed, reset, cut one way or silent; processes that are\n" +
			"stopped, paused, killed and restarted; a store that is down or forgets its history; servers that fail. Then it\n" +
			"checks from what callers and servers saw that nothing ran twice, refusals were true, answers whole, no key\n" +
			"passed on, nothing held, and that requests are served again.",
		Example: "  teaselgate soak --seed 7 --length 30s\n  teaselgate soak --seed 1 --runs 50 --length 10s --machines 5",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			binary, err := os.Executable()
			if err != nil {
				return fmt.Errorf("cli: unable to find the program: %w", err)
			}
			failed := false
			for n := range runs {
				s := &soak.Soak{Binary: binary, Seed: seed + uint64(n), Length: duration, Instances: instances, Out: cmd.OutOrStdout()}
				broken, err := s.Run(cmd.Context())
				if err != nil {
					return err
				}
				for _, promise := range broken {
					fmt.Fprintln(cmd.OutOrStdout(), "BROKEN:", promise)
					failed = true
				}
			}
			if failed {
				return errBrokenPromises
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&seed, "seed", 1, "seed of the first run")
	flags.DurationVar(&duration, "length", 30*time.Second, "time under faults of each run")
	flags.IntVar(&instances, "machines", 3, "instances to start")
	flags.IntVar(&runs, "runs", 1, "runs with one seed after the other")
	return cmd
}

package cli

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"teaselgate/soak"
)

// errSoakViolations is returned if a run violated a guarantee.
var errSoakViolations = errors.New("cli: guarantees were violated")

func newSoakCommand() *cobra.Command {
	var seed uint64
	var duration time.Duration
	var instances, runs int
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run instances as processes under random faults and check the guarantees",
		Long: "Starts instances of this program as processes on loopback, with stand-ins of backend servers and of the\n" +
			"platform store, and injects faults: connections delayed, reset, cut in one direction or silent; processes\n" +
			"stopped, paused, killed and restarted; a store that is down or loses its history; failing servers. Then it\n" +
			"checks that nothing ran twice, that requests reported as not run did not run, that responses were complete,\n" +
			"that no key was passed on, that engines hold nothing any more, and that requests are served again. Last,\n" +
			"it stops and starts instances in series, and checks that each request which they had read got an answer.",
		Example: "  teaselgate soak --seed 7 --length 30s\n  teaselgate soak --seed 1 --runs 50 --length 10s --machines 5",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			binary, err := os.Executable()
			if err != nil {
				return fmt.Errorf("cli: unable to find the program: %w", err)
			}
			failed := false
			for n := range runs {
				s := &soak.Soak{
					Binary: binary, Seed: seed + uint64(n), Length: duration, Instances: instances, Out: cmd.OutOrStdout(),
				}
				violations, err := s.Run(cmd.Context())
				if err != nil {
					return err
				}
				for _, violation := range violations {
					fmt.Fprintln(cmd.OutOrStdout(), "BROKEN:", violation)
					failed = true
				}
			}
			if failed {
				return errSoakViolations
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&seed, "seed", 1, "seed of the first run")
	flags.DurationVar(&duration, "length", 30*time.Second, "duration of the faults in each run")
	flags.IntVar(&instances, "machines", 3, "number of instances")
	flags.IntVar(&runs, "runs", 1, "number of runs; the seed rises by one for each")
	return cmd
}

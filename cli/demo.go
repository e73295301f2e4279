package cli

import (
	"time"

	"github.com/spf13/cobra"

	"teaselgate/demo"
)

func newDemoCommand() *cobra.Command {
	var duration time.Duration
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet on loopback, send traffic and check the guarantees",
		Long: "Runs a platform stand-in, three instances, prefill and decode engines and order services in one process,\n" +
			"sends traffic of several client accounts, prints a table, and fails if a guarantee was violated.",
		Example: "  teaselgate demo --length 5s\n  teaselgate demo --json",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			d := &demo.Demo{Out: cmd.OutOrStdout(), Length: duration, JSON: asJSON}
			return d.Run(cmd.Context())
		},
	}
	cmd.Flags().DurationVar(&duration, "length", demo.DefaultLength, "how long traffic is sent")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"teaselgate/rule"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a rules file and list every problem",
		Example: "  teaselgate check rules.yaml",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			rules, err := readRules(cmd, args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d rules, no problems\n", args[0], len(rules.Lines()))
			return nil
		},
	}
}

// readRules reads a rules file and prints every problem.
func readRules(cmd *cobra.Command, file string) (*rule.Set, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("cli: unable to read the rules: %w", err)
	}
	rules, problems := rule.Parse(file, text)
	for _, p := range problems {
		fmt.Fprintln(cmd.ErrOrStderr(), p)
	}
	if len(problems) > 0 {
		return nil, fmt.Errorf("cli: %d problems in %s", len(problems), file)
	}
	return rules, nil
}

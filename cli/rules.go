package cli

import (
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"teaselgate/account"
	"teaselgate/config"
	"teaselgate/platform"
	"teaselgate/rule"
)

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a rules file and list every problem",
		Example: "  teaselgate check rules.yaml",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, _, err := readRules(cmd, args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d rules, no problems\n", args[0], len(set.Lines()))
			return nil
		},
	}
}

func readRules(cmd *cobra.Command, file string) (*rule.Set, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("cli: unable to read the rules: %w", err)
	}
	set, problems := rule.Parse(file, text)
	for _, p := range problems {
		fmt.Fprintln(cmd.ErrOrStderr(), p)
	}
	if len(problems) > 0 {
		return nil, nil, fmt.Errorf("cli: %d problems in %s", len(problems), file)
	}
	return set, text, nil
}

func newApply() *cobra.Command {
	var base, tokenFile string
	cmd := &cobra.Command{
		Use:     "apply FILE",
		Short:   "Make a rules file the newest revision",
		Example: "  teaselgate apply rules.yaml --platform http://10.0.0.1:7000 --platform-token token",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, text, err := readRules(cmd, args[0])
			if err != nil {
				return err
			}
			token, err := readToken(tokenFile)
			if err != nil {
				return err
			}
			client := platform.NewClient(base, token)
			revision, err := config.Apply(cmd.Context(), client, string(text), uuid.NewString())
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "accepted as revision %d\n", revision)
			return nil
		},
	}
	cmd.Flags().StringVar(&base, "platform", "", "URL of the platform's object API")
	cmd.Flags().StringVar(&tokenFile, "platform-token", "", "file with the platform's token")
	return cmd
}

func newKey() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Make keys for client accounts"}
	var name, reason string
	create := &cobra.Command{
		Use:     "new",
		Short:   "Print a new key and its rule line; the key itself is stored nowhere",
		Example: "  teaselgate key new --account dala-astana --reason 'aigerim: new shop'",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			secret, hash := account.NewKey()
			fmt.Fprintf(cmd.OutOrStdout(), "key:  %s\nrule: - {key: %q, account: %s}   # %s\n", secret, hash, name, reason)
			return nil
		},
	}
	create.Flags().StringVar(&name, "account", "ACCOUNT", "client account of the key")
	create.Flags().StringVar(&reason, "reason", "who asked: why", "comment of the rule line")
	cmd.AddCommand(create)
	return cmd
}

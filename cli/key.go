package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"teaselgate/account"
)

// secretFileMode lets only the owner read a secret file.
const secretFileMode = 0o600

func newKeyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Create keys for client accounts and operators"}
	cmd.AddCommand(newAccountKeyCommand(), newOperatorKeyCommand())
	return cmd
}

func newAccountKeyCommand() *cobra.Command {
	var accountName, reason string
	cmd := &cobra.Command{
		Use:     "new",
		Short:   "Create a key of a client account and print it with its rule line; the key is not stored",
		Example: "  teaselgate key new --account dala-astana --reason 'aigerim: new shop'",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			secret, hash := account.NewKey()
			fmt.Fprintf(cmd.OutOrStdout(), "key:  %s\nrule: - {key: %q, account: %s}   # %s\n",
				secret, hash, accountName, reason)
			return nil
		},
	}
	cmd.Flags().StringVar(&accountName, "account", "ACCOUNT", "client account of the key")
	cmd.Flags().StringVar(&reason, "reason", "who: why", "comment of the rule line, as AUTHOR: REASON")
	return cmd
}

func newOperatorKeyCommand() *cobra.Command {
	var name, reason, file string
	cmd := &cobra.Command{
		Use:     "operator",
		Short:   "Create an operator's secret and print the rule line with its public key",
		Example: "  teaselgate key operator --name aigerim --secret ~/.teaselgate-secret --reason 'marat: joins the team'",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return usageError{fmt.Errorf("cli: --secret is missing; it names the file for the new secret")}
			}
			secret, publicKey := account.NewOperatorKey()
			out, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretFileMode)
			if err != nil {
				return fmt.Errorf("cli: unable to store the secret: %w", err)
			}
			defer out.Close()
			if _, err := fmt.Fprintln(out, secret); err != nil {
				return fmt.Errorf("cli: unable to store the secret: %w", err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "rule: - {operator: %s, key: %q}   # %s\n", name, publicKey, reason)
			return nil
		},
	}
	cmd.Flags().StringVar(&name, "name", "NAME", "name of the operator")
	cmd.Flags().StringVar(&file, "secret", "", "file to create for the secret")
	cmd.Flags().StringVar(&reason, "reason", "who: why", "comment of the rule line, as AUTHOR: REASON")
	return cmd
}

package cli

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"teaselgate/account"
	"teaselgate/config"
	"teaselgate/platform"
)

// defaultWait is the timeout of apply --wait without a value.
const defaultWait = 10 * time.Second

// changeFlags are the flags of the commands that compare a rules file with a revision.
type changeFlags struct {
	connection connectionFlags
	operator   string // who requests or approves the change
	secretFile string // holds the secret of the operator; empty for none
	base       int64  // revision; -1 for the newest
	json       bool
}

func (f *changeFlags) register(cmd *cobra.Command) {
	f.connection.register(cmd)
	cmd.Flags().StringVar(&f.operator, "by", "", "operator who requests or approves the change")
	cmd.Flags().Int64Var(&f.base, "base", -1, "revision that the file is based on; the newest if not given")
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
}

// baseRevision returns the revision of --base, or nil for the newest.
func (f *changeFlags) baseRevision() *uint64 {
	if f.base < 0 {
		return nil
	}
	return new(uint64(f.base))
}

// plan compares a rules file with the base revision.
func (f *changeFlags) plan(cmd *cobra.Command, file string) (*config.Plan, error) {
	rules, err := readRules(cmd, file)
	if err != nil {
		return nil, err
	}
	client, err := f.connection.platformClient()
	if err != nil {
		return nil, err
	}
	return config.NewPlan(cmd.Context(), client, rules, f.operator, f.baseRevision())
}

func newPlanCommand() *cobra.Command {
	var flags changeFlags
	cmd := &cobra.Command{
		Use:     "plan FILE",
		Short:   "Print the changes that applying a rules file would make, and the approvals that it needs",
		Example: "  teaselgate plan rules.yaml --platform http://10.0.0.1:7000 --platform-token token",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, err := flags.plan(cmd, args[0])
			if err != nil {
				return err
			}
			if flags.json {
				return printJSON(cmd, newPlanOutput(plan))
			}
			printPlan(cmd.OutOrStdout(), plan)
			return nil
		},
	}
	flags.register(cmd)
	return cmd
}

func newApproveCommand() *cobra.Command {
	var flags changeFlags
	cmd := &cobra.Command{
		Use:   "approve FILE",
		Short: "Sign an operator's approval of the changes in a rules file, and print it",
		Long: "Compares the file with the newest revision, or with that of --base, prints the changes, and signs them.\n" +
			"The approval is valid for exactly these changes to this base. Pass it to the operator who runs apply.",
		Example: "  teaselgate approve rules.yaml --by marat --secret marat.secret --platform http://10.0.0.1:7000",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			secret, err := readSecret(flags.secretFile)
			if err != nil {
				return err
			}
			plan, err := flags.plan(cmd, args[0])
			if err != nil {
				return err
			}
			printPlan(cmd.ErrOrStderr(), plan)
			fmt.Fprintln(cmd.OutOrStdout(), plan.Approve(flags.operator, secret))
			return nil
		},
	}
	flags.register(cmd)
	cmd.Flags().StringVar(&flags.secretFile, "secret", "", "file with the approving operator's secret")
	_ = cmd.MarkFlagRequired("by")
	_ = cmd.MarkFlagRequired("secret")
	return cmd
}

func newApplyCommand() *cobra.Command {
	var flags changeFlags
	var approvals []string
	var wait time.Duration
	var last bool
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Store a rules file as the newest revision",
		Long: "Reports the outcome of the change: accepted (exit code 0), refused (1) or unknown (2). It is safe to\n" +
			"repeat the same command: a change is never made twice.",
		Example: "  teaselgate apply rules.yaml --by aigerim --secret aigerim.secret --approved-by marat@5:c2ln --wait \\\n" +
			"    --platform http://10.0.0.1:7000 --platform-token token --admin-token admin",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request, client, err := flags.readChangeRequest(cmd, args[0], approvals)
			if err != nil {
				return err
			}
			if len(request.Rules.Evacuated()) > 0 {
				plan, err := config.NewPlan(cmd.Context(), client, request.Rules, flags.operator, flags.baseRevision())
				if err != nil {
					return err
				}
				if err := checkCapacity(plan, last); err != nil {
					return err
				}
			}
			result, err := config.NewWriter(client).Apply(cmd.Context(), request)
			return flags.reportResult(cmd, client, result, err, wait)
		},
	}
	flags.register(cmd)
	cmd.Flags().StringVar(&flags.secretFile, "secret", "", "file with the secret of the operator who requests the change")
	cmd.Flags().StringArrayVar(&approvals, "approved-by", nil, "approval as printed by approve; may be repeated")
	cmd.Flags().DurationVar(&wait, "wait", 0, "how long to wait until every live instance has the revision in force")
	cmd.Flags().BoolVar(&last, "last", false, "allow an evacuation to leave a pool without a server")
	cmd.Flags().Lookup("wait").NoOptDefVal = defaultWait.String()
	return cmd
}

// readChangeRequest returns the change request of apply and a client of the platform.
func (f *changeFlags) readChangeRequest(
	cmd *cobra.Command, file string, approvals []string,
) (config.ChangeRequest, *platform.Client, error) {
	request := config.ChangeRequest{By: f.operator, Base: f.baseRevision()}
	for _, text := range approvals {
		approval, err := config.ParseApproval(text)
		if err != nil {
			return request, nil, usageError{err}
		}
		request.Approvals = append(request.Approvals, approval)
	}
	var err error
	if request.Rules, err = readRules(cmd, file); err != nil {
		return request, nil, err
	}
	if f.secretFile != "" {
		if request.PrivateKey, err = readSecret(f.secretFile); err != nil {
			return request, nil, err
		}
	}
	client, err := f.connection.platformClient()
	return request, client, err
}

// reportResult prints the result of a change. If the change is accepted and wait is positive, it first waits until the
// instances have it in force.
func (f *changeFlags) reportResult(
	cmd *cobra.Command, client *platform.Client, result config.Result, err error, wait time.Duration,
) error {
	output := applyOutput{Result: result}
	if err != nil {
		output.Reason = err.Error()
	}
	if result.Outcome == config.Accepted && wait > 0 {
		err = f.awaitRevision(cmd.Context(), client, wait, &output)
	}
	if f.json {
		if printErr := printJSON(cmd, output); printErr != nil {
			return printErr
		}
		return err
	}
	if result.Outcome == config.Accepted {
		fmt.Fprintln(cmd.OutOrStdout(), result)
	} else {
		fmt.Fprintln(cmd.ErrOrStderr(), result.Outcome)
	}
	if output.Instances != nil {
		printInstanceReports(cmd.OutOrStdout(), output.Instances, result.Revision)
	}
	return err
}

// applyOutput is the JSON output of apply.
type applyOutput struct {
	config.Result
	Reason    string                  `json:"reason,omitempty"`
	Instances []config.InstanceReport `json:"instances,omitempty"`
	Lagging   []string                `json:"lagging,omitempty"`
}

// awaitRevision waits at most the given time until every live instance has the accepted revision in force. It adds the
// instances' reports to the output, and returns an error if an instance lags or does not answer.
func (f *changeFlags) awaitRevision(
	ctx context.Context, client *platform.Client, wait time.Duration, output *applyOutput,
) error {
	collector, err := f.connection.statusCollector()
	if err != nil {
		return err
	}
	members, err := collector.Members(ctx, client, f.connection.adminAddresses)
	if err != nil {
		return fmt.Errorf("cli: the change is accepted, but its rollout is unknown: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	output.Instances = collector.WaitForRevision(ctx, members, output.Revision)
	output.Lagging = config.Lagging(output.Instances, output.Revision)
	if len(output.Lagging) > 0 {
		return fmt.Errorf("cli: the change is accepted as revision %d, but %d instances lag or do not answer",
			output.Revision, len(output.Lagging))
	}
	return nil
}

// readSecret reads an operator's secret from a file.
func readSecret(file string) (ed25519.PrivateKey, error) {
	text, err := readToken(file)
	if err != nil {
		return nil, err
	}
	return account.ParseOperatorSecret(text)
}

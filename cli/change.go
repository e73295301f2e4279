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

// defaultWait is how long apply --wait waits for the instances.
const defaultWait = 10 * time.Second

// changeFlags are common to the commands that compare a file with the newest revision.
type changeFlags struct {
	connection connectionFlags
	operator   string
	secretFile string
	base       int64
	json       bool
}

func (f *changeFlags) register(cmd *cobra.Command) {
	f.connection.register(cmd)
	cmd.Flags().StringVar(&f.operator, "by", "", "operator who asks for the change")
	cmd.Flags().Int64Var(&f.base, "base", -1, "revision that the file was made from; the newest if not given")
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
}

func (f *changeFlags) baseRevision() *uint64 {
	if f.base < 0 {
		return nil
	}
	return new(uint64(f.base))
}

// plan compares a file with the newest revision.
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
		Short:   "Print what applying a rules file would change, and who must agree",
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
		Short: "Print an operator's approval of the change that applying a rules file makes",
		Long: "Compares the file with the newest revision, or with the one of --base, prints the change, and signs it.\n" +
			"The approval holds for these lines and this base only. Hand it to the operator who runs apply.",
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
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make a rules file the newest revision",
		Long: "Ends with a true last word: accepted (exit code 0), refused (1) or unknown (2). Running the same\n" +
			"command again is always safe: a change is never made twice.",
		Example: "  teaselgate apply rules.yaml --by aigerim --secret aigerim.secret --approved-by marat@5:c2ln --wait \\\n" +
			"    --platform http://10.0.0.1:7000 --platform-token token --admin-token admin",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request, client, err := flags.readChangeRequest(cmd, args[0], approvals)
			if err != nil {
				return err
			}
			result, err := config.NewWriter(client).Apply(cmd.Context(), request)
			return flags.reportResult(cmd, client, result, err, wait)
		},
	}
	flags.register(cmd)
	cmd.Flags().StringVar(&flags.secretFile, "secret", "", "file with the secret of the operator who asks")
	cmd.Flags().StringArrayVar(&approvals, "approved-by", nil, "an approval as approve printed it; may be repeated")
	cmd.Flags().DurationVar(&wait, "wait", 0, "wait this long until every live instance has the revision in force")
	cmd.Flags().Lookup("wait").NoOptDefVal = defaultWait.String()
	return cmd
}

// readChangeRequest reads what apply needs.
func (f *changeFlags) readChangeRequest(cmd *cobra.Command, file string, approvals []string) (config.ChangeRequest, *platform.Client, error) {
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

// reportResult prints what became of a change and, if asked to, waits until it is in force everywhere.
func (f *changeFlags) reportResult(cmd *cobra.Command, client *platform.Client, result config.Result, err error, wait time.Duration) error {
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

type applyOutput struct {
	config.Result
	Reason    string                  `json:"reason,omitempty"`
	Instances []config.InstanceReport `json:"instances,omitempty"`
	Lagging   []string                `json:"lagging,omitempty"`
}

func (f *changeFlags) awaitRevision(ctx context.Context, client *platform.Client, wait time.Duration, output *applyOutput) error {
	collector, err := f.connection.statusCollector()
	if err != nil {
		return err
	}
	members, err := collector.Members(ctx, client, f.connection.adminAddresses)
	if err != nil {
		return fmt.Errorf("cli: the change is accepted, but not followed: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	output.Instances = collector.WaitForRevision(ctx, members, output.Revision)
	output.Lagging = config.Lagging(output.Instances, output.Revision)
	if len(output.Lagging) > 0 {
		return fmt.Errorf("cli: the change is accepted as revision %d, but %d instances lag or don't answer", output.Revision, len(output.Lagging))
	}
	return nil
}

func readSecret(file string) (ed25519.PrivateKey, error) {
	text, err := readToken(file)
	if err != nil {
		return nil, err
	}
	return account.ParseOperatorSecret(text)
}

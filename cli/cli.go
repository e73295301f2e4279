// Package cli implements the commands of the teaselgate program.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/spf13/cobra"

	"teaselgate/config"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitUnknown = 2 // a change may have been accepted or not; as after a usage error, it is safe to repeat the command
)

// Version is the program's version.
const Version = "0.1.0"

// usageError marks an invalid command line.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }
func (e usageError) Unwrap() error { return e.err }

// Execute runs a command line and returns the exit code. SIGINT and SIGTERM cancel the command's context.
func Execute(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "teaselgate:", err)
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	if errors.Is(err, config.ErrUnknown) {
		return ExitUnknown
	}
	return ExitFailed
}

// newRootCommand returns the root command with all its subcommands.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "teaselgate",
		Short: "Routes requests between callers and separate prefill and decode pools",
		Long: "teaselgate routes requests between callers and backend servers: separate prefill and decode pools of model\n" +
			"engines, and plain services. It is configured by a rules file.\n\n" +
			"Exit codes: 0 success; 1 failure; 2 invalid command line, or a change whose outcome is unknown.",
		Example:       "  teaselgate demo\n  teaselgate serve --settings i1.yaml",
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(
		newServeCommand(),
		newExplainCommand(),
		newPreviewCommand(),
		newSoakCommand(),
		newCheckCommand(),
		newPlanCommand(),
		newApproveCommand(),
		newApplyCommand(),
		newEvacuateCommand(),
		newStatusCommand(),
		newKeyCommand(),
		newStandinCommand(),
		newDemoCommand(),
		newTimelineCommand(),
		newLoadCommand(),
		newVersionCommand(),
	)
	requireSubcommand(root)
	for _, cmd := range root.Commands() {
		if cmd.HasSubCommands() && !cmd.Runnable() {
			requireSubcommand(cmd)
		}
	}
	return root
}

// requireSubcommand makes a command that does nothing itself return a usage error when it is called without a
// subcommand or with an unknown one. If the command has no example, it gets that of its first subcommand.
func requireSubcommand(cmd *cobra.Command) {
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if len(args) > 0 {
			return usageError{
				fmt.Errorf("cli: unknown command %q for %q; --help lists the commands", args[0], cmd.CommandPath()),
			}
		}
		_ = cmd.Help()
		return usageError{fmt.Errorf("cli: %q needs a command", cmd.CommandPath())}
	}
	cmd.Args = cobra.ArbitraryArgs
	if cmd.Example == "" {
		cmd.Example = cmd.Commands()[0].Example
	}
}

// exactArgs returns a check that reports any other number of arguments as a usage error.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// versionInfo is the JSON output of version.
type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func newVersionCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  teaselgate version\n  teaselgate version --json",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(versionInfo{Version, runtime.Version()})
			}
			fmt.Fprintln(cmd.OutOrStdout(), "teaselgate", Version)
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

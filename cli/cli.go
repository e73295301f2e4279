// Package cli holds the commands of the teaselgate program.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Version is the program's version.
const Version = "0.1.0"

// usageError marks an error of the command line itself.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }
func (e usageError) Unwrap() error { return e.err }

// Execute runs a command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
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
	return ExitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "teaselgate",
		Short:         "Routes requests between callers and separate prefill and decode pools",
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(newServe(), newCheck(), newApply(), newKey(), newStandin(), newDemo(), newLoad(), newVersion())
	return root
}

// exactArgs refuses any other number of arguments as bad usage.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintln(cmd.OutOrStdout(), "teaselgate", Version)
			return nil
		},
	}
}

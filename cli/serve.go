package cli

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"teaselgate/event"
	"teaselgate/instance"
	"teaselgate/option"
	"teaselgate/platform"
	"teaselgate/shutdown"
)

func newServeCommand() *cobra.Command {
	var settingsFile string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:     "serve",
		Short:   "Run one instance until it is stopped by SIGINT or SIGTERM",
		Example: "  teaselgate serve --settings i1.yaml\n  teaselgate serve --settings i1.yaml --check",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			options, secrets, err := option.Read(settingsFile)
			if err != nil {
				return err
			}
			if checkOnly {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: no problems\n", settingsFile)
				return nil
			}
			return serve(cmd, settingsFile, options, secrets)
		},
	}
	cmd.Flags().StringVar(&settingsFile, "settings", platform.SettingsFile("teaselgate.yaml"),
		"settings file of this instance")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return cmd
}

// serve runs an instance until the command's context ends.
func serve(cmd *cobra.Command, settingsFile string, options *option.Options, secrets option.Secrets) error {
	logWriter := event.NewAsyncWriter(cmd.OutOrStdout())
	defer logWriter.Close()
	log, err := newLogger(options.Log, logWriter)
	if err != nil {
		return err
	}
	if options.Limit.Process > 0 {
		debug.SetMemoryLimit(max(options.Limit.Process-programBytes, options.Limit.Process/2) / 10 * memoryLimitTenths)
	}
	i := &instance.Instance{
		Options: options, Secrets: secrets, Log: log, LogWriter: logWriter,
		BalancerDelay: min(instance.DefaultBalancerDelay, options.Stop.Grace/balancerDelayDivisor),
	}
	i.ShutdownTimeout = options.Stop.Grace - i.BalancerDelay - shutdown.Margin
	if err := i.Open(cmd.Context()); err != nil {
		return err
	}
	hangups, stop := notifyHangup()
	defer stop()
	go newReloader(settingsFile, i).Run(cmd.Context(), hangups)
	return i.Run(cmd.Context())
}

// Shares of the limits in the settings.
const (
	programBytes         = 20_000_000 // memory of the program's file, which the runtime does not count
	memoryLimitTenths    = 9          // the runtime's soft memory limit, in tenths of the rest of the process limit
	balancerDelayDivisor = 3          // the balancer delay is at most the grace period divided by this
)

// readToken reads a token from a file; without a file it returns an empty token.
func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("cli: unable to read a token: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// newLogger returns a logger with the level and format of the settings.
func newLogger(o option.Logging, out io.Writer) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(o.Level)
	if err != nil {
		return nil, fmt.Errorf("cli: log level: %w", err)
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	if o.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	return log, nil
}

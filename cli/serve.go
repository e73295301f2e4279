package cli

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"teaselgate/instance"
	"teaselgate/option"
)

func newServe() *cobra.Command {
	var settings string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:     "serve",
		Short:   "Run one instance until it is told to leave",
		Example: "  teaselgate serve --settings i1.yaml\n  teaselgate serve --settings i1.yaml --check",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			options, err := option.Read(settings)
			if err != nil || checkOnly {
				return err
			}
			return serve(cmd, options)
		},
	}
	cmd.Flags().StringVar(&settings, "settings", "teaselgate.yaml", "settings file of this instance")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and stop")
	return cmd
}

func serve(cmd *cobra.Command, options *option.Options) error {
	tokens, err := readTokens(options)
	if err != nil {
		return err
	}
	log, err := newLogger(options.Log, cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	i := &instance.Instance{Options: options, Tokens: tokens, Log: log, BalancerDelay: instance.DefaultBalancerDelay}
	if err := i.Open(cmd.Context()); err != nil {
		return err
	}
	return i.Run(cmd.Context())
}

func readTokens(o *option.Options) (instance.Tokens, error) {
	var t instance.Tokens
	for _, f := range []struct {
		file string
		out  *string
	}{{o.PlatformToken, &t.Platform}, {o.AdminToken, &t.Admin}, {o.PeerToken, &t.Peer}} {
		token, err := readToken(f.file)
		if err != nil {
			return t, err
		}
		*f.out = token
	}
	return t, nil
}

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

func newLogger(o option.Logging, out io.Writer) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(o.Level)
	if err != nil {
		return nil, fmt.Errorf("cli: log level: %w", err)
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	if o.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log, nil
}

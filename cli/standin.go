package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"teaselgate/rule"
	standengine "teaselgate/standin/engine"
	standplatform "teaselgate/standin/platform"
	standservice "teaselgate/standin/service"
)

const standinHeaderTimeout = 5 * time.Second

func newStandin() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "standin",
		Short:   "Run a stand-in of an outside system, for trials and tests",
		Example: "  teaselgate standin platform --listen 127.0.0.1:7000",
	}
	cmd.AddCommand(newStandinPlatform(), newStandinEngine(), newStandinService())
	return cmd
}

func newStandinPlatform() *cobra.Command {
	var listen, token string
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run a stand-in of the platform's object API",
		Example: "  teaselgate standin platform --listen 127.0.0.1:7000",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveStandin(cmd, listen, standplatform.NewServer(token).Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	cmd.Flags().StringVar(&token, "token", "", "bearer token that callers must show")
	return cmd
}

func newStandinEngine() *cobra.Command {
	var listen, name, duty string
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Run a stand-in of a model engine",
		Example: "  teaselgate standin engine --duty decode --listen 127.0.0.1:8001",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			e := standengine.NewEngine(name, rule.Duty(duty))
			go func() { _ = e.Run(cmd.Context()) }()
			return serveStandin(cmd, listen, e.Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	cmd.Flags().StringVar(&name, "name", "engine", "name of the engine")
	cmd.Flags().StringVar(&duty, "duty", "decode", "prefill or decode")
	return cmd
}

func newStandinService() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Run a stand-in of a plain service",
		Example: "  teaselgate standin service --listen 127.0.0.1:9001",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveStandin(cmd, listen, standservice.NewService().Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	return cmd
}

// serveStandin prints the bound address and serves until the command is told to stop.
func serveStandin(cmd *cobra.Command, listen string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(cmd.Context(), "tcp", listen)
	if err != nil {
		return fmt.Errorf("cli: unable to listen: %w", err)
	}
	fmt.Fprintln(cmd.OutOrStdout(), "listening on", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	stop := context.AfterFunc(cmd.Context(), func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("cli: stand-in failed: %w", err)
	}
	return nil
}

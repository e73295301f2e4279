package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/time/rate"

	"teaselgate/load"
	"teaselgate/rule"
	standengine "teaselgate/standin/engine"
	standplatform "teaselgate/standin/platform"
	standservice "teaselgate/standin/service"
)

// standinHeaderTimeout is the timeout for reading a request's headers.
const standinHeaderTimeout = 5 * time.Second

// errStandinViolations is returned by a stand-in that recorded a violated guarantee.
var errStandinViolations = errors.New("cli: a guarantee was violated")

func newStandinCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "standin",
		Short:   "Run a stand-in of an external system, for trials and tests",
		Example: "  teaselgate standin platform --listen 127.0.0.1:7000",
	}
	cmd.AddCommand(newStandinPlatformCommand(), newStandinEngineCommand(), newStandinServiceCommand())
	return cmd
}

func newStandinPlatformCommand() *cobra.Command {
	var address, tokenFile string
	var reads, writes int
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run a stand-in of the platform's object API",
		Example: "  teaselgate standin platform --listen 127.0.0.1:7000 --token platform.token",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			token, err := readToken(tokenFile)
			if err != nil {
				return err
			}
			server := standplatform.NewServer(token)
			server.ReadLimit, server.WriteLimit = newRateLimiter(reads), newRateLimiter(writes)
			return serveStandin(cmd, address, server.Handler(), deadlyRequests{})
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "address to listen on")
	cmd.Flags().StringVar(&tokenFile, "token", "", "file with the bearer token that clients must send")
	cmd.Flags().IntVar(&reads, "reads", 0, "reads and watches allowed per second; 0 for no limit")
	cmd.Flags().IntVar(&writes, "writes", 0, "writes allowed per second; 0 for no limit")
	return cmd
}

// newRateLimiter returns a limiter whose rate and burst are both perSecond, or nil for 0, which sets no limit.
func newRateLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

func newStandinEngineCommand() *cobra.Command {
	var address, name, duty string
	var fenced bool
	var deadly deadlyRequests
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in of a model engine",
		Long: "Runs an engine with the parameters of the load profiles. When it is stopped, it prints how much memory\n" +
			"attempts still hold and which credential headers it received, and fails if there are any.",
		Example: "  teaselgate standin engine --duty decode --listen 127.0.0.1:8001",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if duty != string(rule.Prefill) && duty != string(rule.Decode) {
				return usageError{fmt.Errorf("cli: --duty must be %s or %s", rule.Prefill, rule.Decode)}
			}
			e := standengine.NewEngine(name, rule.Duty(duty))
			load.EngineConfigurer(1)(e)
			e.Fenced = fenced
			go func() { _ = e.Run(cmd.Context()) }()
			if err := serveStandin(cmd, address, e.Handler(), deadly); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d pieces held, credential headers seen: %v\n", e.UsedPieces(), e.LeakedHeaders())
			if e.UsedPieces() > 0 || len(e.LeakedHeaders()) > 0 {
				return errStandinViolations
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "address to listen on")
	cmd.Flags().StringVar(&name, "name", "engine", "name of the engine")
	cmd.Flags().StringVar(&duty, "duty", string(rule.Decode), "prefill or decode")
	cmd.Flags().BoolVar(&fenced, "fenced", false, "reject orders with an old fencing number")
	deadly.addFlags(cmd)
	return cmd
}

func newStandinServiceCommand() *cobra.Command {
	var address string
	var deadly deadlyRequests
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a stand-in of a plain service",
		Long: "Runs every request and counts the runs. When it is stopped, it prints one line for each run and the\n" +
			"credential headers that it received, and fails if a request ran twice or there were such headers.",
		Example: "  teaselgate standin service --listen 127.0.0.1:9001",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			service := standservice.NewService()
			if err := serveStandin(cmd, address, service.Handler(), deadly); err != nil {
				return err
			}
			return reportService(cmd, service)
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "address to listen on")
	deadly.addFlags(cmd)
	return cmd
}

// reportService prints the runs and the credential headers that the service received, and returns an error if a request
// with an idempotency key or a body ran more than once, or if there were such headers.
func reportService(cmd *cobra.Command, service *standservice.Service) error {
	var err error
	for key, runs := range service.Runs() {
		for range runs {
			fmt.Fprintln(cmd.OutOrStdout(), "ran", key)
		}
		if key != "" && runs > 1 {
			err = errStandinViolations
		}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "credential headers seen: %v\n", service.LeakedHeaders())
	if len(service.LeakedHeaders()) > 0 {
		err = errStandinViolations
	}
	return err
}

// serveStandin prints the bound address and serves until the command's context ends or a request crashes the stand-in.
func serveStandin(cmd *cobra.Command, address string, handler http.Handler, deadly deadlyRequests) error {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(cmd.Context(), "tcp", address)
	if err != nil {
		return fmt.Errorf("cli: unable to listen: %w", err)
	}
	fmt.Fprintln(cmd.OutOrStdout(), "listening on", listener.Addr())
	server := &http.Server{ReadHeaderTimeout: standinHeaderTimeout}
	var crashed atomic.Bool
	server.Handler = deadly.handler(handler, func() {
		crashed.Store(true)
		server.Close()
	})
	stop := context.AfterFunc(cmd.Context(), func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("cli: stand-in failed: %w", err)
	}
	if crashed.Load() {
		return errStandinCrashed
	}
	return nil
}

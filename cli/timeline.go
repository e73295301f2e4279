package cli

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"teaselgate/admin"
	"teaselgate/event"
	"teaselgate/platform"
	"teaselgate/timeline"
)

// errNoInstances is returned if there is no instance to read events from.
var errNoInstances = errors.New("cli: the platform lists no instances; name them with --admin")

// timelineFlags are the flags of the timeline command.
type timelineFlags struct {
	adminAddresses    []string
	adminTokenFile    string
	authorityFile     string
	platformURL       string
	platformTokenFile string
	filter            timeline.Filter
	json              bool
}

func newTimelineCommand() *cobra.Command {
	var f timelineFlags
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Print the events of all instances as one ordered timeline",
		Long: "Reads the events that each instance keeps and prints them in causal order: an event comes after its cause,\n" +
			"whatever the clocks of the machines say. The instances are those of --admin and, with --platform, those of\n" +
			"the platform's list. The output of --json can be opened in trace viewers.",
		Example: "  teaselgate timeline --admin 10.0.0.1:8081 --admin 10.0.0.2:8081 --admin-token admin.token\n" +
			"  teaselgate timeline --platform http://10.0.0.9:7000 --platform-token platform.token --admin-token admin.token --json > trace.json\n" +
			"  teaselgate timeline --admin 10.0.0.1:8081 --admin-token admin.token --request 5f0c6a1e22d94b7c8a3b10ff --last 10m",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.adminAddresses, "admin", nil,
		"address of an instance's admin listener; may be repeated")
	flags.StringVar(&f.adminTokenFile, "admin-token", "", "file with the operators' token")
	flags.StringVar(&f.authorityFile, "authority", "",
		"file with the certificate authority (PEM) of admin listeners that use TLS")
	flags.StringVar(&f.platformURL, "platform", "", "URL of the platform's object API, to find the instances")
	flags.StringVar(&f.platformTokenFile, "platform-token", "", "file with the platform's token")
	flags.StringVar(&f.filter.Request, "request", "", "only events of the request with this id")
	flags.DurationVar(&f.filter.MaxAge, "last", 0, "only events of this recent period, such as 10m; 0 for all")
	flags.BoolVar(&f.json, "json", false, "print JSON in the Chrome trace event format")
	return cmd
}

func (f *timelineFlags) run(cmd *cobra.Command) error {
	if len(f.adminAddresses) == 0 && f.platformURL == "" {
		return usageError{errors.New("cli: timeline needs --admin or --platform")}
	}
	token, err := readToken(f.adminTokenFile)
	if err != nil {
		return err
	}
	client, err := admin.NewClient(token, f.authorityFile)
	if err != nil {
		return err
	}
	addresses, err := f.addresses(cmd.Context())
	if err != nil {
		return err
	}
	events, failures := timeline.Collect(cmd.Context(), addresses,
		func(ctx context.Context, address string) ([]event.Event, error) {
			var kept []event.Event
			err := client.Get(ctx, address, f.filter.Path(), &kept)
			return kept, err
		})
	write := timeline.WriteText
	if f.json {
		write = timeline.WriteTrace
	}
	if err := write(cmd.OutOrStdout(), events); err != nil {
		return err
	}
	if len(failures) > 0 {
		return fmt.Errorf("cli: the timeline is incomplete: %w", errors.Join(failures...))
	}
	return nil
}

// addresses returns the addresses of --admin. With --platform it adds those of the platform's list, and returns them
// sorted and without duplicates.
func (f *timelineFlags) addresses(ctx context.Context) ([]string, error) {
	if f.platformURL == "" {
		return f.adminAddresses, nil
	}
	token, err := readToken(f.platformTokenFile)
	if err != nil {
		return nil, err
	}
	list, err := platform.NewClient(f.platformURL, token).Instances(ctx)
	if err != nil {
		return nil, fmt.Errorf("cli: unable to list the instances: %w", err)
	}
	addresses := f.adminAddresses
	for _, i := range list {
		addresses = append(addresses, i.Admin)
	}
	if len(addresses) == 0 {
		return nil, errNoInstances
	}
	slices.Sort(addresses)
	return slices.Compact(addresses), nil
}

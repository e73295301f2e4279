package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"teaselgate/config"
	"teaselgate/platform"
)

// connectionFlags are the flags for access to the platform and the instances.
type connectionFlags struct {
	platformURL       string
	platformTokenFile string
	adminTokenFile    string
	adminAddresses    []string // admin addresses of instances that are asked for the others
}

func (f *connectionFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.platformURL, "platform", "", "URL of the platform's object API")
	cmd.Flags().StringVar(&f.platformTokenFile, "platform-token", "", "file with the platform's token")
	cmd.Flags().StringVar(&f.adminTokenFile, "admin-token", "", "file with the operators' token for the instances")
	cmd.Flags().StringArrayVar(&f.adminAddresses, "admin", nil,
		"admin address of an instance, which names the others; may be repeated")
}

func (f *connectionFlags) platformClient() (*platform.Client, error) {
	if f.platformURL == "" {
		return nil, usageError{fmt.Errorf("cli: --platform is missing")}
	}
	token, err := readToken(f.platformTokenFile)
	if err != nil {
		return nil, err
	}
	return platform.NewClient(f.platformURL, token), nil
}

func (f *connectionFlags) statusCollector() (*config.StatusCollector, error) {
	token, err := readToken(f.adminTokenFile)
	if err != nil {
		return nil, err
	}
	return config.NewStatusCollector(token), nil
}

func newStatusCommand() *cobra.Command {
	var connection connectionFlags
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print the instances, the revision that each has in force, and those that lag",
		Long: "Finds the instances by the platform's list and by asking the instances of --admin, which also works while\n" +
			"the platform is down. Fails if a live instance lags or does not answer.",
		Example: "  teaselgate status --platform http://10.0.0.1:7000 --platform-token token --admin-token admin\n" +
			"  teaselgate status --admin 10.0.1.1:7101 --admin-token admin",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return status(cmd, &connection, asJSON) },
	}
	connection.register(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// statusOutput is the JSON output of status.
type statusOutput struct {
	Revision  uint64                  `json:"revision"` // newest known
	Platform  string                  `json:"platform"` // "answers", "not asked", or "does not answer" with the error
	Instances []config.InstanceReport `json:"instances"`
	Lagging   []string                `json:"lagging,omitempty"`
}

// status collects and prints the status of all instances.
func status(cmd *cobra.Command, connection *connectionFlags, asJSON bool) error {
	output := statusOutput{Platform: "not asked"}
	var client *platform.Client
	if connection.platformURL != "" || len(connection.adminAddresses) == 0 {
		var err error
		if client, err = connection.platformClient(); err != nil {
			return err
		}
		output.Platform = "answers"
		if output.Revision, err = config.NewestRevision(cmd.Context(), client); err != nil {
			output.Platform = "does not answer: " + err.Error()
		}
	}
	collector, err := connection.statusCollector()
	if err != nil {
		return err
	}
	members, err := collector.Members(cmd.Context(), client, connection.adminAddresses)
	if err != nil {
		return err
	}
	output.Instances = collector.Collect(cmd.Context(), members)
	for _, r := range output.Instances {
		if r.Status != nil {
			output.Revision = max(output.Revision, r.Status.Revision)
		}
	}
	output.Lagging = config.Lagging(output.Instances, output.Revision)
	return printStatus(cmd, output, asJSON)
}

// printStatus prints the status and returns an error if instances lag.
func printStatus(cmd *cobra.Command, output statusOutput, asJSON bool) error {
	if asJSON {
		if err := printJSON(cmd, output); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(cmd.OutOrStdout(), "newest revision %d; the platform %s\n", output.Revision, output.Platform)
		printInstanceReports(cmd.OutOrStdout(), output.Instances, output.Revision)
		printEvacuations(cmd.OutOrStdout(), output.Instances)
	}
	if len(output.Lagging) > 0 {
		return fmt.Errorf("cli: %d instances lag or do not answer", len(output.Lagging))
	}
	return nil
}

// printInstanceReports prints a table of the instances. Its note column says which revision an instance has rejected,
// or else whether the instance is at an older revision than the given one.
func printInstanceReports(out io.Writer, reports []config.InstanceReport, revision uint64) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "instance\tzone\tstate\trevision\tready\tconnected\tnote")
	for _, r := range reports {
		if r.Status == nil {
			fmt.Fprintf(table, "%s\t%s\t%s\t?\t?\t?\t%s\n", r.Name, r.Zone, r.State, r.Error)
			continue
		}
		s := r.Status
		note := ""
		switch {
		case s.Rejected != nil:
			note = fmt.Sprintf("refused revision %d: %s", s.Rejected.Revision, s.Rejected.Reason)
		case s.Revision < revision:
			note = describeLag(s)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%t\t%t\t%s\n", r.Name, r.Zone, r.State, s.Revision, s.Ready, s.Connected, note)
	}
	_ = table.Flush()
}

// describeLag says why an instance is at an older revision than others, as far as it knows.
func describeLag(s *config.Status) string {
	if s.Fetching == nil {
		return "lags"
	}
	return fmt.Sprintf("lags: fetching revision %d for %v, %d of %d parts missing",
		s.Fetching.Revision, s.Fetching.Lag.Round(time.Millisecond), s.Fetching.Missing, s.Fetching.Parts)
}

// printJSON prints a value as indented JSON.
func printJSON(cmd *cobra.Command, v any) error {
	encoder := json.NewEncoder(cmd.OutOrStdout())
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return fmt.Errorf("cli: unable to print JSON: %w", err)
	}
	return nil
}

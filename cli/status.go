package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"teaselgate/config"
	"teaselgate/platform"
)

// reachFlags tell how to reach the platform and the instances.
type reachFlags struct {
	base          string
	platformToken string
	adminToken    string
	admins        []string
}

func (f *reachFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.base, "platform", "", "URL of the platform's object API")
	cmd.Flags().StringVar(&f.platformToken, "platform-token", "", "file with the platform's token")
	cmd.Flags().StringVar(&f.adminToken, "admin-token", "", "file with the operators' token of the instances")
	cmd.Flags().StringArrayVar(&f.admins, "admin", nil, "admin address of an instance to ask for others; may be repeated")
}

func (f *reachFlags) client() (*platform.Client, error) {
	if f.base == "" {
		return nil, usageError{fmt.Errorf("cli: --platform is missing")}
	}
	token, err := readToken(f.platformToken)
	if err != nil {
		return nil, err
	}
	return platform.NewClient(f.base, token), nil
}

func (f *reachFlags) surveyor() (*config.StatusCollector, error) {
	token, err := readToken(f.adminToken)
	if err != nil {
		return nil, err
	}
	return &config.StatusCollector{HTTP: &http.Client{}, Token: token}, nil
}

func newStatus() *cobra.Command {
	var reach reachFlags
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print which instances live, the revision each has in force, and those that lag",
		Long: "Finds the instances by the platform's list and, also while the platform is down, through the instances\n" +
			"at --admin. Fails if a live instance lags or does not answer.",
		Example: "  teaselgate status --platform http://10.0.0.1:7000 --platform-token token --admin-token admin\n" +
			"  teaselgate status --admin 10.0.1.1:7101 --admin-token admin",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return status(cmd, &reach, asJSON) },
	}
	reach.add(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

type statusAnswer struct {
	Revision  uint64          `json:"revision"` // newest that is known
	Platform  string          `json:"platform"` // how the platform answered
	Instances []config.InstanceReport `json:"instances"`
	Lagging   []string        `json:"lagging,omitempty"`
}

func status(cmd *cobra.Command, reach *reachFlags, asJSON bool) error {
	answer := statusAnswer{Platform: "not asked"}
	var client *platform.Client
	if reach.base != "" || len(reach.admins) == 0 {
		var err error
		if client, err = reach.client(); err != nil {
			return err
		}
		answer.Platform = "answers"
		if answer.Revision, err = config.NewestRevision(cmd.Context(), client); err != nil {
			answer.Platform = "does not answer: " + err.Error()
		}
	}
	surveyor, err := reach.surveyor()
	if err != nil {
		return err
	}
	members, err := surveyor.Members(cmd.Context(), client, reach.admins)
	if err != nil {
		return err
	}
	answer.Instances = surveyor.Collect(cmd.Context(), members)
	for _, r := range answer.Instances {
		if r.Status != nil {
			answer.Revision = max(answer.Revision, r.Status.Revision)
		}
	}
	answer.Lagging = config.Lagging(answer.Instances, answer.Revision)
	return printStatus(cmd, answer, asJSON)
}

func printStatus(cmd *cobra.Command, answer statusAnswer, asJSON bool) error {
	if asJSON {
		if err := printJSON(cmd, answer); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(cmd.OutOrStdout(), "newest revision %d; the platform %s\n", answer.Revision, answer.Platform)
		printReports(cmd.OutOrStdout(), answer.Instances, answer.Revision)
	}
	if len(answer.Lagging) > 0 {
		return fmt.Errorf("cli: %d instances lag or don't answer", len(answer.Lagging))
	}
	return nil
}

func printReports(out io.Writer, reports []config.InstanceReport, revision uint64) {
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
			note = "lags"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%t\t%t\t%s\n", r.Name, r.Zone, r.State, s.Revision, s.Ready, s.Connected, note)
	}
	_ = table.Flush()
}

func printJSON(cmd *cobra.Command, v any) error {
	encoder := json.NewEncoder(cmd.OutOrStdout())
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return fmt.Errorf("cli: unable to print JSON: %w", err)
	}
	return nil
}

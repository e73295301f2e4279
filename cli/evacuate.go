package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"teaselgate/config"
	"teaselgate/delay"
	"teaselgate/rule"
)

// watchInterval is the time between two looks at the requests that run in an evacuated availability zone.
const watchInterval = time.Second

var (
	errNoServerLeft = errors.New("cli: a pool would be left without a server; --last does it all the same")
	errNotEvacuated = errors.New("cli: the rules don't evacuate this availability zone")
)

// evacuateFlags are the flags of evacuate.
type evacuateFlags struct {
	change    changeFlags
	reason    string
	end       bool
	last      bool // whether a pool may be left without a server
	approvals []string
	wait      time.Duration
	watch     time.Duration
}

func newEvacuateCommand() *cobra.Command {
	var flags evacuateFlags
	cmd := &cobra.Command{
		Use:   "evacuate ZONE FILE",
		Short: "Evacuate an availability zone, or take its evacuation back",
		Long: "Adds a rule that evacuates the zone to the rules file, or removes it with --end, prints the capacity that is\n" +
			"left, and applies the file. The zone's servers then get no new work; requests that run there go on. With --watch\n" +
			"the command waits until none is left. A change that leaves a pool without a server needs --last.",
		Example: "  teaselgate evacuate ala-b rules.yaml --reason 'aigerim: new transformers' --watch 5m \\\n" +
			"    --platform http://10.0.0.1:7000 --platform-token token --admin-token admin\n" +
			"  teaselgate evacuate ala-b rules.yaml --end --platform http://10.0.0.1:7000 --platform-token token",
		Args: exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error { return evacuate(cmd, &flags, args[0], args[1]) },
	}
	flags.change.register(cmd)
	cmd.Flags().StringVar(&flags.change.secretFile, "secret", "", "file with the secret of the operator who requests the change")
	cmd.Flags().StringArrayVar(&flags.approvals, "approved-by", nil, "approval as printed by approve; may be repeated")
	cmd.Flags().StringVar(&flags.reason, "reason", "", "comment of the rule: who asks for the evacuation, and why")
	cmd.Flags().BoolVar(&flags.end, "end", false, "take the evacuation back")
	cmd.Flags().BoolVar(&flags.last, "last", false, "allow a pool to be left without a server")
	cmd.Flags().DurationVar(&flags.wait, "wait", defaultWait, "how long to wait until every live instance has the rules in force")
	cmd.Flags().DurationVar(&flags.watch, "watch", 0, "how long to wait until no request runs in the zone")
	return cmd
}

// evacuate changes the rules file, checks the capacity that is left, and applies the file.
func evacuate(cmd *cobra.Command, flags *evacuateFlags, zone, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("cli: unable to read the rules: %w", err)
	}
	changed := addEvacuation(string(text), zone, flags.reason)
	if flags.end {
		if changed, err = removeEvacuation(string(text), zone); err != nil {
			return err
		}
	}
	edited := filepath.Join(filepath.Dir(file), "."+filepath.Base(file)+".new")
	if err := os.WriteFile(edited, []byte(changed), 0o600); err != nil {
		return fmt.Errorf("cli: unable to write the rules: %w", err)
	}
	defer func() { _ = os.Remove(edited) }() // gone already if the change was applied
	plan, err := flags.change.plan(cmd, edited)
	if err != nil {
		return err
	}
	printPlan(cmd.OutOrStdout(), plan)
	if err := checkCapacity(plan, flags.last); err != nil {
		return err
	}
	request, client, err := flags.change.readChangeRequest(cmd, edited, flags.approvals)
	if err != nil {
		return err
	}
	if err := os.Rename(edited, file); err != nil {
		return fmt.Errorf("cli: unable to write the rules: %w", err)
	}
	result, err := config.NewWriter(client).Apply(cmd.Context(), request)
	err = flags.change.reportResult(cmd, client, result, err, flags.wait)
	if err != nil || flags.end || flags.watch == 0 {
		return err
	}
	return flags.watchZone(cmd, zone)
}

// addEvacuation returns the text of a rules file with a rule that evacuates a zone.
func addEvacuation(text, zone, reason string) string {
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return text + fmt.Sprintf("- {evacuate: %s}   # %s\n", zone, reason)
}

// removeEvacuation returns the text of a rules file without the rules that evacuate a zone.
func removeEvacuation(text, zone string) (string, error) {
	var out strings.Builder
	found := false
	for line := range strings.Lines(text) {
		mapping, _, _ := strings.Cut(strings.TrimPrefix(strings.TrimSpace(line), "- "), "#")
		parsed, err := rule.ParseLine(strings.TrimSpace(mapping), "cli: being edited")
		if err == nil && parsed.Kind == rule.KindEvacuate && parsed.Name == zone {
			found = true
			continue
		}
		out.WriteString(line)
	}
	if !found {
		return "", errNotEvacuated
	}
	return out.String(), nil
}

// checkCapacity returns an error if a planned evacuation leaves a pool without a server, unless that is allowed.
func checkCapacity(plan *config.Plan, allowed bool) error {
	for _, c := range plan.Capacity() {
		if c.After == 0 && c.Before > 0 && !allowed {
			return fmt.Errorf("%w (pool %s)", errNoServerLeft, c.Pool)
		}
	}
	return nil
}

// watchZone prints how many requests run in a zone until there are none, or returns an error if some are left.
func (f *evacuateFlags) watchZone(cmd *cobra.Command, zone string) error {
	client, err := f.change.connection.platformClient()
	if err != nil {
		return err
	}
	collector, err := f.change.connection.statusCollector()
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(cmd.Context(), f.watch)
	defer stop()
	for {
		members, err := collector.Members(cmd.Context(), client, f.change.connection.adminAddresses)
		if err != nil {
			return err
		}
		state := evacuationStates(collector.Collect(cmd.Context(), members))[zone]
		fmt.Fprintln(cmd.OutOrStdout(), state.describe(zone))
		if state.inForce == state.instances && state.running == 0 {
			return nil
		}
		if delay.For(ctx, watchInterval) != nil {
			return fmt.Errorf("cli: %d requests still run in %s", state.running, zone)
		}
	}
}

// evacuationState is how far the evacuation of an availability zone has come.
type evacuationState struct {
	instances int // that answered
	inForce   int // instances at which the evacuation is in force
	running   int // requests at the zone's servers
}

func (s evacuationState) describe(zone string) string {
	return fmt.Sprintf("zone %s: evacuated at %d of %d instances, %d requests run there", zone, s.inForce, s.instances, s.running)
}

// evacuationStates returns the states of the zones that are evacuated at an instance at least.
func evacuationStates(reports []config.InstanceReport) map[string]evacuationState {
	out := make(map[string]evacuationState)
	answered := 0
	for _, r := range reports {
		if r.Status == nil {
			continue
		}
		answered++
		for _, zone := range r.Status.Evacuated {
			s := out[zone]
			s.inForce++
			out[zone] = s
		}
	}
	for zone, s := range out {
		s.instances = answered
		for _, r := range reports {
			if r.Status != nil {
				s.running += r.Status.Running[zone]
			}
		}
		out[zone] = s
	}
	return out
}

// printEvacuations prints a line for each evacuated zone.
func printEvacuations(out io.Writer, reports []config.InstanceReport) {
	states := evacuationStates(reports)
	for _, zone := range slices.Sorted(maps.Keys(states)) {
		fmt.Fprintln(out, states[zone].describe(zone))
	}
}

package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"teaselgate/event"
	"teaselgate/timeline"
)

func newExplainCommand() *cobra.Command {
	var logFiles []string
	cmd := &cobra.Command{
		Use:   "explain ID",
		Short: "Explain one request from the logs of all instances",
		Long: "Reads the JSON logs of one or more instances and prints the decisions on one request in causal order,\n" +
			"whatever the instances' clocks say, with the last known state of its servers, and the cause of its end.",
		Example: "  teaselgate explain 9c41d07be2a35f68 < all.log\n" +
			"  teaselgate explain 9c41d07be2a35f68 --log i1.log --log i2.log",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			events, err := readLogs(cmd, logFiles)
			if err != nil {
				return err
			}
			explanation, ok := timeline.Explain(events, args[0])
			if !ok {
				return fmt.Errorf("cli: the logs contain no events of request %q", args[0])
			}
			return timeline.WriteExplanation(cmd.OutOrStdout(), explanation)
		},
	}
	cmd.Flags().StringSliceVar(&logFiles, "log", nil, "log file; may be repeated; standard input if not given")
	return cmd
}

// readLogs returns the events of all log files, or of standard input if there are no files.
func readLogs(cmd *cobra.Command, files []string) ([]event.Event, error) {
	if len(files) == 0 {
		return timeline.ReadLog(cmd.InOrStdin())
	}
	var all []event.Event
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("cli: unable to open a log: %w", err)
		}
		events, err := timeline.ReadLog(file)
		file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, events...)
	}
	return all, nil
}

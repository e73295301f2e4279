package cli

import (
	"errors"

	"github.com/spf13/cobra"

	"teaselgate/admin"
	"teaselgate/preview"
)

// previewFlags are the flags of the preview command.
type previewFlags struct {
	adminAddress   string
	adminTokenFile string
	authorityFile  string
	described      preview.Request
	json           bool
}

func newPreviewCommand() *cobra.Command {
	var f previewFlags
	cmd := &cobra.Command{
		Use:   "preview PATH",
		Short: "Explain where a request would go now, without sending it",
		Long: "Asks an instance where a request to a path would go now: its rank, the predicted wait, what goes before it, and\n" +
			"the servers that were weighed with the reason why each was chosen or not. Nothing is sent to a backend server,\n" +
			"queued or charged. The answer holds for requests that reach this instance, at this moment.",
		Example: "  teaselgate preview /v1/completions --account acme --prompt 3000 --output 400 --admin 10.0.0.1:8081 --admin-token admin.token\n" +
			"  teaselgate preview /orders --host shop.example --left 2s --admin 10.0.0.1:8081 --admin-token admin.token",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f.described.Path = args[0]
			return f.run(cmd)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.adminAddress, "admin", "", "address of an instance's admin listener")
	flags.StringVar(&f.adminTokenFile, "admin-token", "", "file with the operators' token")
	flags.StringVar(&f.authorityFile, "authority", "",
		"file with the certificate authority (PEM) of admin listeners that use TLS")
	flags.StringVar(&f.described.Host, "host", "", "host name of the request, where routes depend on it")
	flags.StringVar(&f.described.Account, "account", "", "name of the client account")
	flags.IntVar(&f.described.Prompt, "prompt", 0, "tokens of the prompt of a model request")
	flags.IntVar(&f.described.Output, "output", 0, "most tokens of the answer to a model request")
	flags.DurationVar(&f.described.Left, "left", 0, "time until the caller's deadline; 0 for the longest of the route")
	flags.BoolVar(&f.json, "json", false, "print JSON")
	return cmd
}

func (f *previewFlags) run(cmd *cobra.Command) error {
	if f.adminAddress == "" {
		return usageError{errors.New("cli: preview needs --admin")}
	}
	token, err := readToken(f.adminTokenFile)
	if err != nil {
		return err
	}
	client, err := admin.NewClient(token, f.authorityFile)
	if err != nil {
		return err
	}
	var decision preview.Decision
	if err := client.Get(cmd.Context(), f.adminAddress, f.described.Query(), &decision); err != nil {
		return err
	}
	if f.json {
		return printJSON(cmd, decision)
	}
	return decision.Write(cmd.OutOrStdout())
}

package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
)

// execute runs a command line and returns its exit code and output.
func execute(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = Execute(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

func TestCommandsExitWithCodeAndMessage(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing.yaml")
	invalid := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(invalid, []byte("colour: red\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		args     string
		wantCode int
		wantText string // part of the output
	}{
		{"version", ExitOK, "teaselgate " + Version},
		{"--version", ExitOK, Version},
		{"--help", ExitOK, "Exit codes: 0"},
		{"serve --help", ExitOK, "--settings"},
		{"", ExitUsage, "needs a command"},
		{"nonsense", ExitUsage, `unknown command "nonsense"`},
		{"standin", ExitUsage, "needs a command"},
		{"standin nonsense", ExitUsage, `unknown command "nonsense"`},
		{"key nonsense", ExitUsage, `unknown command "nonsense"`},
		{"version --nonsense", ExitUsage, "unknown flag"},
		{"version extra", ExitUsage, "accepts 0 arg(s)"},
		{"demo --length soon", ExitUsage, "invalid argument"},
		{"check", ExitUsage, "accepts 1 arg(s)"},
		{"check " + missing, ExitFailed, "unable to read the rules"},
		{"check " + invalid, ExitFailed, "bad.yaml:1:1: "},
		{"serve --check --settings " + missing, ExitFailed, "unable to read the settings"},
		{"serve --check --settings " + invalid, ExitFailed, `bad.yaml:1:1: unknown setting "colour"`},
		{"timeline", ExitUsage, "needs --admin or --platform"},
		{"timeline --admin 127.0.0.1:1", ExitFailed, "the timeline is incomplete"},
		{"timeline --admin 127.0.0.1:1 --admin-token " + missing, ExitFailed, "unable to read a token"},
	}
	for _, test := range tests {
		t.Run(test.args, func(t *testing.T) {
			code, stdout, stderr := execute(strings.Fields(test.args)...)
			if code != test.wantCode || !strings.Contains(stdout+stderr, test.wantText) {
				t.Errorf("unexpected exit code %d, output %s%s, instead of %d and %q",
					code, stdout, stderr, test.wantCode, test.wantText)
			}
			if code != ExitOK && stderr == "" {
				t.Error("unexpected empty standard error of a failed command")
			}
		})
	}
}

func TestVersionPrintsJSON(t *testing.T) {
	_, stdout, _ := execute("version", "--json")
	var info versionInfo
	if err := json.Unmarshal([]byte(stdout), &info); err != nil || info.Version != Version || info.Go == "" {
		t.Errorf("unexpected version, got %s: %v", stdout, err)
	}
}

func TestEveryCommandHasHelpAndExamples(t *testing.T) {
	eachCommand(newRootCommand(), func(cmd *cobra.Command) {
		if cmd.Short == "" || cmd.Example == "" {
			t.Errorf("unexpected empty help of %q: short %q, example %q", cmd.CommandPath(), cmd.Short, cmd.Example)
		}
	})
}

// eachCommand visits a command and, recursively, its subcommands except help.
func eachCommand(cmd *cobra.Command, visit func(*cobra.Command)) {
	visit(cmd)
	for _, child := range cmd.Commands() {
		if child.Name() != "help" {
			eachCommand(child, visit)
		}
	}
}

// The command pages must match the commands' help. To rewrite the pages, run go test ./cli -update.
func TestCommandPagesMatchCommands(t *testing.T) {
	const dir = "../docs/commands"
	golden := goldie.New(t, goldie.WithFixtureDir(dir), goldie.WithNameSuffix(""))
	pages := make(map[string]bool)
	eachCommand(newRootCommand(), func(cmd *cobra.Command) {
		cmd.DisableAutoGenTag = true
		var page bytes.Buffer
		if err := doc.GenMarkdown(cmd, &page); err != nil {
			t.Fatal(err)
		}
		name := strings.ReplaceAll(cmd.CommandPath(), " ", "_") + ".md"
		pages[name] = true
		golden.Assert(t, name, page.Bytes())
	})
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if !pages[entry.Name()] {
			t.Errorf("unexpected page %s without a command", entry.Name())
		}
	}
}

// The example files that the README starts instances with must pass their checks.
func TestExampleFilesPassChecks(t *testing.T) {
	for _, args := range []string{
		"check ../examples/rules.yaml",
		"serve --check --settings ../examples/i1.yaml",
		"serve --check --settings ../examples/i2.yaml",
		"serve --check --settings ../examples/i3.yaml",
	} {
		if code, stdout, stderr := execute(strings.Fields(args)...); code != ExitOK {
			t.Errorf("unexpected exit code %d of %s: %s%s", code, args, stdout, stderr)
		}
	}
}

package cli

import (
	"os"
	"strings"
	"testing"
)

// The rules file must say what is in force: an evacuation adds one line, and its end takes exactly that line away.
func TestEvacuateChangesTheRulesFileAndTheServers(t *testing.T) {
	env := newOperatorEnv(t)
	before := env.site.Rules()
	file := env.writeFile("rules.yaml", before)
	reason := []string{"--reason", "aigerim: new transformers", "--watch", "10s"}
	env.run(ExitFailed, "no server in availability zone", env.withConnectionFlags(append([]string{"evacuate", "nowhere", file}, reason...)...)...)
	zone := "ala-a"
	env.run(ExitFailed, "without a server", env.withConnectionFlags(append([]string{"evacuate", zone, file}, reason...)...)...)
	if text, err := os.ReadFile(file); err != nil || string(text) != before {
		t.Fatalf("a refused evacuation changed the file: %v, %s", err, text)
	}
	env.run(ExitOK, "evacuated at 3 of 3 instances, 0 requests run there",
		env.withConnectionFlags(append([]string{"evacuate", zone, file, "--last"}, reason...)...)...)
	env.run(ExitOK, "zone ala-a: evacuated at 3 of 3 instances", env.withConnectionFlags("status")...)
	if text, err := os.ReadFile(file); err != nil || !strings.HasPrefix(string(text), before) ||
		!strings.Contains(string(text), "{evacuate: ala-a}") {
		t.Fatalf("unexpected rules %s, error %v", text, err)
	}
	env.run(ExitOK, "accepted as revision 3", env.withConnectionFlags("evacuate", zone, file, "--end")...)
	if text, err := os.ReadFile(file); err != nil || string(text) != before {
		t.Errorf("unexpected rules after the end: %s, error %v", text, err)
	}
	env.run(ExitFailed, "don't evacuate", env.withConnectionFlags("evacuate", zone, file, "--end")...)
}

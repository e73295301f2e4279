package main

import (
	"crypto/sha256"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// ownRules is a rules file of the router's own dialect: one line a rule.
type ownRules struct{ lines []string }

func (r *ownRules) add(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

// without returns the rules without those that contain a text.
func (r *ownRules) without(text string) *ownRules {
	out := &ownRules{}
	for _, line := range r.lines {
		if !strings.Contains(line, text) {
			out.lines = append(out.lines, line)
		}
	}
	return out
}

// keyHash returns a key as rules name it.
func keyHash(key string) string { return fmt.Sprintf("sha256:%x", sha256.Sum256([]byte(key))) }

// apply applies the rules by the router's own command and returns what it printed.
func (r *ownRules) apply(folder, storeAddress string) (string, error) {
	path := filepath.Join(folder, "rules.yaml")
	text := ""
	for _, line := range r.lines {
		text += "- {" + line + "}   # operator: review\n"
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", err
	}
	out, err := exec.Command(program, "apply", path, "--platform", "http://"+storeAddress).CombinedOutput() //nolint:noctx // ends by itself
	return strings.TrimSpace(string(out)), err
}

// writeOwnSettings writes settings of an instance that follows a rules file.
func (in *instance) writeOwnSettings(folder string, all []*instance, storeAddress string) error {
	var seeds []string
	for _, other := range all {
		seeds = append(seeds, `"`+other.control+`"`)
	}
	text := fmt.Sprintf("name: %s\nzone: %s\nlisten: %q\nadmin: %q\npeer: %q\npeers: [%s]\nplatform: http://%s\nstop:\n  grace: 8s\n",
		in.name, in.zone, in.front, in.ready, in.control, strings.Join(seeds, ", "), storeAddress)
	for _, token := range []string{"platform", "admin", "peer"} {
		text += fmt.Sprintf("%s-token: %s.token\n", token, token)
		if err := os.WriteFile(filepath.Join(folder, token+".token"), []byte("token-for-the-review-"+token+"\n"), 0o600); err != nil {
			return err
		}
	}
	in.settings = filepath.Join(folder, in.name+".yaml")
	return os.WriteFile(in.settings, []byte(text), 0o600)
}

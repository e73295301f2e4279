package option

import (
	"errors"
	"strings"
	"testing"
)

// FuzzRead checks that Read does not panic on any settings, and that every problem has a position in the file.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{
		validSettings, "", "name", "name: [", "name: {a: b}\n", "- a\n", validSettings + "limit:\n  stall: -1s\n", validSettings + "tls: {certificate: a}\n",
		"name: &a i1\nzone: *a\n", validSettings + "peers: [x, 1]\n", validSettings + "log: {level: loud}\n", "\x00", validSettings + validSettings, "? a\n: b\n", "name: !!int x\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		file := writeFiles(t, text)
		_, _, err := Read(file)
		var problems Problems
		if err == nil || !errors.As(err, &problems) {
			return
		}
		lines := strings.Count(text, "\n") + strings.Count(text, "\r") + 1 // YAML ends lines at both characters
		for _, p := range problems {
			if p.Line < 1 || p.Line > lines+1 || p.Column < 1 || p.Text == "" {
				t.Errorf("unexpected position of a problem in %q: %+v", text, p)
			}
		}
	})
}

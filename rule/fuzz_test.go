package rule

import (
	"strings"
	"testing"
)

// FuzzParse checks that Parse does not panic on any text, that every problem has a position within the text, and that
// a set without problems is equal after it was encoded and decoded.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "#", "---\n", "- {", "- {}", "- {account: a, rate: 1, burst: 2} # m: x\n", "- {account: a, rate: 1, burst: 2, rate: 3} # m: x",
		"- {pool: p, duty: plain, slots: 1} # m: x\n- {route: r, path: /, pool: p} # m: x\n",
		"- {key: \"" + keyHash + "\", account: a} # m: x", "- {account: 'a # b', rate: 1, burst: 2} # m: x",
		"- {change: key, by: [a, b]} # m: x", "- {model: m, first: 1s, between: x} # m: x", "- {account: &a b, rate: *a} # m: x",
		"- {account: \"\\u00e9\", rate: 0x10, burst: 1e3} # m: é", "\x00", "- {? a : b} # m: x", "- {account: !!binary YQ==, rate: 1, burst: 1} # m: x",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		set, problems := Parse("r.yaml", []byte(text))
		lines := strings.Count(text, "\n") + 1
		for _, p := range problems {
			if p.Line < 1 || p.Line > lines || p.Column < 1 || p.Text == "" {
				t.Errorf("unexpected position of a problem in %q: %+v", text, p)
			}
		}
		if len(problems) > 0 {
			return
		}
		encoded, err := EncodeLines(set.Lines())
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeLines(encoded)
		if err != nil {
			t.Fatal(err)
		}
		rebuilt, problems := Build(decoded)
		if len(problems) > 0 || len(Diff(set, rebuilt)) > 0 {
			t.Errorf("unexpected set after encoding and decoding %q: %v, %v", text, problems, Diff(set, rebuilt))
		}
	})
}

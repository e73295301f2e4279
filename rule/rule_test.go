package rule

import "testing"

func TestParseListsEveryProblemWithItsPlace(t *testing.T) {
	text := `# rules
- {pool: p, duty: prefill, slots: 1}   # marat: prefill
- {pool: q, duty: decode, slots: 0}    # marat: decode
- {account: a, rate: 10, burst: 20}
- {account: b, rates: 10, burst: 20}   # marat: typing error
- {wish: b}                            # marat: unknown
server: x
`
	_, problems := Parse("r.yaml", []byte(text))
	want := []string{
		"r.yaml:4:36: the rule has no comment; add \"# who asked: why\"",
		"r.yaml:5:16: unknown field \"rates\"",
		"r.yaml:6:4: unknown kind of rule \"wish\"; allowed are fleet, change, pool, model, server, route, account, key",
		"r.yaml:7:1: a rule is one line of the form \"- {kind: name, ...}   # who asked: why\"",
		"r.yaml:3:1: slots: 0 is not above 0",
		"r.yaml:3:1: pieces: 0 is not above 0; a decode pool needs it",
	}
	if len(problems) != len(want) {
		t.Fatalf("unexpected number of problems, got %d instead of %d: %v", len(problems), len(want), problems)
	}
	for i, p := range problems {
		if p.Error() != want[i] {
			t.Errorf("unexpected problem %d, got %q instead of %q", i, p.Error(), want[i])
		}
	}
}

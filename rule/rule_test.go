package rule

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

const publicKey = "ed25519:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

var keyHash = "sha256:" + strings.Repeat("0a", 32)

func TestParseReportsEveryProblemWithPosition(t *testing.T) {
	text := `# rules
- {pool: p, duty: prefill, slots: 1}   # marat: prefill
- {pool: q, duty: decode, slots: 0}    # marat: decode
- {account: a, rate: 10, burst: 20}
- {account: b, rates: 10, burst: 20, wish: 3}   # marat: typing error
- {wish: b}                            # marat: unknown
server: x
- {pool: p, duty: plain, slots: 1}     # marat: again
- {account: c, rate: 0, burst: 20, rate: 3}   # marat: twice
- {account: d, rate: 1, burst: 2}      # because
- {account: e, rate: x, burst: 2}      # marat: no number
- {account: , rate: 1, burst: 2}       # marat: no name
- {account: f, rate: 1, burst: 2       # marat: not closed
`
	want := []string{
		`r.yaml:3:1: pieces: 0 is not above 0; a decode pool needs it`,
		`r.yaml:3:27: slots: 0 is not above 0`,
		`r.yaml:4:36: the rule has no comment; add "# who: why"`,
		`r.yaml:5:16: unknown field "rates"`,
		`r.yaml:5:38: unknown field "wish"`,
		`r.yaml:6:4: unknown kind of rule "wish"; allowed are fleet, operator, change, pool, model, server, route, account, key, evacuate`,
		`r.yaml:7:1: a rule is one line of the form "- {kind: name, ...}   # who: why"`,
		`r.yaml:8:4: pool p is already defined in line 2`,
		`r.yaml:9:36: duplicate field "rate"`,
		`r.yaml:10:40: the comment is not of the form "# who: why"`,
		`r.yaml:11:22: cannot unmarshal string into Go struct field Account.Rate of type int64`,
		`r.yaml:12:4: account: missing`,
		`r.yaml:13:3: could not find flow mapping end token '}'`,
	}
	checkProblems(t, text, want)
}

func checkProblems(t *testing.T, text string, want []string) {
	t.Helper()
	_, problems := Parse("r.yaml", []byte(text))
	got := make([]string, 0, len(problems))
	for _, p := range problems {
		got = append(got, p.Error())
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("unexpected problems, got\n%s\ninstead of\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestParseRejectsInvalidValues(t *testing.T) {
	const base = "- {operator: marat, key: \"" + publicKey + "\"} # marat: me\n" +
		"- {pool: pre, duty: prefill, slots: 1} # marat: pool\n" +
		"- {pool: dec, duty: decode, slots: 1, pieces: 9} # marat: pool\n" +
		"- {pool: plain, duty: plain, slots: 1} # marat: pool\n" +
		"- {model: m, prefill: pre, decode: dec} # marat: model\n" +
		"- {account: a, rate: 1, burst: 1} # marat: account\n"
	for _, c := range []struct{ line, want string }{
		{`{fleet: f, shards: 3}`, `7:14: shards: 3 is not a power of two from 1 to 4096`},
		{`{operator: x, key: abc}`, `7:17: key: not "ed25519:" and a public key in base64; make one with teaselgate key operator`},
		{`{pool: x, duty: wash, slots: 1}`, `7:13: duty: "wash" is not prefill, decode or plain`},
		{`{model: x, prefill: none, decode: dec}`, `7:14: prefill: there is no pool "none"`},
		{`{model: x, prefill: dec, decode: dec}`, `7:14: prefill: pool "dec" has duty decode, not prefill`},
		{`{model: x, prefill: pre, decode: dec, place: cell, roles: swap}`, `7:54: roles: "swap" is not move or keep`},
		{`{model: x, prefill: pre, decode: dec, place: best}`, `7:41: place: "best" is not cell, robin, least or ewma`},
		{`{model: x, prefill: pre, decode: dec, wait: -1s}`, `7:41: wait: -1s is not above 0`},
		{`{server: x, pool: none, at: "10.0.0.1:1"}`, `7:15: pool: there is no pool "none"`},
		{`{server: x, pool: pre, at: "host:1"}`, `7:26: at: "host:1" is not an IP address and port`},
		{`{server: x, pool: pre, at: "10.0.0.1:1", state: off}`, `7:44: state: "off" is not live or leaving`},
		{`{route: x, path: a, pool: plain}`, `7:14: path: "a" does not start with /`},
		{`{route: x, path: /a}`, `7:4: a route has either a pool or a model`},
		{`{route: x, path: /a, model: none}`, `7:24: model: there is no model "none"`},
		{`{route: x, path: /a, pool: pre}`, `7:24: pool: pool "pre" has duty prefill, not plain`},
		{`{route: x, path: /a, pool: plain, calls: often}`, `7:37: calls: "often" is not idempotent or once`},
		{`{route: x, path: /a, pool: plain, open: maybe}`, `7:37: open: "maybe" is not yes or no`},
		{`{route: x, path: /a, pool: plain, class: slow}`, `7:37: class: "slow" is not order, interactive or summary`},
		{`{route: x, path: /a, pool: plain, outage: wait}`, `7:37: outage: "wait" is not refuse or pass`},
		{`{account: x, rate: -1, burst: 1}`, `7:16: rate: -1 is not above 0 tokens per second`},
		{`{account: x, rate: 1, burst: 0}`, `7:25: burst: 0 is not above 0 tokens`},
		{`{account: x, rate: 1, burst: 1, weight: -1}`, `7:35: weight: -1 is not above 0`},
		{`{key: abc, account: a}`, `7:4: key: not "sha256:" and 64 hexadecimal digits in lower case; make one with teaselgate key new`},
		{`{key: "` + keyHash + `", account: none}`, `7:84: account: there is no account "none"`},
		{`{change: tea, by: [marat]}`, `7:4: change: there is no kind of rule "tea"; allowed are fleet, operator, change, pool, model, server, route, account, key, evacuate`},
		{`{change: key, by: [nobody]}`, `7:17: by: there is no operator "nobody"`},
		{`{change: key, by: []}`, `7:17: by: missing; name the operators who may change the kind`},
		{`{change: key, by: [marat], approvals: 1}`, `7:30: approvals: 1 is not from 0 to 0, the number of others in by`},
	} {
		_, problems := Parse("r.yaml", []byte(base+"- "+c.line+" # marat: try\n"))
		if len(problems) == 0 || !hasProblem(problems, "r.yaml:"+c.want) {
			t.Errorf("unexpected problems of %s, got %v instead of %s", c.line, problems, c.want)
		}
	}
}

func hasProblem(problems []Problem, want string) bool {
	for _, p := range problems {
		if p.Error() == want {
			return true
		}
	}
	return false
}

func TestParseRejectsInvalidUTF8(t *testing.T) {
	checkProblems(t, "- {account: \xef, rate: 1, burst: 1} # marat: no character\n- {account: é, rate: 1, burst: 1} # marat: a character\n", []string{
		`r.yaml:1:13: the line is not valid UTF-8`,
	})
}

func TestParseRequiresChangeRulesForChangeAndOperatorKinds(t *testing.T) {
	checkProblems(t, "- {operator: marat, key: \""+publicKey+"\"} # marat: me\n- {change: key, by: [marat]} # marat: keys\n", []string{
		"r.yaml:2:4: a file with change rules needs one for kind change too, or anybody could remove the others",
		"r.yaml:2:4: a file with change rules needs one for kind operator too, or anybody could remove the others",
	})
}

func TestParseReportsDanglingReferenceAtReferringLine(t *testing.T) {
	checkProblems(t, "- {pool: dec, duty: plain, slots: 1} # marat: renamed\n- {route: r, path: /r, pool: old} # marat: refers\n", []string{
		`r.yaml:2:24: pool: there is no pool "old"`,
	})
}

func TestParseReportsProblemsInStableOrder(t *testing.T) {
	var text strings.Builder
	for i := range 200 {
		fmt.Fprintf(&text, "- {account: a%d, rate: 0, burst: 0}\n- {key: x%d, account: b%d} # marat: x\n", i, i, i)
	}
	_, first := Parse("r.yaml", []byte(text.String()))
	for range 5 {
		_, again := Parse("r.yaml", []byte(text.String()))
		if !reflect.DeepEqual(first, again) {
			t.Fatal("unexpected order of problems: it differs between runs")
		}
	}
	if len(first) != 200*5 {
		t.Errorf("unexpected number of problems, got %d instead of %d", len(first), 200*5)
	}
}

func TestEncodedLinesDecodeToEqualSet(t *testing.T) {
	set, problems := Parse("r.yaml", []byte("- {pool: p, duty: plain, slots: 3} # marat: pool\n- {account: 'a,b', rate: 5, burst: 6} # marat: comma\n- {key: \""+keyHash+"\", account: \"a,b\"} # marat: key\n"))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	text, err := EncodeLines(set.Lines())
	if err != nil {
		t.Fatal(err)
	}
	lines, err := DecodeLines(text)
	if err != nil {
		t.Fatal(err)
	}
	rebuilt, problems := Build(lines)
	if len(problems) > 0 || len(Diff(set, rebuilt)) > 0 {
		t.Errorf("unexpected set after encoding and decoding: %v %v", problems, Diff(set, rebuilt))
	}
	if name, ok := rebuilt.KeyAccount(keyHash); !ok || name != "a,b" {
		t.Errorf("unexpected account, got %q instead of %q", name, "a,b")
	}
}

func TestDifferencesApplyAndReverse(t *testing.T) {
	from, _ := Parse("a", []byte("- {account: a, rate: 1, burst: 1} # m: x\n- {account: b, rate: 1, burst: 1} # m: x\n"))
	to, _ := Parse("b", []byte("- {account: b, rate: 2, burst: 1} # m: x\n- {account: c, rate: 1, burst: 1} # m: x\n"))
	differences := Diff(from, to)
	if len(differences) != 3 {
		t.Fatalf("unexpected differences, got %v instead of 3", differences)
	}
	got, problems, err := from.Apply(differences)
	if err != nil || len(problems) > 0 || len(Diff(got, to)) > 0 {
		t.Errorf("unexpected set after the change: %v %v %v", err, problems, Diff(got, to))
	}
	if n := to.Conflicts(differences); n != 3 {
		t.Errorf("unexpected conflicts, got %d instead of 3", n)
	}
	if _, _, err := to.Apply(differences); err == nil {
		t.Error("unexpected success of a change that conflicts with the set")
	}
	for i, d := range differences {
		differences[i] = d.Reverse()
	}
	reverted, _, err := to.Apply(differences)
	if err != nil || len(Diff(reverted, from)) > 0 {
		t.Errorf("unexpected set after the reversed change: %v", err)
	}
}

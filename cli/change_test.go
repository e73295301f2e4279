package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"teaselgate/config"
	"teaselgate/standin/platform"
	"teaselgate/standin/site"
)

// operatorEnv is an operator's working directory together with a small site that the commands act on.
type operatorEnv struct {
	t    *testing.T
	dir  string
	site *site.Site
}

// newOperatorEnv starts a site and stores the tokens of its platform and its instances in the directory.
func newOperatorEnv(t *testing.T) *operatorEnv {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s, err := site.Start(t.Context(), site.Config{
		Instances: 3, Services: 1, Zones: []string{"ala-a", "ala-b", "ala-c"}, Log: log,
		Accounts: []site.Account{{Name: "shop", Rate: 100, Burst: 100, Weight: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	env := &operatorEnv{t: t, dir: t.TempDir(), site: s}
	t.Cleanup(func() {
		if err := s.Stop(); err != nil {
			t.Error(err)
		}
	})
	env.writeFile("platform-token", site.Secrets.Platform)
	env.writeFile("admin-token", site.Secrets.Admin)
	return env
}

func (e *operatorEnv) path(name string) string { return filepath.Join(e.dir, name) }

// writeFile writes a file in the directory and returns its path.
func (e *operatorEnv) writeFile(name, text string) string {
	e.t.Helper()
	if err := os.WriteFile(e.path(name), []byte(text), 0o600); err != nil {
		e.t.Fatal(err)
	}
	return e.path(name)
}

// withConnectionFlags appends the flags for access to the platform and the instances.
func (e *operatorEnv) withConnectionFlags(args ...string) []string {
	return append(args, "--platform", e.site.PlatformURL(), "--platform-token", e.path("platform-token"),
		"--admin-token", e.path("admin-token"))
}

// run executes a command line, checks its exit code and that its output contains wantText, and returns its standard
// output.
func (e *operatorEnv) run(wantCode int, wantText string, args ...string) string {
	e.t.Helper()
	var stdout, stderr bytes.Buffer
	if got := Execute(args, &stdout, &stderr); got != wantCode {
		e.t.Errorf("unexpected exit code of %v, got %d instead of %d: %s%s", args, got, wantCode, &stdout, &stderr)
	}
	if !strings.Contains(stdout.String()+stderr.String(), wantText) {
		e.t.Errorf("unexpected output of %v, got %s%s without %q", args, &stdout, &stderr, wantText)
	}
	return stdout.String()
}

// createOperator creates the key of an operator and returns the rule line.
func (e *operatorEnv) createOperator(name string) string {
	e.t.Helper()
	out := e.run(ExitOK, "operator: "+name, "key", "operator", "--name", name, "--secret", e.path(name),
		"--reason", "aigerim: of the team")
	return strings.TrimPrefix(out, "rule: ")
}

func TestApplyEnforcesChangeRules(t *testing.T) {
	env := newOperatorEnv(t)
	changeRules := env.createOperator("aigerim") + env.createOperator("marat") +
		"- {change: change, by: [aigerim, marat], approvals: 1}   # aigerim: guards\n" +
		"- {change: operator, by: [aigerim, marat], approvals: 1}   # aigerim: guards\n" +
		"- {change: key, by: [aigerim, marat], approvals: 1}   # aigerim: keys\n"
	guardedRules := env.site.Rules() + changeRules
	file := env.writeFile("rules.yaml", guardedRules)
	env.run(ExitOK, "no problems", "check", file)
	env.run(ExitOK, "5 lines differ from revision 1", env.withConnectionFlags("plan", file)...)
	env.run(ExitOK, "accepted as revision 2", env.withConnectionFlags("apply", file, "--by", "aigerim", "--wait")...)

	keyRule := strings.TrimPrefix(strings.SplitAfter(env.run(ExitOK, "rule: - {key:",
		"key", "new", "--account", "shop", "--reason", "marat: new till"), "rule: ")[1], "rule: ")
	file = env.writeFile("rules.yaml", guardedRules+keyRule)
	env.run(ExitOK, "key: 1 lines, by aigerim, marat, with 1 approvals of others",
		env.withConnectionFlags("plan", file)...)
	apply := env.withConnectionFlags("apply", file, "--by", "aigerim", "--secret", env.path("aigerim"))
	env.run(ExitFailed, "needs 1 approvals by others", apply...)
	approval := strings.TrimSpace(env.run(ExitOK, "marat@2:",
		env.withConnectionFlags("approve", file, "--by", "marat", "--secret", env.path("marat"))...))
	env.run(ExitFailed, "signature of operator \"aigerim\" is missing",
		env.withConnectionFlags("apply", file, "--by", "aigerim", "--approved-by", approval)...)
	out := env.run(ExitOK, `"word": "accepted"`, append(apply, "--approved-by", approval, "--wait", "--json")...)
	var result applyOutput
	if err := json.Unmarshal([]byte(out), &result); err != nil {
		t.Fatal(err)
	}
	if result.Revision != 3 || len(result.Instances) != 3 || len(result.Lagging) != 0 {
		t.Errorf("unexpected output of apply: %+v", result)
	}
	env.run(ExitOK, "accepted: revision 3 already says this", apply...)
	env.run(ExitOK, "newest revision 3; the platform answers", env.withConnectionFlags("status")...)
	env.run(ExitUsage, "is not an approval", append(apply, "--approved-by", "marat")...)
	env.run(ExitUsage, "--platform is missing", "plan", file)
}

func TestCheckListsEveryProblem(t *testing.T) {
	env := &operatorEnv{t: t, dir: t.TempDir()}
	file := env.writeFile("rules.yaml", "- {account: a, rate: 0, burst: 0}\n- {key: x, account: b} # marat: test\n")
	env.run(ExitFailed, "cli: 5 problems in "+file, "check", file)
	env.run(ExitFailed, file+":2:12: account: there is no account \"b\"", "check", file)
}

func TestStatusListsInstancesDuringPlatformOutage(t *testing.T) {
	env := newOperatorEnv(t)
	admin := env.site.Instances()[0].Admin()
	args := []string{"status", "--admin", admin, "--admin-token", env.path("admin-token"), "--json"}
	var status statusOutput
	for len(status.Instances) < 3 && t.Context().Err() == nil { // until the instances have discovered each other
		if err := json.Unmarshal([]byte(env.run(ExitOK, "", args...)), &status); err != nil {
			t.Fatal(err)
		}
	}
	env.site.Platform().SetFaults(platform.Faults{Outage: true})
	env.run(ExitOK, `"state": "live"`, args...)
	env.run(ExitOK, "does not answer", env.withConnectionFlags("status", "--admin", admin)...)
	if len(status.Instances) != 3 || status.Revision != 1 {
		t.Errorf("unexpected status, got %+v instead of 3 instances at revision 1", status)
	}
	lagging := config.Lagging([]config.InstanceReport{
		{Member: config.Member{Name: "i9", State: "live"}}, {Status: &config.Status{Revision: 1}},
	}, 2)
	if len(lagging) != 2 {
		t.Errorf("unexpected lagging instances, got %v instead of one without a status and one at revision 1", lagging)
	}
}

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

// desk is an operator's working directory before a small site.
type desk struct {
	t    *testing.T
	dir  string
	site *site.Site
}

func newDesk(t *testing.T) *desk {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s, err := site.Start(t.Context(), site.Config{
		Instances: 3, Services: 1, Zones: []string{"ala-a", "ala-b", "ala-c"}, Log: log,
		Accounts: []site.Account{{Name: "shop", Rate: 100, Burst: 100, Weight: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	d := &desk{t: t, dir: t.TempDir(), site: s}
	t.Cleanup(func() {
		if err := s.Stop(); err != nil {
			t.Error(err)
		}
	})
	d.write("platform-token", site.Secrets.Platform)
	d.write("admin-token", site.Secrets.Admin)
	return d
}

func (d *desk) path(name string) string { return filepath.Join(d.dir, name) }

func (d *desk) write(name, text string) string {
	d.t.Helper()
	if err := os.WriteFile(d.path(name), []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return d.path(name)
}

// reach adds the flags that lead to the platform and the instances.
func (d *desk) reach(args ...string) []string {
	return append(args, "--platform", d.site.PlatformURL(), "--platform-token", d.path("platform-token"), "--admin-token", d.path("admin-token"))
}

// run executes a command line and checks its exit code and part of its output.
func (d *desk) run(code int, want string, args ...string) string {
	d.t.Helper()
	var out, errs bytes.Buffer
	if got := Execute(args, &out, &errs); got != code {
		d.t.Errorf("unexpected exit code of %v, got %d instead of %d: %s%s", args, got, code, &out, &errs)
	}
	if !strings.Contains(out.String()+errs.String(), want) {
		d.t.Errorf("unexpected output of %v, got %s%s instead of %s", args, &out, &errs, want)
	}
	return out.String()
}

// operator makes an operator and returns the rule line.
func (d *desk) operator(name string) string {
	d.t.Helper()
	out := d.run(ExitOK, "operator: "+name, "key", "operator", "--name", name, "--secret", d.path(name), "--reason", "aigerim: of the team")
	return strings.TrimPrefix(out, "rule: ")
}

func TestChangesGoThroughTheirGuards(t *testing.T) {
	d := newDesk(t)
	guards := d.operator("aigerim") + d.operator("marat") +
		"- {change: change, by: [aigerim, marat], approvals: 1}   # aigerim: guards\n" +
		"- {change: operator, by: [aigerim, marat], approvals: 1}   # aigerim: guards\n" +
		"- {change: key, by: [aigerim, marat], approvals: 1}   # aigerim: keys\n"
	guarded := d.site.Rules() + guards
	file := d.write("rules.yaml", guarded)
	d.run(ExitOK, "no problems", "check", file)
	d.run(ExitOK, "5 lines differ from revision 1", d.reach("plan", file)...)
	d.run(ExitOK, "accepted as revision 2", d.reach("apply", file, "--by", "aigerim", "--wait")...)

	line := strings.TrimPrefix(strings.SplitAfter(d.run(ExitOK, "rule: - {key:", "key", "new", "--account", "shop", "--reason", "marat: new till"), "rule: ")[1], "rule: ")
	file = d.write("rules.yaml", guarded+line)
	d.run(ExitOK, "key: 1 lines, by aigerim, marat, with 1 approvals of others", d.reach("plan", file)...)
	apply := d.reach("apply", file, "--by", "aigerim", "--secret", d.path("aigerim"))
	d.run(ExitFailed, "needs 1 approvals by others", apply...)
	approval := strings.TrimSpace(d.run(ExitOK, "marat@2:", d.reach("approve", file, "--by", "marat", "--secret", d.path("marat"))...))
	d.run(ExitFailed, "signature of operator \"aigerim\" is missing", d.reach("apply", file, "--by", "aigerim", "--approved-by", approval)...)
	out := d.run(ExitOK, `"word": "accepted"`, append(apply, "--approved-by", approval, "--wait", "--json")...)
	var answer applyAnswer
	if err := json.Unmarshal([]byte(out), &answer); err != nil {
		t.Fatal(err)
	}
	if answer.Revision != 3 || len(answer.Instances) != 3 || len(answer.Lagging) != 0 {
		t.Errorf("unexpected answer of apply: %+v", answer)
	}
	d.run(ExitOK, "accepted: revision 3 already says this", apply...)
	d.run(ExitOK, "newest revision 3; the platform answers", d.reach("status")...)
	d.run(ExitUsage, "is not an approval", append(apply, "--approved-by", "marat")...)
	d.run(ExitUsage, "--platform is missing", "plan", file)
}

func TestCheckListsEveryProblem(t *testing.T) {
	d := &desk{t: t, dir: t.TempDir()}
	file := d.write("rules.yaml", "- {account: a, rate: 0, burst: 0}\n- {key: x, account: b} # marat: test\n")
	d.run(ExitFailed, "cli: 5 problems in "+file, "check", file)
	d.run(ExitFailed, file+":2:12: account: there is no account \"b\"", "check", file)
}

func TestStatusNamesInstancesDuringAnOutage(t *testing.T) {
	d := newDesk(t)
	admin := d.site.Instances()[0].Admin()
	status := []string{"status", "--admin", admin, "--admin-token", d.path("admin-token"), "--json"}
	var answer statusAnswer
	for len(answer.Instances) < 3 && t.Context().Err() == nil { // the instances have yet to find each other
		if err := json.Unmarshal([]byte(d.run(ExitOK, "", status...)), &answer); err != nil {
			t.Fatal(err)
		}
	}
	d.site.Platform().SetFaults(platform.Faults{Outage: true})
	d.run(ExitOK, `"state": "live"`, status...)
	d.run(ExitOK, "does not answer", d.reach("status", "--admin", admin)...)
	if len(answer.Instances) != 3 || answer.Revision != 1 {
		t.Errorf("unexpected status, got %+v instead of 3 instances at revision 1", answer)
	}
	lagging := config.Lagging([]config.InstanceReport{{Member: config.Member{Name: "i9", State: "live"}}, {Status: &config.Status{Revision: 1}}}, 2)
	if len(lagging) != 2 {
		t.Errorf("unexpected lagging instances, got %v instead of a silent and a late one", lagging)
	}
}

package cli

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	standplatform "teaselgate/standin/platform"
	"teaselgate/standin/site"
)

// timeLayout is the format of the time at the start of each line of the timeline.
const timeLayout = "2006-01-02 15:04:05.000000"

// writeToken writes a token to a file and returns its path.
func writeToken(t *testing.T, token string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte(token+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestTimelineMergesEventsOfAllInstances(t *testing.T) {
	s, err := site.Start(context.Background(), site.Config{
		Instances: 3, PrefillEngines: 1, DecodeEngines: 1, Services: 1, Zones: []string{"ala-a"},
	})
	if err != nil {
		t.Fatal(err)
	}
	platformToken, adminToken := writeToken(t, site.Secrets.Platform), writeToken(t, site.Secrets.Admin)
	code, stdout, stderr := execute("timeline", "--platform", s.PlatformURL(), "--platform-token", platformToken,
		"--admin-token", adminToken)
	if code != ExitOK {
		t.Errorf("unexpected exit code %d: %s", code, stderr)
	}
	for _, want := range []string{" i0 ", " i1 ", " i2 ", "instance-started", "rules-in-force"} {
		if !strings.Contains(stdout, want) {
			t.Errorf("unexpected timeline without %q:\n%s", want, stdout)
		}
	}
	lines := strings.Split(strings.TrimSpace(stdout), "\n")
	for n := 1; n < len(lines); n++ {
		if timeLength := len(timeLayout); lines[n][:timeLength] < lines[n-1][:timeLength] {
			t.Errorf("unexpected order: %s after %s", lines[n], lines[n-1])
		}
	}
	admin := s.Instances()[0].Admin()
	code, stdout, stderr = execute("timeline", "--admin", admin, "--admin-token", adminToken, "--json", "--last", "10m")
	if code != ExitOK || !json.Valid([]byte(stdout)) || !strings.Contains(stdout, `"traceEvents"`) ||
		strings.Contains(stdout, `"instance":"i1"`) {
		t.Errorf("unexpected trace of one instance, exit code %d: %s%s", code, stdout, stderr)
	}
	code, stdout, stderr = execute("timeline", "--admin", admin, "--admin-token", platformToken)
	if code != ExitFailed || stdout != "" || !strings.Contains(stderr, "status 401") {
		t.Errorf("unexpected output with a wrong token, exit code %d: %s%s", code, stdout, stderr)
	}
	if err := s.Stop(); err != nil {
		t.Errorf("unexpected error %v", err)
	}
	empty := httptest.NewServer(standplatform.NewServer(site.Secrets.Platform).Handler())
	defer empty.Close()
	code, _, stderr = execute("timeline", "--platform", empty.URL, "--platform-token", platformToken,
		"--admin-token", adminToken)
	if code != ExitFailed || !strings.Contains(stderr, "lists no instances") {
		t.Errorf("unexpected output without instances, exit code %d: %s", code, stderr)
	}
}

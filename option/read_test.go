package option

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validSettings is a settings file with all required settings.
const validSettings = `name: i1
zone: ala-a
listen: "127.0.0.1:8080"
admin: "127.0.0.1:8081"
peer: "127.0.0.1:8082"
platform: http://127.0.0.1:7000
platform-token: platform.token
admin-token: admin.token
peer-token: peer.token
`

// writeFiles writes the settings and the token files into a new directory and returns the path of the settings file.
func writeFiles(t testing.TB, settings string) string {
	t.Helper()
	dir := t.TempDir()
	files := map[string]string{
		"platform.token": "p\n", "admin.token": "a\n", "peer.token": "s\n", "empty.token": " \n", "i1.yaml": settings,
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "i1.yaml")
}

func TestReadResolvesPathsRelativeToSettingsFile(t *testing.T) {
	file := writeFiles(t, validSettings)
	o, secrets, err := Read(file)
	if err != nil {
		t.Fatalf("unexpected error %v", err)
	}
	if want := filepath.Join(filepath.Dir(file), "admin.token"); o.AdminToken != want {
		t.Errorf("unexpected path, got %s instead of %s", o.AdminToken, want)
	}
	if secrets != (Secrets{Platform: "p", Admin: "a", Peer: "s"}) {
		t.Errorf("unexpected secrets, got %v", secrets)
	}
	if o.Limit != Default().Limit || o.Log != Default().Log {
		t.Errorf("unexpected defaults, got %v and %v", o.Limit, o.Log)
	}
}

func TestReadReportsEveryProblemWithPosition(t *testing.T) {
	change := func(old, text string) string { return strings.Replace(validSettings, old, text, 1) }
	tests := []struct {
		name, settings string
		want           []string
	}{
		{"unknown setting", validSettings + "colour: red\n", []string{`10:1: unknown setting "colour"; allowed are name, zone, listen,`}},
		{"unknown nested setting", validSettings + "log:\n  from: x\n", []string{`11:3: unknown setting "log.from"; allowed are format, level`}},
		{"missing setting", change("zone: ala-a\n", ""), []string{"1:1: zone: missing; it must be 1 to 63 lowercase letters"}},
		{"invalid name", change("name: i1", "name: I 1"), []string{"1:7: name: must be 1 to 63 lowercase letters"}},
		{"host name", change(`"127.0.0.1:8080"`, "localhost:8080"), []string{"3:9: listen: must be an IP address and port"}},
		{"unreachable peer", change(`"127.0.0.1:8082"`, `"0.0.0.0:8082"`), []string{"5:7: peer: must be an IP address and port that other instances can reach"}},
		{"invalid peers", validSettings + "peers: [x]\n", []string{"10:8: peers: must be a list of IP addresses and ports"}},
		{"invalid URL", change("http://127.0.0.1:7000", "ftp://x"), []string{"6:11: platform: must be a URL"}},
		{"invalid level", validSettings + "log: {level: loud}\n", []string{"10:14: log.level: must be one of debug, info, warning, error"}},
		{"invalid duration", validSettings + "limit: {stall: soon}\n", []string{"10:16: limit.stall: ", "must be a duration above zero"}},
		{"negative duration", validSettings + "limit: {stall: -1s}\n", []string{"10:16: limit.stall: must be a duration above zero"}},
		{"invalid count", validSettings + "limit: {body: many}\n", []string{"10:15: limit.body: ", "must be a whole number above zero"}},
		{"group with a plain value", validSettings + "log: loud\n", []string{"10:6: must be a mapping with the keys format, level"}},
		{"missing token file", change("admin.token", "gone.token"), []string{"8:14: admin-token: unable to read the token"}},
		{"empty token", change("admin.token", "empty.token"), []string{"8:14: admin-token: the file "}},
		{"key without certificate", validSettings + "tls: {key: admin.token}\n", []string{"10:12: tls.key: tls.certificate and tls.key go together"}},
		{"invalid certificate", validSettings + "tls: {certificate: admin.token, key: admin.token}\n", []string{"10:20: tls.certificate: unable to load"}},
		{"no authority", validSettings + "peer-tls: {certificate: admin.token, key: admin.token}\n", []string{"10:25: peer-tls.certificate: ", "peer-tls.authority go together"}},
		{"not YAML", "name: [\n", []string{"1:7: "}},
		{"not a mapping", "- name\n", []string{"1:1: must be a mapping"}},
		{"duplicate setting", validSettings + "zone: ala-b\n", []string{"10:1: "}},
		{"several problems", change("zone: ala-a", "zone: A") + "colour: red\nlog: {level: loud}\n", []string{
			`10:1: unknown setting "colour"`, "2:7: zone: must be", "11:14: log.level: must be one of",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			file := writeFiles(t, test.settings)
			_, _, err := Read(file)
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("unexpected error, got %v instead of Problems", err)
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("unexpected problems, got %v without %q", err, want)
				}
			}
			if !strings.HasPrefix(err.Error(), file+":") {
				t.Errorf("problems don't start with the file name: %v", err)
			}
		})
	}
}

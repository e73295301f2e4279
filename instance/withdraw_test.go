package instance_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"teaselgate/config"
	"teaselgate/platform"
	"teaselgate/standin/site"
)

// TestWithdrawnKeyBreaksItsStreamOff withdraws a key while it streams a long answer.
func TestWithdrawnKeyBreaksItsStreamOff(t *testing.T) {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s, err := site.Start(t.Context(), site.Config{
		Instances: 1, PrefillEngines: 1, DecodeEngines: 1, Services: 1, Zones: []string{"ala-a"}, Log: log,
		Accounts: []site.Account{{Name: "shop", Rate: 1_000_000, Burst: 1_000_000, Weight: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Stop() }()
	body := `{"model":"chat","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"cut a lamb"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Addresses()[0]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+s.Keys()["shop"])
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	if !lines.Scan() || resp.StatusCode != http.StatusOK {
		t.Fatalf("unexpected start of the stream: status %d", resp.StatusCode)
	}
	var kept strings.Builder
	for line := range strings.Lines(s.Rules()) {
		if !strings.HasPrefix(line, "- {key:") {
			kept.WriteString(line)
		}
	}
	if _, err := config.Apply(t.Context(), platform.NewClient(s.PlatformURL(), site.Secrets.Platform), kept.String(), "test"); err != nil {
		t.Fatal(err)
	}
	var rest strings.Builder
	for lines.Scan() {
		rest.WriteString(lines.Text() + "\n")
	}
	if !strings.Contains(rest.String(), `"code":"withdrawn-key"`) || strings.Contains(rest.String(), "[DONE]") || lines.Err() == nil {
		t.Errorf("unexpected end of the stream, %v: %s", lines.Err(), rest.String()[max(0, rest.Len()-300):])
	}
}

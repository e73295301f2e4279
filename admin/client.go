// Package admin reads the operators' listeners of instances.
package admin

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"
)

// callTimeout bounds one read of an instance.
const callTimeout = 10 * time.Second

var (
	namespace = errorx.NewNamespace("admin")
	failed    = namespace.NewType("failed")

	// ErrFailed says that an instance did not give what was asked.
	ErrFailed = failed.NewWithNoMessage()
)

// Client asks instances with the operators' token. Its exported fields are set before use.
type Client struct {
	Token  string
	Scheme string // http or https
	HTTP   *http.Client
}

// NewClient returns a client for plain listeners, or for TLS ones if a file with their authority is given.
func NewClient(token, authorityFile string) (*Client, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	c := &Client{Token: token, Scheme: "http", HTTP: &http.Client{Transport: transport, Timeout: callTimeout}}
	if authorityFile == "" {
		return c, nil
	}
	text, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("admin: unable to read the authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("admin: the file %s holds no certificate", authorityFile)
	}
	c.Scheme = "https"
	transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	return c, nil
}

// Get reads a path of an instance's admin listener as JSON.
func (c *Client) Get(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Scheme+"://"+address+path, nil)
	if err != nil {
		return failed.Wrap(err, "admin: unable to make a request to %s", address)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return failed.Wrap(err, "admin: no answer from %s", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return failed.New("admin: status %d from %s%s", resp.StatusCode, address, path)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return failed.Wrap(err, "admin: unable to decode the answer of %s%s", address, path)
	}
	return nil
}

// Package admin is the client of the instances' admin listeners.
package admin

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"teaselgate/response"
)

// callTimeout limits one request to an instance.
const callTimeout = 10 * time.Second

// maxErrorBytes limits the part of an error response that an error repeats.
const maxErrorBytes = 300

var (
	namespace = errorx.NewNamespace("admin")
	failed    = namespace.NewType("failed")

	// ErrFailed means that an instance did not return a usable response.
	ErrFailed = failed.NewWithNoMessage()
)

// Client sends requests to admin listeners with the operators' token. Its exported fields must be set before use.
type Client struct {
	Token  string
	Scheme string // http or https
	HTTP   *http.Client
}

// NewClient returns a client for listeners without TLS, or, if authorityFile is not empty, for TLS listeners whose
// certificates are signed by an authority in that file (PEM).
func NewClient(token, authorityFile string) (*Client, error) {
	transport := response.NewTransport(&http.Transport{DisableKeepAlives: true})
	c := &Client{Token: token, Scheme: "http", HTTP: &http.Client{Transport: transport, Timeout: callTimeout}}
	if authorityFile == "" {
		return c, nil
	}
	text, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("admin: unable to read the authority file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("admin: the file %s contains no certificate", authorityFile)
	}
	c.Scheme = "https"
	transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	return c, nil
}

// Get requests a path of an instance's admin listener and decodes the JSON response into out.
func (c *Client) Get(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Scheme+"://"+address+path, nil)
	if err != nil {
		return failed.Wrap(err, "admin: unable to create a request to %s", address)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return failed.Wrap(err, "admin: no response from %s", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // the status says enough without it
		return failed.New("admin: status %d from %s%s: %s", resp.StatusCode, address, path, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return failed.Wrap(err, "admin: unable to decode the response of %s%s", address, path)
	}
	return nil
}

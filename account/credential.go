package account

import (
	"encoding/base64"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
)

// ErrMisplacedKey says that a secret stands where it can't be dropped without changing the request.
var ErrMisplacedKey = errors.New("account: a key stands in the method, path, host or idempotency key")

var errBody = errors.New("account: the body or its trailers are malformed")

var (
	// credentialHeaders carry callers' keys and never reach a backend server.
	credentialHeaders = []string{
		"Authorization", "X-Api-Key", "Api-Key", "Apikey", "Proxy-Authorization", "X-Auth-Token", "X-Access-Token",
	}
	// credentialParameters carry keys in the query, in any case.
	credentialParameters = []string{"api_key", "api-key", "apikey", "access_token"}
)

// Credentials are the secrets that came with a request.
type Credentials struct {
	secrets []string // distinct, in the order found
	encoded []string // parts of their base64 forms that are the same wherever the secret stands
}

// ExtractCredentials finds the secrets of a request and removes every form of them from it, also from the
// trailers that come behind its body.
func ExtractCredentials(r *http.Request) (*Credentials, error) {
	c := &Credentials{}
	query := parseQuery(r.URL.RawQuery)
	c.findInHeaders(r.Header)
	c.findInQuery(query)
	if c.inTarget(r) {
		return c, ErrMisplacedKey
	}
	c.stripHeader(r.Header)
	r.URL.RawQuery = c.strippedQuery(r.URL.RawQuery, query)
	r.URL.Fragment, r.URL.RawFragment, r.URL.User = "", "", nil
	c.stripHeader(r.Trailer)
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &strippingBody{ReadCloser: r.Body, request: r, credentials: c}
	}
	return c, nil
}

// Secrets returns the distinct secrets, in the order found.
func (c *Credentials) Secrets() []string { return c.secrets }

func (c *Credentials) add(secret string) {
	secret = strings.TrimSpace(secret)
	if secret == "" || slices.Contains(c.secrets, secret) {
		return
	}
	c.secrets = append(c.secrets, secret)
	if len(secret) >= minSecretBytes {
		c.encoded = append(c.encoded, encodedForms(secret)...)
	}
}

func (c *Credentials) findInHeaders(h http.Header) {
	for _, name := range credentialHeaders {
		for _, value := range h.Values(name) {
			c.add(secretOf(value))
		}
	}
}

// secretOf returns the secret in a credential header: of any scheme, or bare.
func secretOf(value string) string {
	scheme, rest, found := strings.Cut(strings.TrimSpace(value), " ")
	if !found {
		return scheme
	}
	rest = strings.TrimSpace(rest)
	if !strings.EqualFold(scheme, "basic") {
		return rest
	}
	raw, err := base64.StdEncoding.DecodeString(rest)
	if err != nil {
		return rest
	}
	user, password, _ := strings.Cut(string(raw), ":")
	if password == "" {
		return user
	}
	return password
}

// parameter is one part of a query, as it came and decoded.
type parameter struct {
	raw   string
	name  string
	value string
}

func parseQuery(query string) []parameter {
	if query == "" {
		return nil
	}
	var out []parameter
	for raw := range strings.FieldsFuncSeq(query, func(r rune) bool { return r == '&' || r == ';' }) {
		name, value, _ := strings.Cut(raw, "=")
		out = append(out, parameter{raw, decodePercent(name), decodePercent(value)})
	}
	return out
}

func (c *Credentials) findInQuery(query []parameter) {
	for _, p := range query {
		if isCredentialParameter(p) {
			c.add(p.value)
		}
	}
}

// isCredentialParameter tells a key from other values; "key" alone names other things too.
func isCredentialParameter(p parameter) bool {
	if strings.EqualFold(p.name, "key") {
		return keyForm.MatchString(p.value)
	}
	return slices.ContainsFunc(credentialParameters, func(name string) bool { return strings.EqualFold(name, p.name) })
}

func (c *Credentials) strippedQuery(query string, parameters []parameter) string {
	kept := make([]string, 0, len(parameters))
	for _, p := range parameters {
		if !isCredentialParameter(p) && !c.holds(p.raw) && !c.holds(p.name) && !c.holds(p.value) {
			kept = append(kept, p.raw)
		}
	}
	if len(kept) == len(parameters) {
		return query
	}
	return strings.Join(kept, "&")
}

func (c *Credentials) inTarget(r *http.Request) bool {
	if c.holds(r.Method) || c.holds(r.Host) || c.holds(r.URL.Path) || c.holds(r.URL.RawPath) {
		return true
	}
	return slices.ContainsFunc(r.Header.Values("Idempotency-Key"), c.holds)
}

func (c *Credentials) stripHeader(h http.Header) {
	for _, name := range credentialHeaders {
		h.Del(name)
	}
	for name, values := range h {
		if c.holdsInName(name) || slices.ContainsFunc(values, c.holds) {
			delete(h, name)
		}
	}
}

// strippingBody removes secrets from the trailers once the body has ended.
type strippingBody struct {
	io.ReadCloser
	request     *http.Request
	credentials *Credentials
}

// Read implements io.Reader.
func (b *strippingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	b.credentials.stripHeader(b.request.Trailer)
	if b.credentials.holds(err.Error()) {
		return n, errBody // an error may quote a malformed trailer
	}
	return n, err
}

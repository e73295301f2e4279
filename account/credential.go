package account

import (
	"encoding/base64"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
)

// ErrMisplacedKey means that a secret appears where it can't be removed without changing the request.
var ErrMisplacedKey = errors.New("account: a key appears in the method, path, host or idempotency key")

var errMalformedBody = errors.New("account: the body or its trailers are malformed")

var (
	// credentialHeaders carry callers' keys and are never forwarded to a backend server.
	credentialHeaders = []string{
		"Authorization", "X-Api-Key", "Api-Key", "Apikey", "Proxy-Authorization", "X-Auth-Token", "X-Access-Token",
	}
	// credentialParameters are query parameters that carry keys. Their case is ignored.
	credentialParameters = []string{"api_key", "api-key", "apikey", "access_token"}
)

// Credentials holds the secrets that came with a request.
type Credentials struct {
	secrets     []string // distinct, in the order found
	base64Forms []string // base64 forms of the secrets of at least minSecretBytes
}

// ExtractCredentials finds the secrets of a request and removes the headers, query parameters and trailers that carry
// or contain one in any form that containsSecret finds. It does not search the body. If a secret appears where it can't
// be removed, it returns ErrMisplacedKey and leaves the request unchanged.
func ExtractCredentials(r *http.Request) (*Credentials, error) {
	c := &Credentials{}
	query := parseQuery(r.URL.RawQuery)
	c.findInHeaders(r.Header)
	c.findInQuery(query)
	if c.isMisplaced(r) {
		return c, ErrMisplacedKey
	}
	c.stripHeader(r.Header)
	r.URL.RawQuery = c.stripQuery(r.URL.RawQuery, query)
	r.URL.Fragment, r.URL.RawFragment, r.URL.User = "", "", nil
	c.stripHeader(r.Trailer)
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &strippingBody{ReadCloser: r.Body, request: r, credentials: c}
	}
	return c, nil
}

// Secrets returns the distinct secrets, in the order found.
func (c *Credentials) Secrets() []string { return c.secrets }

// add records a secret that has not been found before.
func (c *Credentials) add(secret string) {
	secret = strings.TrimSpace(secret)
	if secret == "" || slices.Contains(c.secrets, secret) {
		return
	}
	c.secrets = append(c.secrets, secret)
	if len(secret) >= minSecretBytes {
		c.base64Forms = append(c.base64Forms, base64Forms(secret)...)
	}
}

func (c *Credentials) findInHeaders(h http.Header) {
	for _, name := range credentialHeaders {
		for _, value := range h.Values(name) {
			c.add(secretFromHeader(value))
		}
	}
}

// secretFromHeader returns the secret in the value of a credential header, with or without an authorization scheme. For
// the scheme Basic it returns the password, or the user name if the password is empty.
func secretFromHeader(value string) string {
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

// queryParameter is one parameter of a query, as received and decoded.
type queryParameter struct {
	raw   string // name and value as received
	name  string
	value string
}

func parseQuery(query string) []queryParameter {
	if query == "" {
		return nil
	}
	var out []queryParameter
	for raw := range strings.FieldsFuncSeq(query, func(r rune) bool { return r == '&' || r == ';' }) {
		name, value, _ := strings.Cut(raw, "=")
		out = append(out, queryParameter{raw, decodePercent(name), decodePercent(value)})
	}
	return out
}

func (c *Credentials) findInQuery(query []queryParameter) {
	for _, p := range query {
		if isCredentialParameter(p) {
			c.add(p.value)
		}
	}
}

// isCredentialParameter reports whether a query parameter carries a key. A parameter named "key" counts only if its
// value matches keyPattern, since the name has other uses.
func isCredentialParameter(p queryParameter) bool {
	if strings.EqualFold(p.name, "key") {
		return keyPattern.MatchString(p.value)
	}
	return slices.ContainsFunc(credentialParameters, func(name string) bool { return strings.EqualFold(name, p.name) })
}

// stripQuery returns the query without the parameters that carry or contain a secret.
func (c *Credentials) stripQuery(query string, parameters []queryParameter) string {
	kept := make([]string, 0, len(parameters))
	for _, p := range parameters {
		if !isCredentialParameter(p) && !c.containsSecret(p.raw) && !c.containsSecret(p.name) && !c.containsSecret(p.value) {
			kept = append(kept, p.raw)
		}
	}
	if len(kept) == len(parameters) {
		return query
	}
	return strings.Join(kept, "&")
}

// isMisplaced reports whether a secret appears in a part of the request that can't be changed.
func (c *Credentials) isMisplaced(r *http.Request) bool {
	if c.containsSecret(r.Method) || c.containsSecret(r.Host) || c.containsSecret(r.URL.Path) || c.containsSecret(r.URL.RawPath) {
		return true
	}
	return slices.ContainsFunc(r.Header.Values("Idempotency-Key"), c.containsSecret)
}

// stripHeader removes the headers that carry or contain a secret.
func (c *Credentials) stripHeader(h http.Header) {
	for _, name := range credentialHeaders {
		h.Del(name)
	}
	for name, values := range h {
		if c.nameContainsSecret(name) || slices.ContainsFunc(values, c.containsSecret) {
			delete(h, name)
		}
	}
}

// strippingBody is a request body that removes secrets from the request's trailers when the body ends.
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
	if b.credentials.containsSecret(err.Error()) {
		return n, errMalformedBody // an error may quote a malformed trailer
	}
	return n, err
}

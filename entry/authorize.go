package entry

import (
	"net/http"
	"time"

	"teaselgate/account"
	"teaselgate/outcome"
	"teaselgate/rule"
)

// cutOffRetryAfter is the Retry-After time of an instance that is disconnected from the others.
const cutOffRetryAfter = 2 * time.Second

// Refusals of requests that can't be authorized. Their outcome is NotRun unless WithOutcome changes it.
var (
	errNoRules      = outcome.NewRefusal(http.StatusServiceUnavailable, "no-rules", "the instance has no rules yet")
	errNoRoute      = outcome.NewRefusal(http.StatusNotFound, "no-route", "no route leads to this path")
	errBadKey       = outcome.NewRefusal(http.StatusUnauthorized, "bad-key", "the key is missing or not valid")
	errSeveralKeys  = outcome.NewRefusal(http.StatusUnauthorized, "several-keys", "the request shows more than one key")
	errMisplacedKey = outcome.NewRefusal(http.StatusBadRequest, "misplaced-key",
		"a key stands in the method, path, host or idempotency key")
	errWithdrawnKey = outcome.NewRefusal(http.StatusUnauthorized, "withdrawn-key", "the key was withdrawn")
	errCutOff       = outcome.NewRefusal(http.StatusServiceUnavailable, "cut-off",
		"the instance can't tell now whether the key is still valid")
)

// authorize sets the route and the client account of a request, and removes every form of the key from it.
func (h *Handler) authorize(q *request, r *http.Request) error {
	credentials, err := account.ExtractCredentials(r)
	if err != nil {
		return errMisplacedKey
	}
	revision := h.Rules()
	if revision == nil {
		return errNoRules
	}
	q.rules = revision.Rules
	route, ok := q.rules.Route(r.URL.Path)
	if !ok {
		return errNoRoute
	}
	q.route = route
	if route.Open == rule.OpenYes {
		h.identify(q, credentials.Secrets())
		return nil
	}
	if !h.connected() {
		return errCutOff.WithRetryAt(h.Now().Add(cutOffRetryAfter))
	}
	if len(credentials.Secrets()) > 1 {
		return errSeveralKeys
	}
	if !h.identify(q, credentials.Secrets()) {
		return errBadKey
	}
	return nil
}

// identify sets the client account if the request has exactly one secret and the secret is valid, and reports whether
// it did. Secrets are looked up by their SHA-256 hash, so that the duration of the lookup reveals nothing about valid
// keys.
func (h *Handler) identify(q *request, secrets []string) bool {
	if len(secrets) != 1 {
		return false
	}
	hash := account.Hash(secrets[0])
	name, ok := q.rules.KeyAccount(hash)
	if !ok {
		return false
	}
	q.account, ok = q.rules.Account(name)
	q.keyHash = hash
	return ok
}

// connected reports whether the withdrawal of a key would have reached this instance.
func (h *Handler) connected() bool { return h.Connected == nil || h.Connected() }

// recheckAuthorization is called before a request is sent to a backend server. It returns a refusal if the key has been
// withdrawn since the request was authorized, or if the instance is now disconnected. Open routes are not checked.
func (h *Handler) recheckAuthorization(q *request) error {
	if q.keyHash == "" {
		return nil
	}
	if err := h.checkKey(q); err != nil {
		return err
	}
	if q.route.Open != rule.OpenYes && !h.connected() {
		return errCutOff.WithRetryAt(h.Now().Add(cutOffRetryAfter))
	}
	return nil
}

// checkKey returns a refusal unless the key of a request still belongs to its client account. Requests without a key,
// and those of open routes, are not checked.
func (h *Handler) checkKey(q *request) error {
	if q.keyHash == "" || q.route.Open == rule.OpenYes {
		return nil
	}
	revision := h.Rules()
	if revision == nil {
		return errNoRules
	}
	if name, ok := revision.Rules.KeyAccount(q.keyHash); !ok || name != q.account.Account {
		return errWithdrawnKey
	}
	return nil
}

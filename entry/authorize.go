package entry

import (
	"net/http"
	"time"

	"teaselgate/account"
	"teaselgate/outcome"
	"teaselgate/rule"
)

// cutOffRetry is when a caller may come back to an instance that is cut off.
const cutOffRetry = 2 * time.Second

// Refusals of authorization; none of them has run.
var (
	noRules      = outcome.NewRefusal(http.StatusServiceUnavailable, "no-rules", "the instance has no rules yet")
	noRoute      = outcome.NewRefusal(http.StatusNotFound, "no-route", "no route leads to this path")
	badKey       = outcome.NewRefusal(http.StatusUnauthorized, "bad-key", "the key is missing or not valid")
	severalKeys  = outcome.NewRefusal(http.StatusUnauthorized, "several-keys", "the request shows more than one key")
	misplacedKey = outcome.NewRefusal(http.StatusBadRequest, "misplaced-key", "a key stands in the method, path, host or idempotency key")
	withdrawnKey = outcome.NewRefusal(http.StatusUnauthorized, "withdrawn-key", "the key was withdrawn")
	cutOff       = outcome.NewRefusal(http.StatusServiceUnavailable, "cut-off", "the instance can't tell now whether the key is still valid")
)

// authorize finds the route and the client account of the key that came with the request, and
// removes every form of the key from it.
func (h *Handler) authorize(c *call, r *http.Request) error {
	credentials, err := account.ExtractCredentials(r)
	if err != nil {
		return misplacedKey
	}
	revision := h.Rules()
	if revision == nil {
		return noRules
	}
	c.rules = revision.Rules
	route, ok := c.rules.Route(r.URL.Path)
	if !ok {
		return noRoute
	}
	c.route = route
	if route.Open == rule.OpenYes {
		h.identify(c, credentials.Secrets())
		return nil
	}
	if !h.connected() {
		return cutOff.WithRetryAt(h.Now().Add(cutOffRetry))
	}
	if len(credentials.Secrets()) > 1 {
		return severalKeys
	}
	if !h.identify(c, credentials.Secrets()) {
		return badKey
	}
	return nil
}

// identify finds the client account of the one secret shown. Secrets are looked up by their
// SHA-256, so that the time it takes tells nothing about a valid key.
func (h *Handler) identify(c *call, secrets []string) bool {
	if len(secrets) != 1 {
		return false
	}
	hash := account.Hash(secrets[0])
	name, ok := c.rules.KeyAccount(hash)
	if !ok {
		return false
	}
	c.account, ok = c.rules.Account(name)
	c.keyHash = hash
	return ok
}

// connected tells whether a withdrawal of a key would have reached this instance.
func (h *Handler) connected() bool { return h.Connected == nil || h.Connected() }

// checkAlive stops a call before it is sent to a backend server, if its key was withdrawn since it
// was admitted or the instance was cut off.
func (h *Handler) checkAlive(c *call) error {
	if c.keyHash == "" {
		return nil
	}
	if err := h.checkKey(c); err != nil {
		return err
	}
	if c.route.Open != rule.OpenYes && !h.connected() {
		return cutOff.WithRetryAt(h.Now().Add(cutOffRetry))
	}
	return nil
}

// checkKey tells whether the key of a call still belongs to its client account.
func (h *Handler) checkKey(c *call) error {
	if c.keyHash == "" || c.route.Open == rule.OpenYes {
		return nil
	}
	revision := h.Rules()
	if revision == nil {
		return noRules
	}
	if name, ok := revision.Rules.KeyAccount(c.keyHash); !ok || name != c.account.Account {
		return withdrawnKey
	}
	return nil
}

// Package account finds the client account of a caller's key.
package account

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strings"
)

const (
	keyBytes  = 32
	keyPrefix = "tg-"
	bearer    = "bearer "
)

// credentialHeaders carry callers' keys and never reach a backend server.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization"}

// NewKey makes a random secret and the hash that a key rule holds.
func NewKey() (secret, hash string) {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw)
	secret = keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return secret, Hash(secret)
}

// Hash returns the form in which a key rule holds a secret.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// FromRequest returns the secret that came with a request, or an empty string.
func FromRequest(h http.Header) string {
	authorization := h.Get("Authorization")
	if len(authorization) > len(bearer) && strings.EqualFold(authorization[:len(bearer)], bearer) {
		return strings.TrimSpace(authorization[len(bearer):])
	}
	return h.Get("X-Api-Key")
}

// Strip removes every credential header.
func Strip(h http.Header) {
	for _, name := range credentialHeaders {
		h.Del(name)
	}
}

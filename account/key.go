// Package account generates keys of client accounts and operators, and removes callers' keys from requests.
package account

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

const (
	keyBytes  = 32
	keyPrefix = "tg-"
)

// NewKey returns a random secret and its hash for a key rule.
func NewKey() (secret, hash string) {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw)
	secret = keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return secret, Hash(secret)
}

// Hash returns the hash of a secret in the form of a key rule.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return "sha256:" + hex.EncodeToString(sum[:])
}

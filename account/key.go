// Package account finds the client account of a caller's key.
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

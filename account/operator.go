package account

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strings"
)

const (
	publicKeyPrefix      = "ed25519:"
	operatorSecretPrefix = "ed25519-secret:"
)

// NewOperatorKey returns a random secret of an operator, and its public key for an operator rule.
func NewOperatorKey() (secret, public string) {
	seed := make([]byte, ed25519.SeedSize)
	_, _ = rand.Read(seed)
	key := ed25519.NewKeyFromSeed(seed)
	return operatorSecretPrefix + base64.StdEncoding.EncodeToString(seed), FormatPublicKey(key)
}

// FormatPublicKey returns the public key of an operator in the form of an operator rule.
func FormatPublicKey(key ed25519.PrivateKey) string {
	public, _ := key.Public().(ed25519.PublicKey)
	return publicKeyPrefix + base64.StdEncoding.EncodeToString(public)
}

// ParseOperatorSecret decodes an operator's secret.
func ParseOperatorSecret(text string) (ed25519.PrivateKey, error) {
	encoded, ok := strings.CutPrefix(strings.TrimSpace(text), operatorSecretPrefix)
	seed, err := base64.StdEncoding.DecodeString(encoded)
	if !ok || err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("account: not an operator's secret; generate one with teaselgate key operator")
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

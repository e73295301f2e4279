package outcome

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"
)

// Claims are split into buckets by the first digits of their names. Each bucket is an object kind of its own in the
// platform store, so that listing one bucket stays cheap.
const (
	claimBuckets = 256
	bucketDigits = 2 // hexadecimal digits of a claim's name
)

// claimKind returns the object kind of a claim in the platform store.
func claimKind(name string) string { return "claim-" + name[:bucketDigits] }

// ClaimLifetime is how long a claim is kept to handle retries of its request.
const ClaimLifetime = 24 * time.Hour

// ClaimState is the progress of a request with an idempotency key.
type ClaimState string

// The states of a claim. Only a claim in StateClaimed may be taken over, since its request has not been sent.
const (
	StateClaimed        ClaimState = "claimed"
	StateSent           ClaimState = "sent"
	StateResponseStored ClaimState = "answered"
	StateLost           ClaimState = "lost" // the request was sent, and its response was lost
)

// ClaimRecord is the value of a claim in the platform store.
type ClaimRecord struct {
	Token    string          `json:"token"` // random, so that a holder recognizes its own writes
	Owner    string          `json:"owner"` // incarnation of the instance that holds the claim
	State    ClaimState      `json:"state"`
	Digest   string          `json:"digest"` // digest of the request's method, URL and body
	Expires  time.Time       `json:"expires"`
	Response *StoredResponse `json:"answer,omitempty"`
}

// StoredResponse is the response of a backend server, kept for retries of its request.
type StoredResponse struct {
	Status  int         `json:"status"`
	Header  http.Header `json:"header"`
	Trailer http.Header `json:"trailer,omitempty"`
	Body    []byte      `json:"body"`
	TooLong bool        `json:"too_long,omitempty"` // whether the body was too long to be stored
}

// ClaimRequest identifies a request with an idempotency key.
type ClaimRequest struct {
	Account string
	Route   string
	Key     string // idempotency key
	Digest  string // digest of the request's method, URL and body
}

// name returns the name of the request's claim: a digest of the client account, the route and the key.
func (r ClaimRequest) name() string { return Digest([]byte(r.Account), []byte(r.Route), []byte(r.Key)) }

// Digest returns a SHA-256 digest of several parts. It hashes each part by itself first, so that the boundaries
// between the parts affect the result.
func Digest(parts ...[]byte) string {
	whole := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		whole.Write(sum[:])
	}
	return hex.EncodeToString(whole.Sum(nil))
}

package outcome

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"
)

// Claims are kept in buckets by the first digits of their names, each a kind of its own at the platform,
// so that the list of one bucket stays small.
const (
	claimBuckets = 256
	bucketDigits = 2 // hexadecimal
)

// claimKind returns the kind of a claim object at the platform.
func claimKind(name string) string { return "claim-" + name[:bucketDigits] }

// ClaimLifetime is how long a claim answers repeats of its call.
const ClaimLifetime = 24 * time.Hour

// ClaimState tells how far a keyed call has come.
type ClaimState string

// The states of a claim. Only a claimed one may be taken over; nothing has been sent for it.
const (
	StateClaimed  ClaimState = "claimed"
	StateSent     ClaimState = "sent"
	StateAnswered ClaimState = "answered"
	StateLost     ClaimState = "lost" // sent, and the answer will not come
)

// ClaimRecord is the value of a claim object.
type ClaimRecord struct {
	Token   string          `json:"token"` // names the holder's own writes
	Owner   string          `json:"owner"` // incarnation of the holder
	State   ClaimState      `json:"state"`
	Digest  string          `json:"digest"` // of the method, URL and body
	Expires time.Time       `json:"expires"`
	Answer  *StoredResponse `json:"answer,omitempty"`
}

// StoredResponse is a service's stored answer.
type StoredResponse struct {
	Status  int         `json:"status"`
	Header  http.Header `json:"header"`
	Trailer http.Header `json:"trailer,omitempty"`
	Body    []byte      `json:"body"`
	TooLong bool        `json:"too_long,omitempty"` // the body was too long to be stored
}

// ClaimRequest names a keyed call: who makes it, and what it is.
type ClaimRequest struct {
	Account string
	Route   string
	Key     string
	Digest  string
}

// name returns the name of the claim object: a hash of the account, the route and the key.
func (a ClaimRequest) name() string { return Digest([]byte(a.Account), []byte(a.Route), []byte(a.Key)) }

// Digest hashes parts so that their borders count.
func Digest(parts ...[]byte) string {
	whole := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		whole.Write(sum[:])
	}
	return hex.EncodeToString(whole.Sum(nil))
}

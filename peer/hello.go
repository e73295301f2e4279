package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// nonceBytes is the length of each side's nonce.
const nonceBytes = 32

// Labels keep a proof of one side from serving as a proof of the other.
const (
	dialerLabel   = "teaselgate peer dialer"
	acceptorLabel = "teaselgate peer acceptor"
)

var errBadProof = errors.New("peer: the other side does not hold the token")

// The hello opens each connection. Both sides prove that they hold the token by an HMAC over both nonces, so that a
// recorded hello is worth nothing on another connection:
//
//	dialer:   nonce
//	acceptor: nonce, proof
//	dialer:   proof
//
// It guards the opening only; against one who can change a running connection, peer TLS is needed.

// offerHello runs the dialer's side.
func offerHello(ctx context.Context, conn net.Conn, token string) error {
	deadline := time.Now().Add(helloTimeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	_ = conn.SetDeadline(deadline)
	own := newNonce()
	if _, err := conn.Write(own); err != nil {
		return fmt.Errorf("peer: unable to send the hello: %w", err)
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return fmt.Errorf("peer: no answer to the hello: %w", err)
	}
	theirs := answer[:nonceBytes]
	if !hmac.Equal(answer[nonceBytes:], proof(token, acceptorLabel, own, theirs)) {
		return errBadProof
	}
	if _, err := conn.Write(proof(token, dialerLabel, own, theirs)); err != nil {
		return fmt.Errorf("peer: unable to send the proof: %w", err)
	}
	return conn.SetDeadline(time.Time{})
}

// acceptHello runs the acceptor's side.
func acceptHello(conn net.Conn, token string) error {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	theirs := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return fmt.Errorf("peer: no hello: %w", err)
	}
	own := newNonce()
	if _, err := conn.Write(append(own, proof(token, acceptorLabel, theirs, own)...)); err != nil {
		return fmt.Errorf("peer: unable to answer the hello: %w", err)
	}
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, got); err != nil {
		return fmt.Errorf("peer: no proof: %w", err)
	}
	if !hmac.Equal(got, proof(token, dialerLabel, theirs, own)) {
		return errBadProof
	}
	return conn.SetDeadline(time.Time{})
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

func proof(token, label string, dialer, acceptor []byte) []byte {
	mac := hmac.New(sha256.New, []byte(token))
	mac.Write([]byte(label))
	mac.Write(dialer)
	mac.Write(acceptor)
	return mac.Sum(nil)
}

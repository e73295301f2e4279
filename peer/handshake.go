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

// The labels are part of the proofs, so that the proof of one side can't serve as the proof of the other.
const (
	dialerLabel   = "teaselgate peer dialer"
	acceptorLabel = "teaselgate peer acceptor"
)

var errBadProof = errors.New("peer: the other side does not have the token")

// A handshake opens each connection. Both sides prove that they have the token by an HMAC over both nonces, so that a
// recorded handshake can't be replayed on another connection:
//
//	dialer:   nonce
//	acceptor: nonce, proof
//	dialer:   proof
//
// It protects the opening only. Peer TLS protects against an attacker who can alter an open connection.

// dialerHandshake runs the dialer's side of the handshake.
func dialerHandshake(ctx context.Context, conn net.Conn, token string) error {
	deadline := time.Now().Add(handshakeTimeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	_ = conn.SetDeadline(deadline)
	ownNonce := newNonce()
	if _, err := conn.Write(ownNonce); err != nil {
		return fmt.Errorf("peer: unable to send the handshake nonce: %w", err)
	}
	response := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, response); err != nil {
		return fmt.Errorf("peer: no response to the handshake: %w", err)
	}
	peerNonce := response[:nonceBytes]
	if !hmac.Equal(response[nonceBytes:], proof(token, acceptorLabel, ownNonce, peerNonce)) {
		return errBadProof
	}
	if _, err := conn.Write(proof(token, dialerLabel, ownNonce, peerNonce)); err != nil {
		return fmt.Errorf("peer: unable to send the handshake proof: %w", err)
	}
	return conn.SetDeadline(time.Time{})
}

// acceptorHandshake runs the acceptor's side of the handshake.
func acceptorHandshake(conn net.Conn, token string) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	peerNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, peerNonce); err != nil {
		return fmt.Errorf("peer: no handshake nonce received: %w", err)
	}
	ownNonce := newNonce()
	if _, err := conn.Write(append(ownNonce, proof(token, acceptorLabel, peerNonce, ownNonce)...)); err != nil {
		return fmt.Errorf("peer: unable to respond to the handshake: %w", err)
	}
	peerProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, peerProof); err != nil {
		return fmt.Errorf("peer: no handshake proof received: %w", err)
	}
	if !hmac.Equal(peerProof, proof(token, dialerLabel, peerNonce, ownNonce)) {
		return errBadProof
	}
	return conn.SetDeadline(time.Time{})
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// proof returns the HMAC by which the side with the given label proves that it has the token.
func proof(token, label string, dialerNonce, acceptorNonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(token))
	mac.Write([]byte(label))
	mac.Write(dialerNonce)
	mac.Write(acceptorNonce)
	return mac.Sum(nil)
}

package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"teaselgate/standin/bubble"
)

// runHandshake runs both sides of a handshake and returns their errors.
func runHandshake(dialerToken, acceptorToken string) (dialErr, acceptErr error) {
	dialerConn, acceptorConn := net.Pipe()
	done := make(chan error, 1)
	go func() { done <- acceptorHandshake(acceptorConn, acceptorToken) }()
	defer acceptorConn.Close()
	defer dialerConn.Close()
	if dialErr = dialerHandshake(context.Background(), dialerConn, dialerToken); dialErr != nil {
		dialerConn.Close()
	}
	return dialErr, <-done
}

func TestHandshakeRequiresSameTokenOnBothSides(t *testing.T) {
	if dialErr, acceptErr := runHandshake("secret", "secret"); dialErr != nil || acceptErr != nil {
		t.Errorf("unexpected errors with the same token: %v, %v", dialErr, acceptErr)
	}
	if dialErr, acceptErr := runHandshake("secret", "other"); !errors.Is(dialErr, errBadProof) || acceptErr == nil {
		t.Errorf("unexpected errors with different tokens: %v, %v", dialErr, acceptErr)
	}
}

// recordingConn records everything that is written to a connection.
type recordingConn struct {
	net.Conn
	sent bytes.Buffer
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.sent.Write(p)
	return c.Conn.Write(p)
}

func TestHandshakeRejectsReplay(t *testing.T) {
	dialerConn, acceptorConn := net.Pipe()
	recorder := &recordingConn{Conn: dialerConn}
	done := make(chan error, 1)
	go func() { done <- acceptorHandshake(acceptorConn, "secret") }()
	if err := dialerHandshake(t.Context(), recorder, "secret"); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(recorder.sent.Bytes(), []byte("secret")) {
		t.Error("unexpected token in plain text")
	}
	dialerConn, acceptorConn = net.Pipe()
	go func() { done <- acceptorHandshake(acceptorConn, "secret") }()
	_, _ = dialerConn.Write(recorder.sent.Next(nonceBytes))
	_, _ = io.ReadFull(dialerConn, make([]byte, nonceBytes+len(proof("", "", nil, nil))))
	_, _ = dialerConn.Write(recorder.sent.Bytes())
	if err := <-done; !errors.Is(err, errBadProof) {
		t.Errorf("unexpected result of a replayed handshake, got %v instead of %v", err, errBadProof)
	}
}

func TestHandshakeTimesOutWhenPeerIsSilent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		start := time.Now()
		dialerConn, acceptorConn := net.Pipe()
		defer acceptorConn.Close()
		go func() { _, _ = io.Copy(io.Discard, acceptorConn) }()
		if err := dialerHandshake(t.Context(), dialerConn, "secret"); err == nil || time.Since(start) != handshakeTimeout {
			t.Errorf("unexpected result of a handshake with a silent peer: %v after %v", err, time.Since(start))
		}
		dialerConn.Close()
	})
}

package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// hellos runs both sides of a hello.
func hellos(dialerToken, acceptorToken string) (dialer, acceptor error) {
	ours, theirs := net.Pipe()
	done := make(chan error, 1)
	go func() { done <- acceptHello(theirs, acceptorToken) }()
	defer theirs.Close()
	defer ours.Close()
	if dialer = offerHello(context.Background(), ours, dialerToken); dialer != nil {
		ours.Close()
	}
	return dialer, <-done
}

func TestHelloProvesTheTokenOnBothSides(t *testing.T) {
	if dialer, acceptor := hellos("secret", "secret"); dialer != nil || acceptor != nil {
		t.Errorf("unexpected refusal of the same token: %v, %v", dialer, acceptor)
	}
	if dialer, acceptor := hellos("secret", "other"); !errors.Is(dialer, errBadProof) || acceptor == nil {
		t.Errorf("unexpected hello with different tokens: %v, %v", dialer, acceptor)
	}
}

// tap copies all that is written to a connection.
type tap struct {
	net.Conn
	sent bytes.Buffer
}

func (t *tap) Write(p []byte) (int, error) {
	t.sent.Write(p)
	return t.Conn.Write(p)
}

func TestRecordedHelloIsWorthNothing(t *testing.T) {
	ours, theirs := net.Pipe()
	recorder := &tap{Conn: ours}
	done := make(chan error, 1)
	go func() { done <- acceptHello(theirs, "secret") }()
	if err := offerHello(t.Context(), recorder, "secret"); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(recorder.sent.Bytes(), []byte("secret")) {
		t.Error("unexpected token in clear")
	}
	ours, theirs = net.Pipe()
	go func() { done <- acceptHello(theirs, "secret") }()
	_, _ = ours.Write(recorder.sent.Next(nonceBytes))
	_, _ = io.ReadFull(ours, make([]byte, nonceBytes+len(proof("", "", nil, nil))))
	_, _ = ours.Write(recorder.sent.Bytes())
	if err := <-done; !errors.Is(err, errBadProof) {
		t.Errorf("unexpected answer to a replayed hello, got %v instead of %v", err, errBadProof)
	}
}

func TestSilentHelloEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ours, theirs := net.Pipe()
		defer theirs.Close()
		go func() { _, _ = io.Copy(io.Discard, theirs) }()
		if err := offerHello(t.Context(), ours, "secret"); err == nil || time.Since(start) != helloTimeout {
			t.Errorf("unexpected end of a silent hello: %v after %v", err, time.Since(start))
		}
		ours.Close()
	})
}

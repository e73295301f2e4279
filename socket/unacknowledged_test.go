package socket

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// acceptOne returns both ends of a connection that was opened with the dialer.
func acceptOne(t *testing.T) (dialed net.Conn, accepted *net.TCPConn) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err = NewDialer().DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := dialed.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return dialed, conn.(*net.TCPConn)
}

// The other end ends its direction while sent bytes are still in the buffer of the socket. It can't have read them.
func TestEndBeforeSentBytesArrivedIsUnexpected(t *testing.T) {
	const bytes = 1 << 20 // more than the receive buffer of the other end holds, less than the send buffer
	dialed, accepted := acceptOne(t)
	if _, err := dialed.Write(make([]byte, bytes)); err != nil {
		t.Fatal(err)
	}
	if err := accepted.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(dialed); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("unexpected error %v instead of %v", err, io.ErrUnexpectedEOF)
	}
}

// The other end ends its direction before bytes are written, which its socket still receives.
func TestWritesAfterTheEndAreNotReceivedBeforeIt(t *testing.T) {
	dialed, accepted := acceptOne(t)
	if _, err := dialed.Write([]byte("head")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(accepted, make([]byte, len("head"))); err != nil {
		t.Fatal(err)
	}
	if err := accepted.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(dialed); err != nil || !ReceivedAll(dialed) {
		t.Fatalf("bytes written before the end were not received, error %v", err)
	}
	if _, err := dialed.Write([]byte("body")); err != nil || ReceivedAll(dialed) {
		t.Errorf("bytes written after the end were received before it, error %v", err)
	}
}

// The other end ends its direction at once when it has read all that was sent.
func TestEndAfterSentBytesArrivedIsAnEnd(t *testing.T) {
	const bytes, connections = 1 << 20, 50
	for range connections {
		dialed, accepted := acceptOne(t)
		go func() {
			if _, err := io.CopyN(io.Discard, accepted, bytes); err == nil {
				_ = accepted.CloseWrite()
			}
		}()
		if _, err := dialed.Write(make([]byte, bytes)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(dialed); err != nil || !ReceivedAll(dialed) {
			t.Fatalf("bytes written before the end were not received, error %v", err)
		}
	}
}

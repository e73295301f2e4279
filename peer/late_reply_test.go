package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	"go.uber.org/goleak"
)

// SignallingReply is a reply that reports when it has been decoded.
type SignallingReply struct{ Text string }

// replyDecoded receives a value after each decoding of a SignallingReply.
var replyDecoded = make(chan struct{}, 1)

// GobEncode implements gob.GobEncoder.
func (r SignallingReply) GobEncode() ([]byte, error) { return []byte(r.Text), nil }

// GobDecode implements gob.GobDecoder.
func (r *SignallingReply) GobDecode(text []byte) error {
	r.Text = string(text)
	replyDecoded <- struct{}{}
	return nil
}

// blockingReceiver is an RPC receiver whose method replies once proceed is closed.
type blockingReceiver struct{ called, proceed chan struct{} }

// Wait replies once the test lets it.
func (b blockingReceiver) Wait(text string, reply *SignallingReply) error {
	close(b.called)
	<-b.proceed
	reply.Text = text
	return nil
}

// TestReplyAfterEndOfCallIsDropped covers a reply that arrives after its caller has given up: the caller may read or
// reuse its reply while the connection still decodes the late one.
func TestReplyAfterEndOfCallIsDropped(t *testing.T) {
	defer goleak.VerifyNone(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(listener, "secret")
	receiver := blockingReceiver{make(chan struct{}), make(chan struct{})}
	if err := server.Register("Blocking", receiver); err != nil {
		t.Fatal(err)
	}
	serveCtx, stopServer := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { _ = server.Serve(serveCtx); close(ended) }()
	pool := NewPool("secret")
	callCtx, giveUp := context.WithCancel(t.Context())
	go func() { <-receiver.called; giveUp() }()
	var reply SignallingReply
	if err := pool.Call(callCtx, listener.Addr().String(), "Blocking.Wait", "late", &reply); !errors.Is(err, ErrNoReply) {
		t.Errorf("unexpected error of a call that was given up, got %v instead of %v", err, ErrNoReply)
	}
	close(receiver.proceed)
	<-replyDecoded
	if reply.Text != "" {
		t.Errorf("unexpected change of the reply after the call has returned, got %q", reply.Text)
	}
	pool.Close()
	stopServer()
	<-ended
}

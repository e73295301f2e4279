package wire

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// delayedEndTimeout bounds the delay of an end after which the rest of the request is not written.
const delayedEndTimeout = 5 * time.Second

// DelayedEnd opens a connection for one request and reports its end late: only once the whole request was written. It
// emulates a reader that is not scheduled between the end of the connection and the checks that follow.
type DelayedEnd struct {
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	length  int           // of the body of the request
	ended   chan struct{} // closed when the other end has ended the connection
	end     sync.Once
	written chan struct{} // closed when the request was written, or could not be
	write   sync.Once
}

// NewDelayedEnd returns the emulation for a request with a body of the given length.
func NewDelayedEnd(dial func(ctx context.Context, network, address string) (net.Conn, error), length int) *DelayedEnd {
	return &DelayedEnd{dial: dial, length: length, ended: make(chan struct{}), written: make(chan struct{})}
}

// DialContext opens the connection.
func (d *DelayedEnd) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dial(ctx, network, address)
	return &delayedEndConn{Conn: conn, delayed: d}, err
}

// Answer returns the answer of the server: a part of a response, after the first half of the request's body.
func (d *DelayedEnd) Answer() Answer {
	return Answer{Text: "HTTP/1.1 200 OK\r\n\r\n" + PartialText, AfterBytes: int64(d.length / 2), End: HalfEnd}
}

// Body returns the body of the request. Its second half is available when the other end has ended the connection.
func (d *DelayedEnd) Body() io.Reader {
	half := d.length / 2
	return io.MultiReader(
		bytes.NewReader(make([]byte, half)), waitingReader{d.ended}, bytes.NewReader(make([]byte, d.length-half)),
	)
}

// waitingReader ends when a channel is closed.
type waitingReader struct{ until <-chan struct{} }

// Read implements io.Reader.
func (r waitingReader) Read([]byte) (int, error) {
	<-r.until
	return 0, io.EOF
}

// delayedEndConn is a connection of a DelayedEnd.
type delayedEndConn struct {
	net.Conn
	delayed *DelayedEnd
	left    int // bytes of the body that were not written yet
	begun   bool
}

// NetConn returns the connection that the delay is added to.
func (c *delayedEndConn) NetConn() net.Conn { return c.Conn }

// Read implements io.Reader.
func (c *delayedEndConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.delayed.end.Do(func() { close(c.delayed.ended) })
		select {
		case <-c.delayed.written:
		case <-time.After(delayedEndTimeout):
		}
	}
	return n, err
}

// Write implements io.Writer. The first write has the whole head of the request.
func (c *delayedEndConn) Write(p []byte) (int, error) {
	bodyBytes := len(p)
	if !c.begun {
		c.begun, c.left = true, c.delayed.length
		_, body, _ := bytes.Cut(p, []byte("\r\n\r\n"))
		bodyBytes = len(body)
	}
	n, err := c.Conn.Write(p)
	if c.left -= bodyBytes; c.left == 0 || err != nil {
		c.delayed.write.Do(func() { close(c.delayed.written) })
	}
	return n, err
}

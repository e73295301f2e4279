package upstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"teaselgate/socket"
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	readLimit   int       // bytes that may still be read, unless unlimited
	unlimited   bool      // whether readLimit does not apply
	idleExpires time.Time // time from which the idle connection may no longer be used
	reused      bool      // whether the connection has carried other requests
	requestIDs  []string  // IDs of the newest requests on the connection, at most maxKnownIDs
}

// maxKnownIDs is the number of requests whose IDs a connection knows. A late response arrives within the next few.
const maxKnownIDs = 8

// hasCarried reports whether the connection has recently carried a request with an ID.
func (c *conn) hasCarried(requestID string) bool { return slices.Contains(c.requestIDs, requestID) }

// addRequestID records the ID of a request that the connection is going to carry.
func (c *conn) addRequestID(requestID string) {
	if len(c.requestIDs) == maxKnownIDs {
		c.requestIDs = c.requestIDs[:copy(c.requestIDs, c.requestIDs[1:])]
	}
	c.requestIDs = append(c.requestIDs, requestID)
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, unlimited: true}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// errTooLong means that a server has sent too many bytes where the response should be.
var errTooLong = errors.New("upstream: the server sends too many bytes that are not the response")

// limitReads bounds the bytes that may be read until unlimitReads.
func (c *conn) limitReads(n int) { c.readLimit, c.unlimited = n, false }

func (c *conn) unlimitReads() { c.unlimited = true }

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if c.unlimited {
		return c.Conn.Read(p)
	}
	if c.readLimit <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readLimit)])
	c.readLimit -= n
	return n, err
}

// isReusable reports whether an idle connection is open and has received no data. Data that arrives on an idle
// connection belongs to no request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if _, ok := c.Conn.(syscall.Conn); ok {
		return socket.IsQuiet(c.Conn)
	}
	return c.isReusableNonSocket()
}

// isReusableNonSocket is isReusable for a connection that is not a socket: it tries to read without blocking.
func (c *conn) isReusableNonSocket() bool {
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}

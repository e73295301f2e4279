package limit

import (
	"container/list"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/shutdown"
	"teaselgate/socket"
)

// Limits of a connection.
const (
	headSlackBytes  = 4 << 10                // beyond the limit of a head, as net/http allows
	refusalTimeout  = 100 * time.Millisecond // for writing a refusal
	refusalLinger   = 500 * time.Millisecond // for which input is discarded, so that the caller can read the refusal
	http2ConnBytes  = 160 << 10              // memory of an HTTP/2 connection: its buffers, frames and tables
	maxHTTP2Head    = 1 << 20                // most memory of a head over HTTP/2
	http2Wait       = 10 * time.Millisecond  // between attempts to get memory for heads over HTTP/2
	maxHTTP2Wait    = 5 * time.Second
	http2Preface    = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	discardedBuffer = 4 << 10
	minRateSeconds  = 1e-3 // age of the youngest request whose rate is told from others
)

// errRefused ends the reading of a connection that was refused or told to end. net/http does not answer it.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("limit: the connection was refused")}

// Refusals of a connection whose request has not been read completely.
var (
	errHeadTooLarge = outcome.NewRefusal(http.StatusRequestHeaderFieldsTooLarge, "head-too-large", "the request's header is too large")
	errNoHeadMemory = outcome.NewRefusal(http.StatusServiceUnavailable, "too-many-headers",
		"the instance holds too many request headers")
	errTooManyConnections = outcome.NewRefusal(http.StatusServiceUnavailable, "too-many-connections",
		"the instance has too many connections")
	errLeaving = outcome.ErrShuttingDown.WithOutcome(outcome.NotRun)
)

// conn is a connection that the listener counts as open. It counts the memory that heads of requests take while net/http reads
// and parses them, and ends the connection if they take too much.
type conn struct {
	net.Conn             // over TLS if the listener uses it
	raw         *rawConn // the connection beneath TLS
	listener    *Listener
	overLimit   bool // whether the requests on the connection are refused
	releaseOnce sync.Once
	holder      *Holder // memory of the heads

	// Fields of the reading goroutine.
	headBytes   int64     // of the head that is read
	accepted    time.Time // when the connection was accepted
	headBegan   time.Time // zero before the first byte
	refused     bool
	prefaceRead int // bytes of the HTTP/2 preface that were read; -1 if others were
	tail        tail
	frames      frames

	mu             sync.Mutex
	since          time.Time // since when the connection waits for a request
	receivedBefore uint64    // bytes received before that
	counted        uint64    // bytes that have arrived on raw and whose effect on receiving is known
	http2          bool
	opened         int              // requests over HTTP/2 whose handlers have not begun
	receiving      bool             // whether data was received after the newest response
	ended          bool             // whether endIdle has ended the connection
	told           *outcome.Refusal // with which the connection was told to end; nil if it was not
	serving        bool             // whether the head of a request was read and its response is not complete
	idle           bool             // whether a response was the last that happened; false once data is read
	deadlineSets   int              // calls of SetReadDeadline since idle was set
	writing        time.Time        // when the write began that is going on; zero if there is none
	body           *bodyReader

	// Fields that listener.mu protects.
	idleElement *list.Element // in listener.idle; nil if it is not there

	served bool // whether a request was answered with success
	closed bool
}

// Read implements net.Conn. It returns no data that arrives after endIdle: the server must not run a request that it
// can't answer.
func (c *conn) Read(p []byte) (int, error) {
	serving := c.beginRead()
	n, err := c.Conn.Read(p)
	if recordErr := c.answerPlaintext(err); recordErr != nil {
		return 0, recordErr
	}
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.receiving, c.counted = c.receiving || n > 0, c.raw.received.Load()
	c.idle = c.idle && n == 0
	told := c.told
	c.mu.Unlock()
	c.tail.add(p[:n])
	if n > 0 {
		c.raw.count = nil // the handshake has ended
	}
	if c.http2 {
		return n, errors.Join(err, c.countFrames(p[:n]))
	}
	if serving {
		return n, err
	}
	if told != nil {
		if told == errLeaving {
			c.headBytes += int64(n)
		}
		return 0, c.refuse(told)
	}
	if errors.Is(err, errRefused) {
		return 0, c.refuse(errNoHeadMemory)
	}
	if refusal := c.countHead(p[:n]); refusal != nil {
		return 0, c.refuse(refusal)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.headBytes > 0 {
		c.listener.Record(event.Event{Code: event.CallerStalled, Detail: "head"})
	}
	return n, err
}

// beginRead prepares a read, and reports whether a request is served. Its deadline is not that of a head then: net/http reads in
// another goroutine to notice that the caller disconnects, and would cancel the request at that deadline.
func (c *conn) beginRead() (serving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || c.http2 {
		return true
	}
	// net/http sets a deadline, waits for the next request, and sets another when it has read the beginning. A read before that
	// means that its buffer is empty.
	if c.idle && c.deadlineSets <= 1 {
		c.holder.Shrink(0)
		c.headBytes, c.headBegan, c.tail = 0, time.Time{}, tail{}
	}
	if c.told == nil {
		if at := c.listener.headDeadline(c); !at.IsZero() {
			_ = c.Conn.SetReadDeadline(at)
		}
	}
	return false
}

// countHead counts bytes of a head, and returns a refusal if the head is too large or there is no memory for it.
func (c *conn) countHead(p []byte) *outcome.Refusal {
	if len(p) == 0 {
		return nil
	}
	if rest, ok := c.cutPreface(p); ok {
		return c.beginHTTP2(rest)
	}
	if c.headBegan.IsZero() {
		c.headBegan = time.Now()
	}
	c.headBytes += int64(len(p))
	if limit := c.listener.headLimit(); limit > 0 && c.headBytes > limit+headSlackBytes {
		return errHeadTooLarge
	}
	if !c.holder.Take(headCost(int64(len(p)), countLines(p))) {
		return errNoHeadMemory
	}
	return nil
}

// cutPreface returns what follows the preface of HTTP/2, and reports whether the bytes complete it.
func (c *conn) cutPreface(p []byte) (rest []byte, ok bool) {
	if c.listener.TLS == nil || c.prefaceRead < 0 {
		return nil, false
	}
	preface := http2Preface[c.prefaceRead:]
	n := min(len(p), len(preface))
	if string(p[:n]) != preface[:n] {
		c.prefaceRead = -1
		return nil, false
	}
	c.prefaceRead += n
	return p[n:], c.prefaceRead == len(http2Preface)
}

// beginHTTP2 charges the connection for the state of HTTP/2.
func (c *conn) beginHTTP2(first []byte) *outcome.Refusal {
	if !c.holder.Take(http2ConnBytes) {
		c.headBytes = 0 // the caller does not read HTTP/1
		return errNoHeadMemory
	}
	c.holder.SetEndable(false)
	c.mu.Lock()
	c.http2 = true
	c.mu.Unlock()
	if c.countFrames(first) != nil {
		c.headBytes = 0
		return errNoHeadMemory
	}
	return nil
}

// countFrames counts the heads of requests over HTTP/2 until their handlers begin. While there is no memory for them, the
// connection is not read on.
func (c *conn) countFrames(p []byte) error {
	headBytes, opened := c.frames.count(p)
	c.mu.Lock()
	c.opened += opened
	c.mu.Unlock()
	cost := min(headBytes*bytesPerField, int64(opened+1)*maxHTTP2Head)
	for waited := time.Duration(0); cost > 0 && !c.holder.Take(cost); waited += http2Wait {
		if waited >= maxHTTP2Wait {
			c.listener.Record(event.Event{Code: event.HeadRefused, Detail: errNoHeadMemory.Code})
			c.raw.Close()
			return errRefused
		}
		time.Sleep(http2Wait)
	}
	return nil
}

// isHTTP2 reports whether the connection uses HTTP/2.
func (c *conn) isHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http2
}

// refuse answers a head that has arrived in part, ends the connection and returns the error for its reader.
func (c *conn) refuse(refusal *outcome.Refusal) error {
	isLeaving := refusal.Code == errLeaving.Code
	hasArrived := c.headBytes > 0 || isLeaving && c.hasUnread()
	if !hasArrived || c.refused {
		return errRefused
	}
	c.refused = true
	c.listener.Record(event.Event{Code: event.HeadRefused, Detail: refusal.Code})
	now := time.Now()
	isUrgent := refusal.Status == http.StatusServiceUnavailable && !isLeaving // others wait for the memory
	switch {
	case isLeaving:
		refusal = refusal.WithRetryAt(now.Add(shutdown.RetryAfter))
	case isUrgent:
		refusal = refusal.WithRetryAt(now.Add(retryDelay))
	}
	_ = c.SetWriteDeadline(now.Add(refusalTimeout))
	if refusal.WriteLast(c.Conn, now) == nil && !isUrgent && !c.listener.isCrowded() {
		c.discardInput(now.Add(refusalLinger))
	}
	c.Close()
	return errRefused
}

// resetOnPanic resets the connection if the handler of its request panics, as it does to break off a response. Callers of
// HTTP/1.0 get no chunks, and would take the end of the connection for that of the response. It must be deferred.
func (c *conn) resetOnPanic() {
	reason := recover()
	if reason == nil {
		return
	}
	if tcp, ok := c.raw.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.raw.Close() // over TLS, c would tell the caller of a proper end
	panic(reason)
}

// discardInput reads what still comes, as the kernel resets a connection that is closed with unread data, and the caller might
// lose the refusal.
func (c *conn) discardInput(until time.Time) {
	if tcp, ok := c.raw.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(until)
	buffer := make([]byte, discardedBuffer)
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// answerPlaintext answers a caller that speaks HTTP without TLS to a listener with TLS, and returns the error for the reader of
// the connection, or nil if there was no such caller.
func (c *conn) answerPlaintext(err error) error {
	var header tls.RecordHeaderError
	if !errors.As(err, &header) || header.Conn == nil || !strings.Contains("GET HEAD POST PUT OPTIO DELET", string(header.RecordHeader[:4])) {
		return nil
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(header.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
	return errRefused
}

// SetReadDeadline implements net.Conn. A connection that was told to end keeps the deadline that ends it.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadlineSets++
	if c.told != nil && !c.serving {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.receiving, c.writing = false, time.Now()
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.writing = time.Time{}
		c.mu.Unlock()
	}()
	return c.Conn.Write(p)
}

// blockedFor returns for how long the caller has read nothing of a response, or 0.
func (c *conn) blockedFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing.IsZero() {
		return 0
	}
	return now.Sub(c.writing)
}

// hasUnread reports whether data has arrived that was not read.
func (c *conn) hasUnread() bool { return socket.HasReceivedMore(c.raw.Conn, c.raw.received.Load()) }

// endForMemory tells the connection to end because the memory of its heads is needed.
func (c *conn) endForMemory() { c.end(errNoHeadMemory) }

// end tells the connection to end: its reader refuses what it has read of a request. A request that is complete is served.
func (c *conn) end(refusal *outcome.Refusal) {
	c.mu.Lock()
	if body := c.body; body != nil {
		c.told = refusal
		c.mu.Unlock()
		body.endEarly()
		return
	}
	defer c.mu.Unlock()
	switch {
	case !c.writing.IsZero() && time.Since(c.writing) >= maxBlocked:
		c.raw.Close()
	case c.serving:
		c.holder.Keep()
	case c.http2:
		c.raw.Close()
	default:
		c.told = refusal
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// setActive records that the head of a request was read. It is called before net/http goes on reading in another goroutine, which
// may happen before the handler begins.
func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.idle = !c.http2, false
}

// beginRequest records that the handler of a request begins, and returns the refusal of a request that it must refuse.
func (c *conn) beginRequest() *outcome.Refusal {
	c.holder.SetEndable(false)
	c.listener.setServing(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 {
		c.opened = max(c.opened-1, 0)
		waiting := c.holder.Held() - http2ConnBytes // heads of requests whose handlers have not begun
		c.holder.Shrink(http2ConnBytes + waiting*int64(c.opened)/int64(c.opened+1))
	}
	if c.told == nil && c.overLimit {
		return errTooManyConnections
	}
	return c.told
}

// setIdle records that a response was sent, and charges the connection for the heads that net/http's buffer may hold.
func (c *conn) setIdle() {
	c.mu.Lock()
	if c.http2 {
		c.opened = 0
		c.mu.Unlock()
		c.holder.Shrink(http2ConnBytes)
		c.holder.SetEndable(true)
		return
	}
	c.serving, c.idle, c.deadlineSets = false, true, 0
	c.since, c.receivedBefore = time.Now(), c.raw.received.Load()
	c.mu.Unlock()
	c.headBytes, c.headBegan = 0, time.Time{}
	kept := c.tail.cost()
	c.holder.Shrink(kept)
	c.holder.SetEndable(true)
	if held := c.holder.Held(); held < kept && !c.holder.Take(kept-held) {
		c.endForMemory()
	}
}

// setBody sets the body that the handler of a request reads, or nil.
func (c *conn) setBody(b *bodyReader) {
	c.mu.Lock()
	c.body = b
	c.mu.Unlock()
	c.listener.setReceivingBody(c, b != nil)
}

// requestRate returns the bytes a second at which a request arrives, and for how long it has been arriving.
func (c *conn) requestRate(now time.Time) (rate float64, age time.Duration) {
	c.mu.Lock()
	body, since, bytes := c.body, c.since, c.raw.received.Load()-c.receivedBefore
	c.mu.Unlock()
	if body != nil {
		return body.rate(now) // a body locks its connection
	}
	age = now.Sub(since)
	return float64(bytes) / max(age.Seconds(), minRateSeconds), age
}

// endIdle closes the connection unless a part of a request has arrived since the newest response, and reports whether it
// did.
func (c *conn) endIdle() bool {
	c.mu.Lock()
	c.ended = !c.receiving && !socket.HasReceivedMore(c.raw.Conn, c.counted)
	ended := c.ended
	c.mu.Unlock()
	if ended {
		c.Close()
	}
	return ended
}

// hasReceived reports whether any data has arrived on the connection.
func (c *conn) hasReceived() bool {
	return c.raw.received.Load() > 0 || socket.HasReceivedMore(c.raw.Conn, 0)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.releaseOnce.Do(func() {
		c.holder.Release()
		c.listener.release(c)
	})
	return c.Conn.Close()
}

// rawConn is an accepted connection, beneath TLS.
type rawConn struct {
	net.Conn
	count    func(n int) error // called with the bytes of a TLS handshake; nil after it
	received atomic.Uint64     // bytes that Read has returned
}

// Read implements net.Conn.
func (r *rawConn) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.received.Add(uint64(n))
	if r.count != nil && n > 0 {
		err = errors.Join(r.count(n), err)
	}
	return n, err
}

// countHandshake counts bytes of a TLS handshake like those of a head.
func (c *conn) countHandshake(n int) error {
	if !c.holder.Take(int64(n) * bytesPerHeadByte) {
		return errRefused
	}
	return nil
}

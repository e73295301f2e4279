package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"teaselgate/response"
	"teaselgate/socket"
)

// Response is the response of a backend server. Its body must be closed.
type Response struct {
	*http.Response
	Reused bool // whether the connection had carried other requests
}

// Do sends a request once and returns the response with the same request ID. The context covers the whole exchange,
// including the reading of the body. When it ends, the connection is closed, so that the server can stop its work.
func (p *Pool) Do(ctx context.Context, address, requestID string, req *http.Request) (*Response, error) {
	c, err := p.acquire(ctx, address, requestID)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	sending, req := response.Track(req)
	e := &exchange{pool: p, conn: c, address: address, requestID: requestID, stop: stop, sending: sending}
	sending.CloseConn = e.abort
	sending.ReceivedAll = func() bool { return socket.ReceivedAll(c.Conn) }
	e.send(req)
	resp, err := e.receive(req) //nolint:bodyclose // closed through the returned Response
	if err != nil {
		e.abort()
		if cause := ctx.Err(); cause != nil {
			err = cause // the read failed because the end of the context closed the connection
		}
		return nil, noResponse.Wrap(err, "upstream: no answer of %s", address)
	}
	e.header = resp.Header
	e.isLast = resp.Close || response.EndsWithConnection(resp)
	resp.Body = &body{ReadCloser: response.NewBody(resp, sending), exchange: e}
	return &Response{Response: resp, Reused: c.reused}, nil
}

// exchange is a request and its response on a connection.
type exchange struct {
	pool      *Pool
	conn      *conn
	address   string
	requestID string
	header    http.Header // header of the response
	isLast    bool        // whether the connection can't carry another request
	stop      func() bool // detaches the connection from the context; false if the context has ended
	sending   *response.Sending
	done      bool // whether the connection was closed or returned to the pool
}

// send writes the request. It writes a long body in the background, since the server may respond before it has
// received all of it.
func (e *exchange) send(req *http.Request) {
	if req.ContentLength <= maxInlineBytes {
		e.sending.Finish(req.Write(e.conn))
		return
	}
	go func() { e.sending.Finish(req.Write(e.conn)) }()
}

// receive returns the response that belongs to the request. It skips interim (1xx) responses and, on a reused
// connection, late responses to earlier requests.
func (e *exchange) receive(req *http.Request) (*http.Response, error) {
	defer e.conn.unlimitReads()
	for range maxResponsesRead {
		e.conn.limitReads(socket.MaxHeadBytes)
		resp, err := http.ReadResponse(e.conn.reader, req)
		if err != nil {
			return nil, err
		}
		if response.IsInterim(resp) {
			if err := response.CheckNames(resp.Header); err != nil {
				return nil, err //nolint:wrapcheck // Do wraps it
			}
			continue
		}
		if err := response.CheckHead(resp); err != nil {
			return nil, err //nolint:wrapcheck // Do wraps it
		}
		if e.matches(resp) {
			return resp, nil
		}
		if !e.conn.reused || resp.Close || response.EndsWithConnection(resp) {
			return nil, errOtherRequest
		}
		e.conn.limitReads(maxSkippedBytes)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errOtherRequest
}

// matches reports whether a response belongs to the request. A response without a request ID matches only on a
// connection that has carried no other request.
func (e *exchange) matches(resp *http.Response) bool {
	if e.pool.RequestID == nil {
		return true
	}
	requestID := e.pool.RequestID(resp.Header)
	return requestID == e.requestID || requestID == "" && !e.conn.reused
}

var errOtherRequest = errors.New("upstream: the response belongs to another request")

// abort closes the connection.
func (e *exchange) abort() {
	if e.done {
		return
	}
	e.done = true
	e.stop()
	e.conn.Close()
}

// finish returns the connection to the pool after a complete response, or closes it if it can't carry another request.
func (e *exchange) finish() {
	if e.done {
		return
	}
	if e.isLast || e.conn.reader.Buffered() > 0 || !e.wasSent() || !e.stop() {
		e.abort()
		return
	}
	e.done = true
	_ = e.conn.SetDeadline(time.Time{})
	e.pool.release(e.address, e.conn, e.header)
}

// wasSent reports whether the whole request was sent. It waits up to writeTimeout for a body sent in the background.
func (e *exchange) wasSent() bool {
	timer := time.NewTimer(writeTimeout)
	defer timer.Stop()
	select {
	case <-e.sending.Done():
		return e.sending.Err() == nil
	case <-timer.C:
		return false
	}
}

// body is the body of a response. Closing it ends the exchange.
type body struct {
	io.ReadCloser
	exchange *exchange
	ended    bool // whether the body was read to its end
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// Close implements io.Closer. The connection is kept only if the body was read to its end.
func (b *body) Close() error {
	if b.ended {
		b.exchange.finish()
		return nil
	}
	b.exchange.abort()
	return nil
}

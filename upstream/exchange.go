package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Response is the answer to one request. Its body must be closed.
type Response struct {
	*http.Response
	Reused bool // whether the connection had carried other requests
}

// Do sends a request once and returns the answer with that request's id. The context bounds the whole exchange, also
// the reading of the body; when it ends the connection is closed, so that the server may stop its work.
func (p *Pool) Do(ctx context.Context, address, id string, req *http.Request) (*Response, error) {
	c, err := p.take(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	e := &exchange{pool: p, conn: c, address: address, id: id, stop: stop, written: make(chan error, 1)}
	e.send(req)
	resp, err := e.read(req) //nolint:bodyclose // closed through the answer
	if err != nil {
		e.abort()
		if cause := ctx.Err(); cause != nil {
			err = cause // the reading failed because the connection was closed then
		}
		return nil, broken.Wrap(err, "upstream: no answer of %s", address)
	}
	e.header = resp.Header
	e.last = resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	resp.Body = &body{ReadCloser: resp.Body, exchange: e}
	return &Response{Response: resp, Reused: c.reused}, nil
}

// exchange is one request and its answer on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	address string
	id      string
	header  http.Header
	last    bool // whether the connection can carry no other request
	stop    func() bool
	written chan error
	done    bool
}

// send writes the request; a long body is written while the answer is read, since a server may answer before its end.
func (e *exchange) send(req *http.Request) {
	if req.ContentLength <= directBytes {
		e.written <- req.Write(e.conn)
		return
	}
	go func() { e.written <- req.Write(e.conn) }()
}

// read returns the answer that belongs to the request. On a connection that has carried others, a late answer to one
// of these may come first.
func (e *exchange) read(req *http.Request) (*http.Response, error) {
	for range maxForeign {
		resp, err := http.ReadResponse(e.conn.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if e.owns(resp) {
			return resp, nil
		}
		if !e.conn.reused || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errForeign
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

// owns tells whether an answer belongs to the request. One without an id can only be told on a connection that has
// carried no other request.
func (e *exchange) owns(resp *http.Response) bool {
	if e.pool.RequestID == nil {
		return true
	}
	id := e.pool.RequestID(resp.Header)
	return id == e.id || id == "" && !e.conn.reused
}

var errForeign = errors.New("upstream: the answer belongs to another request")

func (e *exchange) abort() {
	if e.done {
		return
	}
	e.done = true
	e.stop()
	e.conn.Close()
}

// finish keeps the connection after a whole answer, if it can carry another request.
func (e *exchange) finish() {
	if e.done {
		return
	}
	if e.last || e.conn.reader.Buffered() > 0 || !e.wrote() || !e.stop() {
		e.abort()
		return
	}
	e.done = true
	_ = e.conn.SetDeadline(time.Time{})
	e.pool.put(e.address, e.conn, e.header)
}

// wrote tells whether the whole request has been sent.
func (e *exchange) wrote() bool {
	timer := time.NewTimer(writeWait)
	defer timer.Stop()
	select {
	case err := <-e.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// body is the body of an answer; its end frees the connection.
type body struct {
	io.ReadCloser
	exchange *exchange
	ended    bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// Close implements io.Closer. An answer that was not read to its end costs its connection.
func (b *body) Close() error {
	if b.ended {
		b.exchange.finish()
		return nil
	}
	b.exchange.abort()
	return nil
}

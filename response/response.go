// Package response decides whether a server's response is sound and whole. All HTTP clients of the project use it: through
// Transport, or, where they read responses themselves, through Track, CheckHead, CheckNames and NewBody.
package response

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrIncomplete means that a body ended with its connection before the whole request was sent. Such an end can't be told
// from that of a failed connection, whose error may have gone to the goroutine that sends the request.
var ErrIncomplete = errors.New("response: the connection ended before the whole request was sent")

// EndsWithConnection reports whether only the end of the connection ends the body of a response.
func EndsWithConnection(resp *http.Response) bool {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return false // there is no body, whatever the head says
	}
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
}

// body reports the end of a response's body only if the response is whole.
type body struct {
	io.ReadCloser
	resp    *http.Response
	request *Sending
	err     error // of the check at the end; sticky
}

// NewBody returns the body of a response to a request. Where the response is not whole, the body ends with an error
// instead of io.EOF.
func NewBody(resp *http.Response, request *Sending) io.ReadCloser {
	return &body{ReadCloser: resp.Body, resp: resp, request: request}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // an error that wraps io.EOF is not the end of the body
		err = b.checkEnd()
		b.err = err
	}
	return n, err
}

// checkEnd returns io.EOF if the response is whole, now that its body has ended.
func (b *body) checkEnd() error {
	if EndsWithConnection(b.resp) {
		if err := b.request.check(); err != nil {
			return fmt.Errorf("%w: %v", ErrIncomplete, err) //nolint:errorlint // the cause may wrap io.EOF
		}
	}
	if err := CheckNames(b.resp.Trailer); err != nil {
		return err
	}
	return io.EOF
}

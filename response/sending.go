package response

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// errUnread means that a response ended while the sender still waited for the rest of the request's body.
var errUnread = errors.New("response: the body of the request was not read to its end")

// errNotSent means that a response ended and the request was not known to be sent soon after.
var errNotSent = errors.New("response: the request was not sent")

// errNotReceived means that the whole request was sent, but not before the connection ended.
var errNotReceived = errors.New("response: the connection ended before the request was received")

// finishTimeout bounds the wait for the result of sending a request on a connection that is closed. net/http reports none
// if the connection was closed before it began to send.
const finishTimeout = time.Second

// Sending is the state of a request that is sent in one goroutine while its response is read in another.
type Sending struct {
	// Both are called at the end of a body that ends with its connection. They are set before the response is read; nil if
	// no body does.
	CloseConn   func()      // closes the connection, so that a write that is blocked fails
	ReceivedAll func() bool // socket.ReceivedAll of the connection

	mu       sync.Mutex
	left     int64         // bytes of the body that were not read yet; negative if the length is unknown
	bodyRead bool          // whether the whole body was read by the sender
	done     chan struct{} // closed by Finish
	err      error         // result of sending, once done is closed
}

// Track returns the state of a request that has not been sent yet, and the request to send in its place.
func Track(req *http.Request) (*Sending, *http.Request) {
	s := &Sending{}
	tracked := req.WithContext(req.Context())
	s.restart(req)
	if req.Body == nil || req.Body == http.NoBody {
		return s, tracked
	}
	tracked.Body = &requestBody{req.Body, s}
	if req.GetBody != nil {
		tracked.GetBody = func() (io.ReadCloser, error) {
			again, err := req.GetBody()
			return &requestBody{again, s}, err
		}
	}
	return s, tracked
}

// restart begins the sending of a request, also where it is sent again on another connection.
func (s *Sending) restart(req *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hasBody := req.Body != nil && req.Body != http.NoBody
	s.left, s.bodyRead, s.err = req.ContentLength, !hasBody, nil
	if hasBody && req.ContentLength == 0 {
		s.left = -1 // net/http's way to say that the length is unknown
	}
	s.done = make(chan struct{})
}

// Finish records that the request was written to the connection, or the error of that.
func (s *Sending) Finish(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
	default:
		s.err = err
		close(s.done)
	}
}

// Done returns a channel that is closed when the request was sent or could not be sent.
func (s *Sending) Done() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// Err returns the error of sending the request. It is only valid once Done is closed.
func (s *Sending) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// check returns nil if the whole request was sent, without an error, before the response ended with its connection. The
// sender may not have returned yet from the write of the last bytes. It does so soon, as the connection is closed.
func (s *Sending) check() error {
	s.mu.Lock()
	bodyRead, done := s.bodyRead, s.done
	s.mu.Unlock()
	if !bodyRead {
		return errUnread
	}
	if s.CloseConn != nil {
		s.CloseConn()
	}
	timer := time.NewTimer(finishTimeout)
	defer timer.Stop()
	select {
	case <-done:
		if err := s.Err(); err != nil {
			return err
		}
	case <-timer.C:
		return errNotSent
	}
	if s.ReceivedAll != nil && !s.ReceivedAll() {
		return errNotReceived
	}
	return nil
}

// countRead records that the sender has read n bytes of the body, and whether that was its end.
func (s *Sending) countRead(n int, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left > 0 {
		s.left = max(s.left-int64(n), 0)
	}
	if ended || s.left == 0 {
		s.bodyRead = true
	}
}

// requestBody reports to a Sending what is read of a request's body.
type requestBody struct {
	io.ReadCloser
	sending *Sending
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.sending.countRead(n, err == io.EOF) //nolint:errorlint // as for net/http, an error that wraps io.EOF is not the end
	return n, err
}

package response

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"teaselgate/socket"
)

// errInterimTooLong means that the interim heads of a response have more than socket.MaxHeadBytes together. net/http
// doesn't limit them if it hands them out.
var errInterimTooLong = errors.New("response: the interim heads are too long")

// Transport is an HTTP transport that returns only sound responses, and whose bodies end without an error only if the
// response is whole.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that sends requests by another one. Unless that says otherwise, it opens connections with
// a socket.Dialer and reads heads up to socket.MaxHeadBytes.
func NewTransport(t *http.Transport) *Transport {
	if t.DialContext == nil {
		t.DialContext = socket.NewDialer().DialContext
	}
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = socket.MaxHeadBytes
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	sending, tracked := Track(req)
	var conn net.Conn
	interimBytes := 0
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { // again if net/http repeats the request on another connection
			conn = info.Conn
			sending.restart(req)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { sending.Finish(info.Err) },
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
			if interimBytes += headBytes(fields); interimBytes > socket.MaxHeadBytes {
				return errInterimTooLong
			}
			return CheckNames(http.Header(fields))
		},
	}
	tracked = tracked.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := t.Transport.RoundTrip(tracked)
	if err != nil {
		return nil, err //nolint:wrapcheck // callers look at the *net.OpError
	}
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		if resp.ProtoMajor == 1 {
			conn.Close() // net/http has kept it if the response has no body
		}
		return nil, err
	}
	if EndsWithConnection(resp) {
		sending.CloseConn = func() { conn.Close() }
		sending.ReceivedAll = func() bool { return socket.ReceivedAll(conn) }
	}
	resp.Request = req
	resp.Body = NewBody(resp, sending)
	return resp, nil
}

// statusLineBytes is the length of a status line with an empty reason, with the line that ends a head.
const statusLineBytes = len("HTTP/1.1 100 \r\n\r\n")

// headBytes returns the least length of a head with the given fields.
func headBytes(fields textproto.MIMEHeader) int {
	n := statusLineBytes
	for name, values := range fields {
		for _, value := range values {
			n += len(name) + len(":") + len(value) + len("\r\n")
		}
	}
	return n
}

package response

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an HTTP transport that returns only sound responses, and whose bodies end without an error only if the
// response is whole.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that sends requests by another one.
func NewTransport(t *http.Transport) *Transport { return &Transport{t} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	sending, tracked := Track(req)
	var conn net.Conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn
			sending.restart(req)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { sending.Finish(info.Err) },
	}
	tracked = tracked.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := t.Transport.RoundTrip(tracked)
	if err != nil {
		return nil, err //nolint:wrapcheck // callers look at the *net.OpError
	}
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		if resp.ProtoMajor == 1 {
			conn.Close() // a response without a body has given it back for other requests
		}
		return nil, err
	}
	resp.Request = req
	resp.Body = NewBody(resp, sending)
	return resp, nil
}

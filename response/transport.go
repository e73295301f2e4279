package response

import (
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
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { sending.restart(req) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { sending.Finish(info.Err) },
	}
	tracked = tracked.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := t.Transport.RoundTrip(tracked)
	if err != nil {
		return nil, err
	}
	resp.Request = req
	resp.Body = NewBody(resp, sending)
	return resp, nil
}

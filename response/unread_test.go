package response_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"teaselgate/response"
	"teaselgate/standin/bubble"
)

// net/http doesn't report the result of a request that it has not begun to send when the connection is closed.
func TestResponseToARequestWithoutAResultEnds(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		sending, _ := response.Track(req)
		resp := &http.Response{ProtoMajor: 1, ContentLength: -1, Body: io.NopCloser(strings.NewReader("text"))}
		body := response.NewBody(resp, sending)
		defer body.Close()
		if _, err := io.ReadAll(body); !errors.Is(err, response.ErrIncomplete) {
			t.Errorf("unexpected error %v instead of %v", err, response.ErrIncomplete)
		}
	})
}

// A server answers as soon as it has accepted a connection and ends that, so that it has not read the request.
func TestResponseToAnUnreadRequestIsIncomplete(t *testing.T) {
	const connections = 300
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\ntext")
			conn.Close()
		}
	}()
	transport := response.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	for n := range connections {
		if _, _, err := fetch(t, transport, listener.Addr().String()); err == nil {
			t.Errorf("response %d to an unread request was taken for whole", n)
		}
	}
}

package response_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgate/response"
	"teaselgate/standin/wire"
)

// fetch sends a request and returns the response that was read.
func fetch(t *testing.T, transport *response.Transport, address string) (status int, text string, err error) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err
}

// serveTexts starts a server that answers each request with the next of the texts, on the same connection.
func serveTexts(t *testing.T, texts ...string) *wire.Server {
	t.Helper()
	return wire.NewServer(t, func(n int64, _ *http.Request) wire.Answer {
		return wire.Answer{Text: texts[int(n-1)%len(texts)], AfterBody: true, End: wire.Keep}
	})
}

func TestResponsesWithInvalidStatusesAreMalformed(t *testing.T) {
	checkMalformed(t, wire.InvalidStatuses("", "text"))
}

func TestResponsesWithInvalidFieldNamesAreMalformed(t *testing.T) {
	checkMalformed(t, wire.InvalidNames("", "text"))
}

func TestResponsesWithInvalidTrailersAreMalformed(t *testing.T) {
	checkRefused(t, wire.InvalidTrailers("", "text"), response.ErrMalformed.Error(), 1)
}

func TestResponsesWithControlBytesAreRefused(t *testing.T) {
	checkRefused(t, wire.ControlBytes("", "text"), "malformed MIME header", 2)
}

// A response to HEAD has no body, and none that ends with the connection if it has no length.
func TestConnectionIsKeptAfterHead(t *testing.T) {
	server := wire.NewServer(t, func(_ int64, r *http.Request) wire.Answer {
		if r.Method == http.MethodHead {
			return wire.Answer{Text: "HTTP/1.1 200 OK\r\n\r\n", End: wire.Keep}
		}
		return wire.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext", AfterBody: true, End: wire.Keep}
	})
	transport, dials := countDials()
	defer transport.CloseIdleConnections()
	for range 3 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodHead, "http://"+server.Address+"/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Errorf("unexpected error %v of the body", err)
		}
		resp.Body.Close()
		if _, got, err := fetch(t, transport, server.Address); err != nil || got != "text" {
			t.Errorf("unexpected next result, got %q and error %v", got, err)
		}
	}
	if *dials != 1 {
		t.Errorf("%d connections were opened instead of 1", *dials)
	}
}

// A malformed trailer is read to its end, after which the connection may already carry the request of another.
func TestMalformedTrailerDoesNotCutOtherRequests(t *testing.T) {
	const requests = 50
	for name, text := range wire.InvalidTrailers("", "text") {
		t.Run(name, func(t *testing.T) {
			server := wire.NewServer(t, func(_ int64, r *http.Request) wire.Answer {
				if r.URL.Path == "/malformed" {
					return wire.Answer{Text: text, AfterBody: true, End: wire.Keep}
				}
				return wire.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound", AfterBody: true, End: wire.Keep}
			})
			transport := response.NewTransport(&http.Transport{})
			defer transport.CloseIdleConnections()
			var others sync.WaitGroup
			defer others.Wait()
			for range requests {
				others.Go(func() {
					if _, got, err := fetch(t, transport, server.Address); err != nil || got != "sound" {
						t.Errorf("unexpected result of another request, got %q and error %v", got, err)
					}
				})
				if _, got, err := fetch(t, transport, server.Address+"/malformed?"); err == nil {
					t.Errorf("a malformed response was taken for sound: %q", got)
				}
			}
		})
	}
}

// countDials returns a transport, and the number of connections that it has opened.
func countDials() (*response.Transport, *int) {
	dials := 0
	return response.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials++
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	}), &dials
}

// checkMalformed checks that each of some responses is refused, and that its connection is not used again.
func checkMalformed(t *testing.T, responses map[string]string) {
	t.Helper()
	checkRefused(t, responses, response.ErrMalformed.Error(), 2)
}

// checkRefused checks that each of some responses is refused with a reason, and how many connections that and a sound
// response take.
func checkRefused(t *testing.T, responses map[string]string, reason string, connections int) {
	t.Helper()
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"
	for name, text := range responses {
		t.Run(name, func(t *testing.T) {
			server := serveTexts(t, text, sound)
			transport, dials := countDials()
			defer transport.CloseIdleConnections()
			if status, got, err := fetch(t, transport, server.Address); err == nil || !strings.Contains(err.Error(), reason) {
				t.Errorf("unexpected result, got status %d, %q and error %v", status, got, err)
			}
			if _, got, err := fetch(t, transport, server.Address); err != nil || got != "sound" || *dials != connections {
				t.Errorf("unexpected next result, got %q and error %v on connection %d", got, err, *dials)
			}
		})
	}
}

// RFC 9110, section 15: a client treats an invalid status from 600 on like a server error.
func TestStatusesAbove599AreServerErrors(t *testing.T) {
	for _, want := range []int{600, 777, 999} {
		server := serveTexts(t, fmt.Sprintf("HTTP/1.1 %d Text\r\nContent-Length: 4\r\n\r\ntext", want))
		transport := response.NewTransport(&http.Transport{})
		status, text, err := fetch(t, transport, server.Address)
		if status != want || status < http.StatusInternalServerError || text != "text" || err != nil {
			t.Errorf("unexpected result, got status %d instead of %d, %q and error %v", status, want, text, err)
		}
		transport.CloseIdleConnections()
	}
}

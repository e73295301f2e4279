package service

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"teaselgate/socket"
	"teaselgate/standin/wire"
)

// sendOnce sends a request on a new connection.
func sendOnce(ctx context.Context, c *Client, req *http.Request) (*http.Response, error) {
	conn, err := c.Open(ctx, req.URL.Host)
	if err != nil {
		return nil, err
	}
	return conn.Send(ctx, req)
}

// sendIdempotent sends a request that may run more than once.
func sendIdempotent(ctx context.Context, c *Client, req *http.Request) (*http.Response, error) {
	return c.Do(ctx, req)
}

// senders are the ways to send a request, by the number of times that it may run.
var senders = map[string]func(context.Context, *Client, *http.Request) (*http.Response, error){
	"once": sendOnce, "idempotent": sendIdempotent,
}

// upload sends a request with a body and returns the response that was read.
func upload(
	t *testing.T, send func(context.Context, *Client, *http.Request) (*http.Response, error), address string,
	body io.Reader, length int64,
) (string, error) {
	t.Helper()
	return uploadWith(t, NewClient(), send, address, body, length)
}

// uploadWith is upload with a client, which it closes.
func uploadWith(
	t *testing.T, client *Client, send func(context.Context, *Client, *http.Request) (*http.Response, error), address string,
	body io.Reader, length int64,
) (string, error) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	defer client.Close()
	resp, err := send(ctx, client, &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: "/orders"},
		Header: http.Header{}, Body: io.NopCloser(body), ContentLength: length,
	})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// A service answers a long upload early, without a length, and ends the connection before it has read the upload.
func TestEarlyResponseThatEndsWithTheConnectionIsIncomplete(t *testing.T) {
	const uploads = 40
	for way, send := range senders {
		for name, early := range wire.EarlyAnswers("", wire.PartialText) {
			t.Run(way+" "+name, func(t *testing.T) {
				server := wire.NewServer(t, func(int64, *http.Request) wire.Answer { return early.Answer })
				body, whole := wire.Upload(early.Length), 0
				for range uploads {
					if _, err := upload(t, send, server.Address, strings.NewReader(body), int64(early.Length)); err == nil {
						whole++
					}
				}
				if whole > 0 || server.Requests() != uploads {
					t.Errorf("%d of %d incomplete responses were taken for whole, %d requests", whole, uploads, server.Requests())
				}
			})
		}
	}
}

// The rest of the upload is written between the end of the connection and the checks of the response, into the buffers of the
// sockets.
func TestEarlyResponseBeforeTheRestOfTheUploadIsIncomplete(t *testing.T) {
	const length = wire.BufferedUploadBytes
	for way, send := range senders {
		delayed := wire.NewDelayedEnd(socket.NewDialer().DialContext, length)
		server := wire.NewServer(t, func(int64, *http.Request) wire.Answer { return delayed.Answer() })
		client := NewClient()
		client.Dial = delayed.DialContext
		text, err := uploadWith(t, client, send, server.Address, delayed.Body(), length)
		if err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%s: unexpected result, got %q and error %v", way, text, err)
		}
	}
}

// The caller's upload pauses when the response ends, so that no write is under way.
func TestEarlyResponseDuringAPauseOfTheUploadIsIncomplete(t *testing.T) {
	server := wire.NewServer(t, func(int64, *http.Request) wire.Answer {
		return wire.EarlyAnswers("", wire.PartialText)["half ended"].Answer
	})
	for way, send := range senders {
		for _, length := range []int64{wire.UploadBytes, -1} {
			reader, writer := io.Pipe()
			go func() { _, _ = io.WriteString(writer, "the beginning") }()
			text, err := upload(t, send, server.Address, reader, length)
			if err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("%s, length %d: unexpected result, got %q and error %v", way, length, text, err)
			}
			writer.Close()
		}
	}
}

// Responses that are whole stay so: early ones with a length or chunks, and later ones without.
func TestWholeResponsesToUploadsStayWhole(t *testing.T) {
	const uploads = 5
	for name, answer := range wire.WholeAnswers() {
		for _, length := range []int{0, 100, wire.SmallUploadBytes, wire.UploadBytes} {
			server := wire.NewServer(t, func(int64, *http.Request) wire.Answer { return answer })
			body := wire.Upload(length)
			for way, send := range senders {
				for n := range uploads {
					text, err := upload(t, send, server.Address, strings.NewReader(body), int64(length))
					if err != nil || text != wire.WholeText {
						t.Errorf("%s, %s, %d bytes, request %d: got %q and error %v", name, way, length, n, text, err)
					}
				}
			}
		}
	}
}

package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgate/standin/wire"
)

// Requests of the tests of early responses.
const (
	uploadBytes      = 16 << 20  // more than the buffers of both sockets hold
	smallUploadBytes = 256 << 10 // fits into the buffers of the sockets
	uploads          = 40
)

// upload sends a request with a body and returns the response that was read.
func upload(t *testing.T, p *Pool, address string, body io.Reader, length int64) (string, error) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", body)
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = length
	resp, err := p.Do(ctx, address, "a", req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// A server answers a long upload early, without a length, and ends the connection before it has read the upload. What
// it sent until then is not the whole response.
func TestEarlyResponseThatEndsWithTheConnectionIsIncomplete(t *testing.T) {
	for name, c := range map[string]struct {
		end    wire.Ending
		length int
	}{
		"reset":             {wire.Reset, uploadBytes},
		"closed":            {wire.Close, uploadBytes},
		"half ended":        {wire.HalfEnd, uploadBytes},
		"half ended, small": {wire.HalfEnd, smallUploadBytes},
	} {
		t.Run(name, func(t *testing.T) {
			server := wire.NewServer(t, func(int64, *http.Request) wire.Answer {
				return wire.Answer{Text: "HTTP/1.1 200 OK\r\n\r\npart of the res", End: c.end}
			})
			p := NewPool()
			defer p.Close()
			whole := 0
			for range uploads {
				if _, err := upload(t, p, server.Address, strings.NewReader(strings.Repeat("x", c.length)), int64(c.length)); err == nil {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d incomplete responses were taken for whole", whole, uploads)
			}
		})
	}
}

// The caller's upload pauses when the response ends, so that no write is under way.
func TestEarlyResponseDuringAPauseOfTheUploadIsIncomplete(t *testing.T) {
	server := wire.NewServer(t, func(int64, *http.Request) wire.Answer {
		return wire.Answer{Text: "HTTP/1.1 200 OK\r\n\r\npart of the res", End: wire.HalfEnd}
	})
	p := NewPool()
	defer p.Close()
	for _, length := range []int64{uploadBytes} {
		reader, writer := io.Pipe()
		go func() { _, _ = io.WriteString(writer, "the beginning") }()
		start := time.Now()
		text, err := upload(t, p, server.Address, reader, length)
		if err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("length %d: unexpected result after %v, got %q and error %v", length, time.Since(start), text, err)
		}
		writer.Close()
	}
}

// Responses that are whole stay so: early ones with a length or chunks, and later ones without.
func TestWholeResponsesToUploadsStayWhole(t *testing.T) {
	for name, answer := range map[string]wire.Answer{
		"early, with a length":     {Text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nthe whole", End: wire.HalfEnd},
		"early, in chunks":         {Text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nthe whole\r\n0\r\n\r\n", End: wire.HalfEnd},
		"early, on a kept channel": {Text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nthe whole", End: wire.Keep},
		"after the request":        {Text: "HTTP/1.1 200 OK\r\n\r\nthe whole", AfterBody: true},
		"after the request, 1.0":   {Text: "HTTP/1.0 200 OK\r\n\r\nthe whole", AfterBody: true, End: wire.HalfEnd},
	} {
		for _, length := range []int{0, 100, smallUploadBytes, uploadBytes} {
			server := wire.NewServer(t, func(int64, *http.Request) wire.Answer { return answer })
			p := NewPool()
			for n := range uploads / 4 {
				text, err := upload(t, p, server.Address, strings.NewReader(strings.Repeat("x", length)), int64(length))
				if err != nil || text != "the whole" {
					t.Errorf("%s, %d bytes, request %d: got %q and error %v", name, length, n, text, err)
				}
			}
			p.Close()
		}
	}
}

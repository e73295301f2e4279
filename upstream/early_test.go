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
	const uploads = 40
	for name, early := range wire.EarlyAnswers("", wire.PartialText) {
		t.Run(name, func(t *testing.T) {
			server := wire.NewServer(t, func(int64, *http.Request) wire.Answer { return early.Answer })
			p := NewPool()
			defer p.Close()
			body, whole := wire.Upload(early.Length), 0
			for range uploads {
				if _, err := upload(t, p, server.Address, strings.NewReader(body), int64(early.Length)); err == nil {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d incomplete responses were taken for whole", whole, uploads)
			}
		})
	}
}

// The rest of the upload is written between the end of the connection and the checks of the response, into the buffers of the
// sockets.
func TestEarlyResponseBeforeTheRestOfTheUploadIsIncomplete(t *testing.T) {
	const length = wire.BufferedUploadBytes
	p := NewPool()
	defer p.Close()
	delayed := wire.NewDelayedEnd(p.Dial, length)
	p.Dial = delayed.DialContext
	server := wire.NewServer(t, func(int64, *http.Request) wire.Answer { return delayed.Answer() })
	text, err := upload(t, p, server.Address, delayed.Body(), length)
	if err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("unexpected result, got %q and error %v", text, err)
	}
}

// The caller's upload pauses when the response ends, so that no write is under way.
func TestEarlyResponseDuringAPauseOfTheUploadIsIncomplete(t *testing.T) {
	server := wire.NewServer(t, func(int64, *http.Request) wire.Answer {
		return wire.EarlyAnswers("", wire.PartialText)["half ended"].Answer
	})
	p := NewPool()
	defer p.Close()
	reader, writer := io.Pipe()
	defer writer.Close()
	go func() { _, _ = io.WriteString(writer, "the beginning") }()
	text, err := upload(t, p, server.Address, reader, wire.UploadBytes)
	if err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("unexpected result, got %q and error %v", text, err)
	}
}

// Responses that are whole stay so: early ones with a length or chunks, and later ones without.
func TestWholeResponsesToUploadsStayWhole(t *testing.T) {
	const uploads = 10
	for name, answer := range wire.WholeAnswers() {
		for _, length := range []int{0, 100, wire.SmallUploadBytes, wire.UploadBytes} {
			server := wire.NewServer(t, func(int64, *http.Request) wire.Answer { return answer })
			p := NewPool()
			body := wire.Upload(length)
			for n := range uploads {
				text, err := upload(t, p, server.Address, strings.NewReader(body), int64(length))
				if err != nil || text != wire.WholeText {
					t.Errorf("%s, %d bytes, request %d: got %q and error %v", name, length, n, text, err)
				}
			}
			p.Close()
		}
	}
}

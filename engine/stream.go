package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	lineBufferBytes = 1 << 10
	maxChunkBytes   = 64 << 10
)

// errSilenceTimeout ends a stream whose engine sends nothing.
var errSilenceTimeout = errors.New("engine: no byte came in time")

// Decode generates tokens and hands each chunk over, in order, until the last one. An error of the
// function that takes the chunks ends the stream and is returned as it is.
func (c *Client) Decode(ctx context.Context, at string, m DecodeRequest, chunk func(Chunk) error) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	watch := time.AfterFunc(c.SilenceTimeout, func() { stop(errSilenceTimeout) })
	defer watch.Stop()
	resp, err := send(ctx, c.pooled, http.MethodPost, at, DecodePath, m)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := checkStatus(resp, at, DecodePath); err != nil {
		return err
	}
	return readChunks(&timedReader{body: resp.Body, timer: watch, timeout: c.SilenceTimeout}, m, chunk)
}

// timedReader runs a timer only while it waits for the engine, so that a slow caller is not
// taken for a silent engine.
type timedReader struct {
	body    io.Reader
	timer   *time.Timer
	timeout time.Duration
}

// Read implements io.Reader.
func (r *timedReader) Read(p []byte) (int, error) {
	r.timer.Reset(r.timeout)
	n, err := r.body.Read(p)
	r.timer.Stop()
	return n, err
}

func readChunks(body io.Reader, m DecodeRequest, hand func(Chunk) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, lineBufferBytes), maxChunkBytes)
	next := m.From
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		c, err := decodeChunk(data, m, next)
		if err != nil {
			return err
		}
		if err := hand(c); err != nil {
			return err
		}
		if c.Done {
			return nil
		}
		next++
	}
	if err := lines.Err(); err != nil {
		return incomplete.Wrap(err, "engine: stream failed after %d tokens", next)
	}
	return incomplete.New("engine: stream ended after %d tokens", next)
}

// decodeChunk decodes a chunk and checks that it belongs to the attempt and comes next.
func decodeChunk(data []byte, m DecodeRequest, next int) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return c, incomplete.Wrap(err, "engine: unable to decode a chunk")
	}
	if c.Attempt != m.Attempt {
		return c, wrongAttempt.New("engine: chunk of attempt %s in the answer to %s", c.Attempt, m.Attempt)
	}
	if !c.Done && (c.Index != next || next >= m.MaxTokens) {
		return c, incomplete.New("engine: token %d came instead of %d of %d", c.Index, next, m.MaxTokens)
	}
	return c, nil
}

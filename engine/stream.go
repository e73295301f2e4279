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
	lineBufferBytes = 1 << 10  // initial size of the line buffer
	maxChunkBytes   = 64 << 10 // longest line of a stream
)

// errSilenceTimeout is the cause with which a stream is cancelled if its engine sends nothing within the silence
// timeout.
var errSilenceTimeout = errors.New("engine: no data within the silence timeout")

// Decode generates tokens at an engine and calls handle with each chunk, in order, up to the last one. If handle
// returns an error, the stream ends and Decode returns that error unchanged.
func (c *Client) Decode(ctx context.Context, address string, req DecodeRequest, handle func(Chunk) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := newSilenceTimer(c.SilenceTimeout, func() { cancel(errSilenceTimeout) })
	defer silence.stop()
	resp, err := send(ctx, c.pooled, http.MethodPost, address, DecodePath, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := checkStatus(resp, address, DecodePath); err != nil {
		return err
	}
	return readChunks(&timedReader{body: resp.Body, silence: silence}, req, func(c Chunk) error {
		silence.reset()
		return handle(c)
	})
}

// silenceTimer limits the time for which an engine sends no chunk of a stream. Bytes that are no chunk don't count, since
// an engine that is stuck may still send some now and then.
type silenceTimer struct {
	timer   *time.Timer
	timeout time.Duration
	left    time.Duration // time left for the next chunk
}

// newSilenceTimer returns a running timer.
func newSilenceTimer(timeout time.Duration, expired func()) *silenceTimer {
	return &silenceTimer{timer: time.AfterFunc(timeout, expired), timeout: timeout, left: timeout}
}

// reset allows the whole timeout for the next chunk.
func (t *silenceTimer) reset() { t.left = t.timeout }

func (t *silenceTimer) stop() { t.timer.Stop() }

// timedReader runs its timer only during reads from the engine, so that a slow caller does not count as a silent
// engine.
type timedReader struct {
	body    io.Reader
	silence *silenceTimer
}

// Read implements io.Reader.
func (r *timedReader) Read(p []byte) (int, error) {
	start := time.Now()
	r.silence.timer.Reset(max(r.silence.left, 0))
	n, err := r.body.Read(p)
	r.silence.timer.Stop()
	r.silence.left -= time.Since(start)
	return n, err
}

// readChunks calls handle with each chunk of a stream, up to the last one.
func readChunks(body io.Reader, req DecodeRequest, handle func(Chunk) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, lineBufferBytes), maxChunkBytes)
	next := req.From
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		c, err := decodeChunk(data, req, next)
		if err != nil {
			return err
		}
		if err := handle(c); err != nil {
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

// decodeChunk decodes a chunk. It returns an error if the chunk belongs to another attempt, or if its token is not the
// expected next one.
func decodeChunk(data []byte, req DecodeRequest, next int) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return c, incomplete.Wrap(err, "engine: unable to decode a chunk")
	}
	if c.Attempt != req.Attempt {
		return c, wrongAttempt.New("engine: got a chunk of attempt %s in the stream of %s", c.Attempt, req.Attempt)
	}
	if !c.Done && (c.Index != next || next >= req.MaxTokens) {
		return c, incomplete.New("engine: got token %d instead of %d of %d", c.Index, next, req.MaxTokens)
	}
	return c, nil
}

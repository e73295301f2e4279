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

// errSilent ends a stream whose engine sends nothing.
var errSilent = errors.New("engine: no byte came in time")

// Decode generates tokens and hands each chunk over, in order, until the last one. An error of the
// function that takes the chunks ends the stream and is returned as it is.
func (c *Client) Decode(ctx context.Context, at string, m DecodeRequest, chunk func(Chunk) error) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	watch := time.AfterFunc(c.SilenceTimeout, func() { stop(errSilent) })
	defer watch.Stop()
	resp, err := send(ctx, c.pooled, http.MethodPost, at, DecodePath, m)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := checkStatus(resp, at, DecodePath); err != nil {
		return err
	}
	return readChunks(&watchedReader{body: resp.Body, watch: watch, limit: c.SilenceTimeout}, m, chunk)
}

// watchedReader runs a timer only while it waits for the engine, so that a slow caller is not
// taken for a silent engine.
type watchedReader struct {
	body  io.Reader
	watch *time.Timer
	limit time.Duration
}

// Read implements io.Reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	r.watch.Reset(r.limit)
	n, err := r.body.Read(p)
	r.watch.Stop()
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
		c, err := readChunk(data, m, next)
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
		return broken.Wrap(err, "engine: stream failed after %d tokens", next)
	}
	return broken.New("engine: stream ended after %d tokens", next)
}

// readChunk decodes a chunk and checks that it belongs to the attempt and comes next.
func readChunk(data []byte, m DecodeRequest, next int) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return c, broken.Wrap(err, "engine: unable to decode a chunk")
	}
	if c.Attempt != m.Attempt {
		return c, crossed.New("engine: chunk of attempt %s in the answer to %s", c.Attempt, m.Attempt)
	}
	if !c.Done && (c.Index != next || next >= m.MaxTokens) {
		return c, broken.New("engine: token %d came instead of %d of %d", c.Index, next, m.MaxTokens)
	}
	return c, nil
}

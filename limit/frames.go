package limit

import "encoding/binary"

// Parts of HTTP/2 frames (RFC 9113, section 4.1 and 6).
const (
	frameHeaderBytes  = 9
	frameHeaders      = 1
	frameContinuation = 9
)

// frames finds the heads of requests in what is read of an HTTP/2 connection.
type frames struct {
	header     [frameHeaderBytes]byte
	read       int    // bytes of header that were read
	payload    int    // bytes of the payload that are still to come
	lastStream uint32 // newest stream that a client has opened
	inHead     bool   // whether the frame belongs to a head
}

// count returns how many bytes of heads are in what was read, and how many requests were opened.
func (f *frames) count(p []byte) (headBytes int64, opened int) {
	for len(p) > 0 {
		if f.payload > 0 {
			n := min(f.payload, len(p))
			if f.inHead {
				headBytes += int64(n)
			}
			f.payload -= n
			p = p[n:]
			continue
		}
		n := copy(f.header[f.read:], p)
		f.read += n
		p = p[n:]
		if f.read == frameHeaderBytes {
			f.read = 0
			opened += f.begin()
		}
	}
	return headBytes, opened
}

// begin reads the header of a frame, and returns 1 if it opens a request.
func (f *frames) begin() int {
	f.payload = int(f.header[0])<<16 | int(f.header[1])<<8 | int(f.header[2])
	kind, stream := f.header[3], binary.BigEndian.Uint32(f.header[5:])&(1<<31-1)
	f.inHead = kind == frameHeaders || kind == frameContinuation
	if kind != frameHeaders || stream <= f.lastStream {
		return 0
	}
	f.lastStream = stream
	return 1
}

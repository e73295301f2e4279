package wire

import "strings"

// Lengths of uploads.
const (
	UploadBytes      = 16 << 20  // more than the buffers of both sockets hold
	SmallUploadBytes = 256 << 10 // fits into the buffer of the sending socket, but not into that of the receiving one

	BufferedUploadBytes = 32 << 10 // fits into the buffer of the receiving socket; more than net/http buffers, also its half
)

// Upload returns the text of an upload.
func Upload(length int) string { return strings.Repeat("x", length) }

// PartialText is a part of a response without a length.
const PartialText = "part of the res"

// EarlyAnswer is a part of a response to an upload that the server has not read.
type EarlyAnswer struct {
	Answer
	Length int // of the upload
}

// EarlyAnswers returns answers without a length that end with their connection before the upload was read, by name. They
// have the given lines of header fields, each with its end, and the given part of a body.
func EarlyAnswers(fields, part string) map[string]EarlyAnswer {
	text := "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + part
	return map[string]EarlyAnswer{
		"reset":             {Answer{Text: text, End: Reset}, UploadBytes},
		"closed":            {Answer{Text: text, End: Close}, UploadBytes},
		"half ended":        {Answer{Text: text, End: HalfEnd}, UploadBytes},
		"half ended, small": {Answer{Text: text, End: HalfEnd}, SmallUploadBytes},
	}
}

// WholeText is the body of the answers of WholeAnswers.
const WholeText = "the whole"

// WholeAnswers returns answers to uploads that are whole, by name: early ones with a length or chunks, and
// ones without that end after the request.
func WholeAnswers() map[string]Answer {
	const withLength = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + WholeText
	return map[string]Answer{
		"early, with a length":          {Text: withLength, End: HalfEnd},
		"early, connection kept":        {Text: withLength, End: Keep},
		"early, in chunks":              {Text: chunkedText("", WholeText, ""), End: HalfEnd},
		"early, ends after the request": {Text: "HTTP/1.1 200 OK\r\n\r\n" + WholeText, End: Drain},
		"after the request":             {Text: "HTTP/1.1 200 OK\r\n\r\n" + WholeText, AfterBody: true},
		"after the request, HTTP/1.0":   {Text: "HTTP/1.0 200 OK\r\n\r\n" + WholeText, AfterBody: true, End: HalfEnd},
	}
}

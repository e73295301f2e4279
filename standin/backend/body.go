package backend

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
)

// maxEndlessBytes is the amount of a body without end that is sent, so that a test that fails ends.
const maxEndlessBytes = 96 << 20

// writeBody sends a body, or one without end until the connection is closed or maxEndlessBytes are sent.
// The caller may be gone.
func writeBody(w io.Writer, body string, faults Faults) {
	if faults.Endless == "" {
		_, _ = io.WriteString(w, body)
		return
	}
	for sent := 0; sent < maxEndlessBytes; {
		n, err := io.WriteString(w, faults.Endless)
		if err != nil {
			return
		}
		sent += n
	}
}

// unsoundBody is the body of responses with an unsound head. No caller may get it.
const unsoundBody = "unsound"

// writeUnsound sends a response that begins with the given status line and fields.
func writeUnsound(w http.ResponseWriter, head string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(unsoundBody)))
	conn := startWith(w, head)
	defer conn.Close()
	_, _ = io.WriteString(conn, unsoundBody) // the caller may be gone
}

// startUnframed sends the head of a response without a length or chunks, and returns the connection, whose end is that of
// the response.
func startUnframed(w http.ResponseWriter) net.Conn { return startWith(w, "HTTP/1.1 200 OK") }

// startWith sends the head of a response, which begins with the given status line and fields, and returns the connection.
func startWith(w http.ResponseWriter, begin string) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var head bytes.Buffer
	head.WriteString(begin + "\r\n")
	_ = w.Header().Write(&head) // never fails
	head.WriteString("\r\n")
	_, _ = conn.Write(head.Bytes()) // the caller may be gone
	return conn
}

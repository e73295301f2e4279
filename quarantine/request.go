package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// requestPrefix begins the parts that stand for whole requests.
const requestPrefix = "request:"

// requestHashBytes is the length of the hash in such a part.
const requestHashBytes = 12

// RequestPart returns the part that stands for all requests of a client account with the same target (method, host, path and
// query) and body. Servers can't tell such requests apart, whatever the keys of their callers: if one crashes a server, all do.
func RequestPart(account, target string, body []byte) string {
	h := sha256.New()
	for _, text := range []string{account, target} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		h.Write(size[:])
		h.Write([]byte(text))
	}
	h.Write(body)
	return requestPrefix + hex.EncodeToString(h.Sum(nil)[:requestHashBytes])
}

// isRequestPart reports whether a part stands for a whole request, and not for a part of its prompt.
func isRequestPart(part string) bool { return strings.HasPrefix(part, requestPrefix) }

package response

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed means that the head or the trailer of a response is none in HTTP, though net/http takes it.
var ErrMalformed = errors.New("response: malformed")

// CheckHead returns ErrMalformed unless the head of a final response is sound. Statuses from 600 on are sound: they count
// as server errors (RFC 9110, section 15), by their value. A change of the protocol (101) is never asked for.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return fmt.Errorf("%w: status %q of a final response", ErrMalformed, resp.Status)
	}
	return CheckNames(resp.Header)
}

// IsInterim reports whether a response only precedes the final one.
func IsInterim(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK &&
		resp.StatusCode != http.StatusSwitchingProtocols
}

// CheckNames returns ErrMalformed if the name of a field in a head or trailer has a blank, also before its colon. Such a
// field may be one that says where the body ends, to others than net/http. net/http itself refuses all other bytes that a
// name must not have.
func CheckNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: name of field %q", ErrMalformed, name)
		}
	}
	return nil
}

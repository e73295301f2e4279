package outcome

import "net/http"

// Refusals of keyed calls.
var (
	errReused = NewRefusal(http.StatusUnprocessableEntity, "key-reused",
		"the idempotency key was used before for another call")
	errInProgress = NewRefusal(http.StatusConflict, "in-progress",
		"an earlier call with this idempotency key has not ended").WithOutcome(Unknown)
	errLost = NewRefusal(http.StatusConflict, "answer-lost",
		"an earlier call with this idempotency key was sent and its answer was lost").WithOutcome(Unknown)
	errTooLong = NewRefusal(http.StatusConflict, "answer-too-long",
		"the call ran, but its answer was too long to be kept").WithOutcome(Ran)
	errPlatform = NewRefusal(http.StatusServiceUnavailable, "platform-down",
		"the platform can't be reached to claim the call")
)

// PlatformDownRefusal refuses a keyed call that could not be claimed.
func PlatformDownRefusal() *Refusal { return errPlatform }

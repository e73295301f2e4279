package outcome

import "net/http"

// Refusals of keyed calls.
var (
	errReused = Refuse(http.StatusUnprocessableEntity, "key-reused",
		"the idempotency key was used before for another call")
	errInProgress = Refuse(http.StatusConflict, "in-progress",
		"an earlier call with this idempotency key has not ended").WithOutcome(Unknown)
	errLost = Refuse(http.StatusConflict, "answer-lost",
		"an earlier call with this idempotency key was sent and its answer was lost").WithOutcome(Unknown)
	errTooLong = Refuse(http.StatusConflict, "answer-too-long",
		"the call ran, but its answer was too long to be kept").WithOutcome(Ran)
	errPlatform = Refuse(http.StatusServiceUnavailable, "platform-down",
		"the platform can't be reached to claim the call")
)

// PlatformDown refuses a keyed call that could not be claimed.
func PlatformDown() *Refusal { return errPlatform }

package outcome

import "net/http"

// Refusals of requests with an idempotency key.
var (
	errKeyReused = NewRefusal(http.StatusUnprocessableEntity, "key-reused",
		"the idempotency key was used before for another call")
	errInProgress = NewRefusal(http.StatusConflict, "in-progress",
		"an earlier call with this idempotency key has not ended").WithOutcome(Unknown)
	errResponseLost = NewRefusal(http.StatusConflict, "answer-lost",
		"an earlier call with this idempotency key was sent and its answer was lost").WithOutcome(Unknown)
	errResponseTooLong = NewRefusal(http.StatusConflict, "answer-too-long",
		"the call ran, but its answer was too long to be kept").WithOutcome(Ran)
	errPlatformUnreachable = NewRefusal(http.StatusServiceUnavailable, "platform-down",
		"the platform can't be reached to claim the call")
)

// PlatformDownRefusal returns the refusal of a request that could not be claimed because the platform is down.
func PlatformDownRefusal() *Refusal { return errPlatformUnreachable }

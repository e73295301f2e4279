package event

import "github.com/sirupsen/logrus"

// Codes of request events.
const (
	RequestRefused   Code = 1201
	RequestPlaced    Code = 1202
	RequestCompleted Code = 1203
	AttemptFailed    Code = 1204
	RequestCancelled Code = 1205
	EngineEnded      Code = 1206
)

var requestEvents = map[Code]Definition{
	RequestRefused:   {"request-refused", logrus.InfoLevel, "request refused"},
	RequestPlaced:    {"request-placed", logrus.InfoLevel, "request placed on backend servers"},
	RequestCompleted: {"request-done", logrus.InfoLevel, "request answered completely"},
	AttemptFailed:    {"request-failed", logrus.WarnLevel, "an attempt failed at a backend server"},
	EngineEnded:      {"engine-ended", logrus.WarnLevel, "an engine ended before it had written a request's answer; the detail names the shared parts of the prompt"},
	RequestCancelled: {"request-cancelled", logrus.InfoLevel, "request cancelled: the caller disconnected or the response broke off"},
}

package event

import "github.com/sirupsen/logrus"

// Codes of requests.
const (
	RequestRefused   Code = 1201
	RequestPlaced    Code = 1202
	RequestCompleted      Code = 1203
	AttemptFailed    Code = 1204
	RequestCancelled Code = 1205
)

var requestEvents = map[Code]Definition{
	RequestRefused:   {"request-refused", logrus.InfoLevel, "request refused"},
	RequestPlaced:    {"request-placed", logrus.InfoLevel, "request placed on backend servers"},
	RequestCompleted:      {"request-done", logrus.InfoLevel, "request answered whole"},
	AttemptFailed:    {"request-failed", logrus.WarnLevel, "an attempt failed at a backend server"},
	RequestCancelled: {"request-cancelled", logrus.InfoLevel, "caller is gone; request cancelled"},
}

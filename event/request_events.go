package event

import "github.com/sirupsen/logrus"

// Codes of request events.
const (
	RequestRefused   Code = 1201
	RequestPlaced    Code = 1202
	RequestCompleted Code = 1203
	AttemptFailed    Code = 1204
	RequestCancelled Code = 1205
	ServerEnded      Code = 1206

	PartsQuarantined     Code = 1207
	PartsReleased        Code = 1208
	QuarantineTrial      Code = 1209
	QuarantineCallFailed Code = 1210
	QuarantineUnreadable Code = 1211
)

var requestEvents = map[Code]Definition{
	RequestRefused:   {"request-refused", logrus.InfoLevel, "request refused"},
	RequestPlaced:    {"request-placed", logrus.InfoLevel, "request placed on backend servers"},
	RequestCompleted: {"request-done", logrus.InfoLevel, "request answered completely"},
	AttemptFailed:    {"request-failed", logrus.WarnLevel, "an attempt failed at a backend server"},
	ServerEnded:      {"server-ended", logrus.WarnLevel, "a server ended while it ran a request, or soon after the attempt was cut; the detail names the request by a hash of its client account, target and body, and the shared parts of its prompt"},

	PartsQuarantined:     {"parts-quarantined", logrus.WarnLevel, "requests with these parts (request: stands for a whole request, the others for parts of prompts) are refused, since servers crashed under others; the detail has the evidence"},
	PartsReleased:        {"parts-released", logrus.InfoLevel, "requests with these parts are no longer refused: a server answered one, another part accounts for the crashes, or they are too old"},
	QuarantineTrial:      {"parts-tried", logrus.InfoLevel, "a request with refused parts is let through, to see whether servers still crash under it"},
	QuarantineCallFailed: {"quarantine-call-failed", logrus.WarnLevel, "a call to exchange the evidence of crashes with a peer failed"},
	QuarantineUnreadable: {"quarantine-unreadable", logrus.WarnLevel, "the evidence of crashes in the platform store can't be decoded; the next write replaces it"},

	RequestCancelled: {"request-cancelled", logrus.InfoLevel, "request cancelled: the caller disconnected or the response broke off"},
}

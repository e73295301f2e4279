package event

import "github.com/sirupsen/logrus"

// Code is the number of a kind of event; numbers are never reused.
type Code int

// Definition describes a kind of event.
type Definition struct {
	Name  string
	Level logrus.Level
	Text  string
}

// Codes of the instance's own life.
const (
	InstanceStarted Code = 1001
	InstanceLeaving Code = 1002
	InstanceStopped Code = 1003
	ServiceFailed   Code = 1004
)

// Codes of the configuration.
const (
	RulesInForce  Code = 1101
	RulesRejected Code = 1102
	PlatformLost  Code = 1103
)

// Codes of requests.
const (
	RequestRefused   Code = 1201
	RequestPlaced    Code = 1202
	RequestDone      Code = 1203
	RequestFailed    Code = 1204
	RequestCancelled Code = 1205
)

// Catalogue lists every kind of event.
var Catalogue = map[Code]Definition{
	InstanceStarted:  {"instance-started", logrus.InfoLevel, "instance started"},
	InstanceLeaving:  {"instance-leaving", logrus.InfoLevel, "instance is leaving; finishing its requests"},
	InstanceStopped:  {"instance-stopped", logrus.InfoLevel, "instance stopped"},
	ServiceFailed:    {"service-failed", logrus.ErrorLevel, "a service of the instance failed and is restarted"},
	RulesInForce:     {"rules-in-force", logrus.InfoLevel, "a revision of the rules is in force"},
	RulesRejected:    {"rules-rejected", logrus.ErrorLevel, "a revision of the rules was not put in force"},
	PlatformLost:     {"platform-lost", logrus.WarnLevel, "the platform does not answer"},
	RequestRefused:   {"request-refused", logrus.InfoLevel, "request refused"},
	RequestPlaced:    {"request-placed", logrus.DebugLevel, "request placed on backend servers"},
	RequestDone:      {"request-done", logrus.DebugLevel, "request answered whole"},
	RequestFailed:    {"request-failed", logrus.WarnLevel, "an attempt failed at a backend server"},
	RequestCancelled: {"request-cancelled", logrus.InfoLevel, "caller is gone; request cancelled"},
}

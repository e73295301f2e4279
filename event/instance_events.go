package event

import "github.com/sirupsen/logrus"

// Codes of the instance's own life.
const (
	InstanceStarted Code = 1001
	InstanceLeaving Code = 1002
	InstanceStopped Code = 1003
	ServiceFailed   Code = 1004
)

var instanceEvents = map[Code]Definition{
	InstanceStarted: {"instance-started", logrus.InfoLevel, "instance started"},
	InstanceLeaving: {"instance-leaving", logrus.InfoLevel, "instance is leaving; finishing its requests"},
	InstanceStopped: {"instance-stopped", logrus.InfoLevel, "instance stopped"},
	ServiceFailed:   {"service-failed", logrus.ErrorLevel, "a service of the instance failed and is restarted"},
}

package event

import "github.com/sirupsen/logrus"

// Codes of the instance's own life.
const (
	InstanceStarted     Code = 1001
	InstanceLeaving     Code = 1002
	InstanceStopped     Code = 1003
	ServiceFailed       Code = 1004
	CertificateLoaded   Code = 1005
	CertificateRejected Code = 1006
	ConnectionRejected   Code = 1007
	CallerStalled       Code = 1008
	SettingsReloaded    Code = 1009
	SettingsRejected    Code = 1010
)

var instanceEvents = map[Code]Definition{
	InstanceStarted:     {"instance-started", logrus.InfoLevel, "instance started"},
	InstanceLeaving:     {"instance-leaving", logrus.InfoLevel, "instance is leaving; finishing its requests"},
	InstanceStopped:     {"instance-stopped", logrus.InfoLevel, "instance stopped"},
	ServiceFailed:       {"service-failed", logrus.ErrorLevel, "a service of the instance failed and is restarted"},
	CertificateLoaded:   {"certificate-loaded", logrus.InfoLevel, "a new certificate is in use"},
	CertificateRejected: {"certificate-rejected", logrus.ErrorLevel, "a new certificate can't be used; the old one stays"},
	ConnectionRejected:   {"connection-refused", logrus.WarnLevel, "a caller's connection was closed; far too many are open"},
	CallerStalled:       {"caller-stalled", logrus.InfoLevel, "a caller sent its body or took its answer too slowly"},
	SettingsReloaded:    {"settings-reloaded", logrus.InfoLevel, "new settings are in force"},
	SettingsRejected:    {"settings-rejected", logrus.ErrorLevel, "new settings can't be used; the old ones stay"},
}

package event

import "github.com/sirupsen/logrus"

// Codes of events of the instance's lifecycle, certificates, settings and connections.
const (
	InstanceStarted     Code = 1001
	InstanceLeaving     Code = 1002
	InstanceStopped     Code = 1003
	ServiceFailed       Code = 1004
	CertificateLoaded   Code = 1005
	CertificateRejected Code = 1006
	ConnectionRejected  Code = 1007
	CallerStalled       Code = 1008
	SettingsReloaded    Code = 1009
	SettingsRejected    Code = 1010
	HeadRefused         Code = 1011
	ConnectionEnded     Code = 1012
)

var instanceEvents = map[Code]Definition{
	InstanceStarted:     {"instance-started", logrus.InfoLevel, "instance started"},
	InstanceLeaving:     {"instance-leaving", logrus.InfoLevel, "instance is leaving; finishing its requests"},
	InstanceStopped:     {"instance-stopped", logrus.InfoLevel, "instance stopped"},
	ServiceFailed:       {"service-failed", logrus.ErrorLevel, "a background service of the instance failed and is restarted"},
	CertificateLoaded:   {"certificate-loaded", logrus.InfoLevel, "a new certificate is in use"},
	CertificateRejected: {"certificate-rejected", logrus.ErrorLevel, "a new certificate can't be used; the old one stays"},
	ConnectionRejected:  {"connection-refused", logrus.WarnLevel, "a caller's connection was closed because too many are open"},
	CallerStalled:       {"caller-stalled", logrus.InfoLevel, "a caller sent its request or read the response too slowly"},
	SettingsReloaded:    {"settings-reloaded", logrus.InfoLevel, "new settings are in force"},
	HeadRefused:         {"head-refused", logrus.WarnLevel, "a request was refused before its header was complete"},
	ConnectionEnded:     {"connection-ended", logrus.WarnLevel, "a caller's connection was ended to make room for others"},
	SettingsRejected:    {"settings-rejected", logrus.ErrorLevel, "new settings can't be used; the old ones stay"},
}

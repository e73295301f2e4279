package option

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Field describes one setting.
type Field struct {
	Name        string // path of YAML keys, joined by dots
	Required    bool   // whether the settings file must contain it
	Description string

	pointer func(*Options) any     // returns a pointer to the setting
	check   func(value any) string // returns a description of the allowed values, or "" if the value is valid
	isPath  bool                   // whether the value is a file path
}

// Value returns the value of a setting.
func (f Field) Value(o *Options) any { return reflect.ValueOf(f.pointer(o)).Elem().Interface() }

// Reloadable reports whether a change of the setting takes effect without a restart.
func (f Field) Reloadable() bool { return strings.HasPrefix(f.Name, "retry.") || f.Name == "log.level" }

// Default returns the default value of a setting as text, or "" if it is the zero value or there is none.
func (f Field) Default() string {
	value := reflect.ValueOf(f.pointer(Default())).Elem()
	if value.IsZero() {
		return ""
	}
	return fmt.Sprint(value.Interface())
}

// Fields lists all settings, in the order of docs/SETTINGS.md.
var Fields = []Field{
	{
		Name: "name", Required: true, check: checkName, pointer: func(o *Options) any { return &o.Name },
		Description: "Name of the instance, unique in the fleet: lowercase letters, digits, dots and hyphens.",
	},
	{
		Name: "zone", Required: true, check: checkName, pointer: func(o *Options) any { return &o.Zone },
		Description: "Availability zone in which the instance runs.",
	},
	{
		Name: "listen", Required: true, check: checkAddress, pointer: func(o *Options) any { return &o.Listen },
		Description: "IP address and port on which callers' requests are accepted.",
	},
	{
		Name: "admin", Required: true, check: checkReachable, pointer: func(o *Options) any { return &o.Admin },
		Description: "IP address and port of the operators' listener: `/health`, `/ready`, `/metrics`, `/events`.",
	},
	{
		Name: "metrics", check: checkAddress, pointer: func(o *Options) any { return &o.Metrics },
		Description: "IP address and port of a listener without TLS that serves `/metrics` without a token, for collectors inside the installation; if it is not set, `/metrics` is served on `admin` only.",
	},
	{
		Name: "peer", Required: true, check: checkReachable, pointer: func(o *Options) any { return &o.Peer },
		Description: "IP address and port at which other instances reach this one.",
	},
	{
		Name: "peers", check: checkPeers, pointer: func(o *Options) any { return &o.Peers },
		Description: "Peer addresses of some other instances, used at a start while the platform is unavailable.",
	},
	{
		Name: "platform", Required: true, check: checkURL, pointer: func(o *Options) any { return &o.Platform },
		Description: "URL of the platform's object API.",
	},
	{
		Name: "source", check: checkOneOf(SourceRules, SourceStore), pointer: func(o *Options) any { return &o.Source },
		Description: "Where routes, client accounts and servers come from: `rules`, a rules file that operators apply, or `store`, the operator's configuration and the servers' entries in the platform store. With `store` the token settings may be left out.",
	},
	{
		Name: "evacuations", check: acceptAny, pointer: func(o *Options) any { return &o.Evacuations },
		Description: "Whether operators request the evacuation of availability zones in the platform store. Used with `source: store`; with `source: rules` a rule of the kind `evacuate` requests it.",
	},
	{
		Name: "regions", check: checkRegions, pointer: func(o *Options) any { return &o.Regions },
		Description: "Regions of the availability zones, as a list of `zone=region`. Needed where routes or accounts name regions that their requests may not leave. Used with `source: store`.",
	},
	{
		Name: "platform-token", Required: true, isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.PlatformToken },
		Description: "File with the token sent to the platform.",
	},
	{
		Name: "admin-token", Required: true, isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.AdminToken },
		Description: "File with the token that operators send to the admin listener.",
	},
	{
		Name: "peer-token", Required: true, isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.PeerToken },
		Description: "File with the secret shared by all instances of the fleet.",
	},
	{
		Name: "tls.certificate", isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.TLS.Certificate },
		Description: "File with the certificate chain (PEM) of the callers' listener; without it the listener does not use TLS. Reread when it changes.",
	},
	{
		Name: "tls.key", isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.TLS.Key },
		Description: "File with the private key (PEM) of `tls.certificate`.",
	},
	{
		Name: "admin-tls.certificate", isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.AdminTLS.Certificate },
		Description: "File with the certificate chain (PEM) of the admin listener; without it the listener does not use TLS. Reread when it changes.",
	},
	{
		Name: "admin-tls.key", isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.AdminTLS.Key },
		Description: "File with the private key (PEM) of `admin-tls.certificate`.",
	},
	{
		Name: "peer-tls.certificate", isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.PeerTLS.Certificate },
		Description: "File with the certificate chain (PEM) that the instance presents to other instances; it must name the IP address of `peer`. Without it calls between instances do not use TLS and are protected by `peer-token` alone. Reread when it changes.",
	},
	{
		Name: "peer-tls.key", isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.PeerTLS.Key },
		Description: "File with the private key (PEM) of `peer-tls.certificate`.",
	},
	{
		Name: "peer-tls.authority", isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.PeerTLS.Authority },
		Description: "File with the certificates (PEM) of the authority that signed the peers' certificates. Reread when it changes.",
	},
	{
		Name: "limit.connections", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Connections },
		Description: "Maximum number of open connections from callers, within a quarter of the descriptors and a twelfth of the memory of the process at 16 KiB a connection, 32 KiB with TLS. Above it a new connection replaces one that waits; if there is none, it gets the response `too-many-connections`. Those above twice the number are closed.",
	},
	{
		Name: "limit.header", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Header },
		Description: "Largest request header, in bytes. With `source: store` the operator's `maxHeaderBytes` takes its place.",
	},
	{
		Name: "limit.body", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Body },
		Description: "Largest request body, in bytes.",
	},
	{
		Name: "limit.memory", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Memory },
		Description: "Bytes of request bodies for models held in memory at once, over all callers; requests above it are rejected with `too-many-bodies`. Of bodies for plain services the part is counted that is kept for a retry. It is used within a quarter of the memory of the process.",
	},
	{
		Name: "limit.heads", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Heads },
		Description: "Bytes of request headers held in memory at once, over all callers, within an eighth of the memory of the process. A header counts as 3 bytes for each byte and 256 bytes for each field. Above it the largest are refused with `too-many-headers`.",
	},
	{
		Name: "limit.begin", check: checkDuration, pointer: func(o *Options) any { return &o.Limit.Begin },
		Description: "Time within which a caller must have sent the whole request header, and completed the TLS handshake.",
	},
	{
		Name: "limit.stall", check: checkDuration, pointer: func(o *Options) any { return &o.Limit.Stall },
		Description: "Total time that an instance waits, in one request, for a caller that sends its body or reads the response more slowly than `limit.pace`.",
	},
	{
		Name: "limit.pace", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Pace },
		Description: "Bytes per second that a caller must send or read while an instance waits for it.",
	},
	{
		Name: "limit.idle", check: checkDuration, pointer: func(o *Options) any { return &o.Limit.Idle },
		Description: "Time after which a connection without a request is closed.",
	},
	{
		Name: "limit.process", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Process },
		Description: "Memory that the process may use, in bytes: garbage is collected more often as its memory approaches nine tenths of what the program itself leaves, and the limits on what callers make it hold stay within shares of it. Without it these are shares of the machine's memory, and the Go runtime has no memory limit.",
	},
	{
		Name: "limit.descriptors", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Descriptors },
		Description: "File descriptors that the process may use, if fewer than its limit (RLIMIT_NOFILE). Half of them are for connections of callers.",
	},
	{
		Name: "retry.share", check: checkFraction, pointer: func(o *Options) any { return &o.Retry.Share },
		Description: "Attempts beyond the first of each request that all instances together may send to a service, as a share of its requests. Used with `source: store`.",
	},
	{
		Name: "retry.extra", check: checkCount, pointer: func(o *Options) any { return &o.Retry.Extra },
		Description: "Attempts that are allowed on top of `retry.share` in each `retry.window`.",
	},
	{
		Name: "retry.window", check: checkDuration, pointer: func(o *Options) any { return &o.Retry.Window },
		Description: "Period over which `retry.share` and `retry.extra` are counted.",
	},
	{
		Name: "engine.fenced", check: acceptAny, pointer: func(o *Options) any { return &o.Engine.Fenced },
		Description: "Whether model engines refuse orders with an old fencing number. Used with `source: store`.",
	},
	{
		Name: "engine.stages", check: checkOneOf(StagesBalance, StagesKeep), pointer: func(o *Options) any { return &o.Engine.Stages },
		Description: "Whether model engines are ordered to change between prefill and decode as the load requires, `balance`, or keep their stage, `keep`. Used with `source: store`.",
	},
	{
		Name: "engine.place", check: checkOneOf(PlaceCell, PlaceRoundRobin, PlaceLeastRequests, PlaceEWMA), pointer: func(o *Options) any { return &o.Engine.Place },
		Description: "How model requests are placed with `source: store`: `cell`, by dispatchers that know all reservations, or as baselines for comparison `robin` (round robin), `least` (fewest requests) or `ewma` (lowest latency), by what each instance alone has observed. The baselines don't enforce accounts' rates for model requests. With `source: rules` the models' rules set it.",
	},
	{
		Name: "stop.grace", check: checkDuration, pointer: func(o *Options) any { return &o.Stop.Grace },
		Description: "Time between SIGTERM and SIGKILL, within which the instance finishes its requests.",
	},
	{
		Name: "log.format", check: checkOneOf("text", "json"), pointer: func(o *Options) any { return &o.Log.Format },
		Description: "Log format: `text` or `json`.",
	},
	{
		Name: "log.level", check: checkOneOf("debug", "info", "warning", "error"), pointer: func(o *Options) any { return &o.Log.Level },
		Description: "Lowest level that is logged: `debug`, `info`, `warning` or `error`.",
	},
}

// allowedValues returns a description of the values that a setting may have, as its check gives it for a zero value.
func (f Field) allowedValues() string {
	empty := reflect.New(reflect.TypeOf(f.pointer(Default())).Elem()).Interface()
	if text := f.check(empty); text != "" {
		return text
	}
	return "must be a list"
}

func findField(name string) (Field, bool) {
	for _, f := range Fields {
		if f.Name == name {
			return f, true
		}
	}
	return Field{}, false
}

// isGroup reports whether settings are nested below a key.
func isGroup(name string) bool {
	for _, f := range Fields {
		if strings.HasPrefix(f.Name, name+".") {
			return true
		}
	}
	return false
}

// childKeys returns the keys that are allowed below a prefix, separated by commas. The prefix is empty or ends in a dot.
func childKeys(prefix string) string {
	var out []string
	for _, f := range Fields {
		rest, ok := strings.CutPrefix(f.Name, prefix)
		if !ok {
			continue
		}
		key, _, _ := strings.Cut(rest, ".")
		if len(out) == 0 || out[len(out)-1] != key {
			out = append(out, key)
		}
	}
	return strings.Join(out, ", ")
}

func checkDuration(value any) string {
	if *value.(*time.Duration) <= 0 {
		return "must be a duration above zero, such as 5s"
	}
	return ""
}

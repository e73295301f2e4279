package option

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Field describes one setting.
type Field struct {
	Name        string // keys joined by dots
	Required    bool   // whether the file must give it
	Description string

	pointer func(*Options) any // pointer to the setting
	check   func(value any) string
	isPath  bool // whether the value is a path
}

// Value returns the value of a setting.
func (f Field) Value(o *Options) any { return reflect.ValueOf(f.pointer(o)).Elem().Interface() }

// Reloadable tells whether a change of the setting is put in force without a restart.
func (f Field) Reloadable() bool { return strings.HasPrefix(f.Name, "retry.") || f.Name == "log.level" }

// Default returns the value of a setting that the file leaves out, empty if there is none.
func (f Field) Default() string {
	value := reflect.ValueOf(f.pointer(Default())).Elem()
	if value.IsZero() {
		return ""
	}
	return fmt.Sprint(value.Interface())
}

// Fields lists every setting, in the order of docs/SETTINGS.md.
var Fields = []Field{
	{
		Name: "name", Required: true, check: checkName, pointer: func(o *Options) any { return &o.Name },
		Description: "Name of the instance, unique in the fleet: small letters, digits, dots and hyphens.",
	},
	{
		Name: "zone", Required: true, check: checkName, pointer: func(o *Options) any { return &o.Zone },
		Description: "Availability zone in which the instance runs.",
	},
	{
		Name: "listen", Required: true, check: checkAddress, pointer: func(o *Options) any { return &o.Listen },
		Description: "IP number and port on which callers are answered.",
	},
	{
		Name: "admin", Required: true, check: checkReachable, pointer: func(o *Options) any { return &o.Admin },
		Description: "IP number and port of the operators' listener: `/health`, `/ready`, `/metrics`, `/events`.",
	},
	{
		Name: "metrics", check: checkAddress, pointer: func(o *Options) any { return &o.Metrics },
		Description: "IP number and port of a plain listener that serves `/metrics` without a token, for collectors inside the installation; without it they are on `admin` alone.",
	},
	{
		Name: "peer", Required: true, check: checkReachable, pointer: func(o *Options) any { return &o.Peer },
		Description: "IP number and port for calls of other instances, as these reach it.",
	},
	{
		Name: "peers", check: checkPeers, pointer: func(o *Options) any { return &o.Peers },
		Description: "Peer addresses of some other instances, for a start while the platform is down.",
	},
	{
		Name: "platform", Required: true, check: checkURL, pointer: func(o *Options) any { return &o.Platform },
		Description: "URL of the platform's object API.",
	},
	{
		Name: "source", check: checkOneOf(SourceRules, SourceStore), pointer: func(o *Options) any { return &o.Source },
		Description: "Where routes, client accounts and servers come from: `rules`, a rules file that operators apply, or `store`, the operator's configuration and the servers' entries in the platform's store. With `store` the tokens may be left out.",
	},
	{
		Name: "platform-token", Required: true, isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.PlatformToken },
		Description: "File with the token shown to the platform.",
	},
	{
		Name: "admin-token", Required: true, isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.AdminToken },
		Description: "File with the token that operators show on the admin listener.",
	},
	{
		Name: "peer-token", Required: true, isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.PeerToken },
		Description: "File with the secret shared by all instances of the fleet.",
	},
	{
		Name: "tls.certificate", isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.TLS.Certificate },
		Description: "File with the certificate chain (PEM) of the callers' listener; without it the listener is plain. Reread when it changes.",
	},
	{
		Name: "tls.key", isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.TLS.Key },
		Description: "File with the private key (PEM) of `tls.certificate`.",
	},
	{
		Name: "admin-tls.certificate", isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.AdminTLS.Certificate },
		Description: "File with the certificate chain (PEM) of the admin listener; without it the listener is plain. Reread when it changes.",
	},
	{
		Name: "admin-tls.key", isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.AdminTLS.Key },
		Description: "File with the private key (PEM) of `admin-tls.certificate`.",
	},
	{
		Name: "peer-tls.certificate", isPath: true, check: checkFilePath, pointer: func(o *Options) any { return &o.PeerTLS.Certificate },
		Description: "File with the certificate chain (PEM) that the instance shows to other instances; it must name the IP number of `peer`. Without it calls between instances are plain, guarded by `peer-token` alone. Reread when it changes.",
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
		Description: "Callers' connections open at once; those above it are told `too-many-connections`, those above twice the number are closed.",
	},
	{
		Name: "limit.header", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Header },
		Description: "Largest request header, in bytes.",
	},
	{
		Name: "limit.body", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Body },
		Description: "Largest request body, in bytes.",
	},
	{
		Name: "limit.memory", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Memory },
		Description: "Bytes of request bodies for models that are held at once, over all callers; those above it are told `too-many-bodies`. Bodies for plain services are passed on as they come and not counted.",
	},
	{
		Name: "limit.begin", check: checkDuration, pointer: func(o *Options) any { return &o.Limit.Begin },
		Description: "Time in which a caller must have sent the whole request header, and the TLS handshake.",
	},
	{
		Name: "limit.stall", check: checkDuration, pointer: func(o *Options) any { return &o.Limit.Stall },
		Description: "Time that an instance waits in all, in one request, for a caller that sends its body or takes its answer slower than `limit.pace`.",
	},
	{
		Name: "limit.pace", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Pace },
		Description: "Bytes per second that a caller must send or take while an instance waits for it.",
	},
	{
		Name: "limit.idle", check: checkDuration, pointer: func(o *Options) any { return &o.Limit.Idle },
		Description: "Time after which a connection without a request is closed.",
	},
	{
		Name: "limit.process", check: checkCount, pointer: func(o *Options) any { return &o.Limit.Process },
		Description: "Memory that the process may take, in bytes: the runtime collects more often near nine tenths of it. Without it the runtime knows no bound.",
	},
	{
		Name: "retry.share", check: checkFraction, pointer: func(o *Options) any { return &o.Retry.Share },
		Description: "What all instances together may send to a service beyond the first time of each request, as a share of its requests. Used with `source: store`.",
	},
	{
		Name: "retry.extra", check: checkCount, pointer: func(o *Options) any { return &o.Retry.Extra },
		Description: "Requests that may be sent on top of `retry.share` in each `retry.window`.",
	},
	{
		Name: "retry.window", check: checkDuration, pointer: func(o *Options) any { return &o.Retry.Window },
		Description: "Time in which `retry.share` and `retry.extra` are counted.",
	},
	{
		Name: "engine.fenced", check: acceptAny, pointer: func(o *Options) any { return &o.Engine.Fenced },
		Description: "Whether model engines refuse orders with an old fencing number. Used with `source: store`.",
	},
	{
		Name: "engine.stages", check: checkOneOf(StagesBalance, StagesKeep), pointer: func(o *Options) any { return &o.Engine.Stages },
		Description: "Whether model engines are ordered to change between prefill and decode as the load asks for it, `balance`, or stay as they are, `keep`. Used with `source: store`.",
	},
	{
		Name: "engine.place", check: checkOneOf(PlaceCell, PlaceRoundRobin, PlaceLeastRequests, PlaceEWMA), pointer: func(o *Options) any { return &o.Engine.Place },
		Description: "How model requests are placed with `source: store`: `cell`, by dispatchers that know all reservations, or for comparison `robin`, `least` (requests) or `ewma` (latency), by what each instance alone has seen. The baselines hold no account to its rate for model requests. With `source: rules` the models' rules say it.",
	},
	{
		Name: "stop.grace", check: checkDuration, pointer: func(o *Options) any { return &o.Stop.Grace },
		Description: "Time between SIGTERM and SIGKILL, within which the instance finishes its requests.",
	},
	{
		Name: "log.format", check: checkOneOf("text", "json"), pointer: func(o *Options) any { return &o.Log.Format },
		Description: "Form of the log: `text` or `json`.",
	},
	{
		Name: "log.level", check: checkOneOf("debug", "info", "warning", "error"), pointer: func(o *Options) any { return &o.Log.Level },
		Description: "Least level that is logged: `debug`, `info`, `warning` or `error`.",
	},
}

// allowedValues says which values a setting may have.
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

// isGroup tells whether settings are nested below a key.
func isGroup(name string) bool {
	for _, f := range Fields {
		if strings.HasPrefix(f.Name, name+".") {
			return true
		}
	}
	return false
}

// childKeys lists the keys that are allowed below a prefix, which is empty or ends in a dot.
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
		return "must be a time above zero, such as 5s"
	}
	return ""
}

package instance

import (
	"teaselgate/cell"
	"teaselgate/platform"
)

// CloseCallerListener closes the caller listener, so that serving on it fails.
func (i *Instance) CloseCallerListener() { i.listeners.caller.Close() }

// EngineClient returns a client for calls to engines, as the parts of the instance use it.
func (i *Instance) EngineClient() *platform.EngineClient { return i.newEngineClient() }

// EngineReportCalls returns the calls with which dispatchers ask engines for their load.
func (i *Instance) EngineReportCalls() cell.EngineCalls { return i.engineReportCalls() }

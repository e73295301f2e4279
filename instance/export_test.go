package instance

// CloseCallers breaks the callers' listener.
func (i *Instance) CloseCallers() { i.listeners.caller.Close() }

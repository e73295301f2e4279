package instance

// CloseCallerListener breaks the callers' listener.
func (i *Instance) CloseCallerListener() { i.listeners.caller.Close() }

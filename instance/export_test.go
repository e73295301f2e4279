package instance

// CloseCallerListener closes the caller listener, so that serving on it fails.
func (i *Instance) CloseCallerListener() { i.listeners.caller.Close() }

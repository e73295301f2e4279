package limit

import "teaselgate/option"

// Shares are the parts of a machine that may be used for those who call an instance. What is left is for its own connections, its
// state and the runtime.
type Shares struct {
	Connections int   // of callers; twice as many are accepted, to be refused
	Operators   int   // connections of the admin listener, and of that for metrics
	Peers       int   // connections of other instances
	Strangers   int   // part of Peers that have not proved to be instances yet
	Heads       int64 // bytes of heads of callers' requests, as parsed
	Bodies      int64 // bytes of bodies and of answers that were read before they were written

	OperatorHeads int64 // bytes of heads on the admin listener, and on that for metrics
}

// Parts of the memory and of the descriptors.
const (
	headDivisor       = 8
	bodyDivisor       = 4
	connectionDivisor = 6
	callerDivisor     = 2  // of the descriptors
	operatorDivisor   = 32 // of the descriptors, and of the memory for heads
	peerDivisor       = 8  // of the descriptors
	strangerDivisor   = 4  // of the connections of peers
	minConnections    = 8
)

// Memory of an open connection: its goroutine, buffers and, with TLS, records.
const (
	connectionBytes    = 16 << 10
	tlsConnectionBytes = 32 << 10
)

// maxOperatorHeads is the most memory for heads on the admin listener, and on that for metrics.
const maxOperatorHeads = 8 << 20

// NewShares divides a machine. The limits of the settings apply within the shares. The argument secure tells whether callers
// use TLS.
func NewShares(m Machine, limits option.Limit, secure bool) Shares {
	perConnection := int64(connectionBytes)
	if secure {
		perConnection = tlsConnectionBytes
	}
	accepted := min(int64(m.Descriptors/callerDivisor), m.Memory/connectionDivisor/perConnection)
	peers := max(m.Descriptors/peerDivisor, minConnections)
	return Shares{
		Connections: max(min(limits.Connections, int(accepted/hardLimitFactor)), minConnections),
		Operators:   max(m.Descriptors/operatorDivisor/hardLimitFactor, minConnections),
		Peers:       peers,
		Strangers:   max(peers/strangerDivisor, minConnections),
		Heads:       min(limits.Heads, m.Memory/headDivisor),
		Bodies:      min(limits.Memory, m.Memory/bodyDivisor),

		OperatorHeads: min(maxOperatorHeads, m.Memory/operatorDivisor),
	}
}

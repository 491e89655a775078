package callerlimit

import "math"

// Resources of a VM.
const (
	// connectionBytes is the memory that a connection takes without a request: the buffers of
	// net/http and the stack of its goroutine.
	connectionBytes = 16 << 10
	// reservedDescriptors is the part of the descriptors that is kept for files.
	reservedDescriptors = 200
	// minMemory holds one request with a head of the maximum size, whatever its lines.
	minMemory = 2 << 20
	// readyConnections is enough for the few checks a second of the platform and of operators.
	readyConnections = 32
)

// Limits bounds what the connections of an endpoint hold together. Zero means no limit.
type Limits struct {
	Connections int
	Memory      int64 // of requests, in bytes
}

// LargestRequest returns the memory that a single request may use, or 0 if it is not limited.
func (l Limits) LargestRequest() int64 {
	return max(int64(float64(l.Memory)*largeFraction), min(l.Memory, smallRequest))
}

// WithRequest returns the limits with the memory raised, if needed, so that a single request may use
// n bytes.
func (l Limits) WithRequest(n int64) Limits {
	if n > l.LargestRequest() {
		l.Memory = int64(math.Ceil(float64(n) / largeFraction))
	}
	return l
}

// VM describes the resources of a VM. Zero means that a resource is not known; it limits nothing.
type VM struct {
	Memory      int64 // bytes
	Descriptors int
}

// Callers returns the limits of the endpoint for callers. Requests take up to a quarter of the
// memory, and connections a sixth; these take up to half of the descriptors. The rest is for the
// program itself, responses and other routers.
func (vm VM) Callers() Limits { return vm.limits(4, 6, 2) }

// Peers returns the limits of the endpoint for other routers, whose calls are few and small.
func (vm VM) Peers() Limits { return vm.limits(14, 12, 4) }

// Ready returns the limits of the endpoint for checks of readiness.
func (vm VM) Ready() Limits {
	l := vm.limits(64, 64, 16)
	if l.Connections > readyConnections {
		l.Connections = readyConnections
	}
	return l
}

// Responses returns how much of the memory responses may take.
func (vm VM) Responses() int64 { return vm.Memory / 5 }

// limits returns the limits of an endpoint whose requests and connections take the given parts
// of the memory, and its connections of the descriptors.
func (vm VM) limits(requests, connections, descriptors int) (l Limits) {
	if vm.Memory > 0 {
		l.Memory = max(vm.Memory/int64(requests), minMemory)
		l.Connections = max(int(vm.Memory/int64(connections)/connectionBytes), 1)
	}
	if vm.Descriptors > 0 {
		n := max((vm.Descriptors-reservedDescriptors)/descriptors, 1)
		if l.Connections == 0 || n < l.Connections {
			l.Connections = n
		}
	}
	return l
}

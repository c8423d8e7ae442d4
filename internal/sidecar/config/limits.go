package config

import "fmt"

// reservedDescriptors are kept for discovery, the listener, the runtime and connections of clients that are rejected.
const reservedDescriptors = 32

// unlimitedConnections is the number of connections where Sockets is no bound.
const unlimitedConnections = 1 << 20

// check reports a bound below 0.
func (l Limits) check(text source) error {
	for _, limit := range []struct {
		field string
		value float64
	}{{"cores", l.Cores}, {"memory_mb", float64(l.MemoryMB)}, {"sockets", float64(l.Sockets)}} {
		if limit.value < 0 {
			return text.errorIn("limits."+limit.field, fmt.Sprintf("%v is below 0", limit.value), "0 is no limit")
		}
	}
	return nil
}

// ClientConnections is how many connections clients may have. Up to a third of the descriptors are for clients with requests, as
// many are for servers; connections of clients without a request, which can be closed to free descriptors, may use the rest.
func (l Limits) ClientConnections() int {
	if l.Sockets <= 0 {
		return unlimitedConnections
	}
	return max(1, l.Sockets-reservedDescriptors-l.ServerConnections())
}

// ServerConnections is how many connections to servers there may be.
func (l Limits) ServerConnections() int {
	if l.Sockets <= 0 {
		return unlimitedConnections
	}
	return max(1, l.Sockets/3)
}

// MessageBytes is how many bytes of bodies and responses may be in memory at once, a quarter of the limit; 0 is no bound. Most of the rest
// is for headers and messages under 4 KiB, of which there are as many as connections, for buffers of streamed messages, and for garbage.
func (l Limits) MessageBytes() int64 { return int64(l.MemoryMB) << 20 / 4 }

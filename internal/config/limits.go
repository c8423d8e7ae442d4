package config

// reserved descriptors are kept for discovery, the listener, the runtime and turning clients away.
const reserved = 32

// Clients is how many connections clients may have. They hold up to a third of the descriptors with requests, so servers
// get as many; connections of clients that ask for nothing, which can be closed to make room, take what is left.
func (l Limits) Clients() int {
	if l.Sockets <= 0 {
		return 1 << 20
	}
	return max(1, l.Sockets-reserved-l.Servers())
}

// Servers is how many connections to servers there may be.
func (l Limits) Servers() int {
	if l.Sockets <= 0 {
		return 1 << 20
	}
	return max(1, l.Sockets/3)
}

// Answers is how many bytes of large answers there may be at once: a quarter of the memory. Most of the rest is for requests and
// answers up to 64 KiB, of which there are as many as connections, and for what is garbage.
func (l Limits) Answers() int64 { return int64(l.MemoryMB) << 20 / 4 }

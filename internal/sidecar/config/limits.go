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

// Messages is how many bytes of bodies and answers may be held at once: a quarter of the memory. Most of the rest is for heads
// and what is under 4 KiB, of which there are as many as connections, for pieces of what is passed on, and for garbage.
func (l Limits) Messages() int64 { return int64(l.MemoryMB) << 20 / 4 }

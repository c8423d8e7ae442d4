package placement

// Policy says which mechanisms are in use. Ablations and experiments switch single ones off.
type Policy struct {
	Affinity    bool // requests go where the prefix of their prompt is cached
	PrefixTable bool // as routers reported it; otherwise by rendezvous hashing alone
	ZoneFirst   bool // servers of the router's zone go first
	PeerLoads   bool // the other routers' work counts
	PackStreams bool // long answers are packed on few servers
	// StreamSlotFraction is the fraction of a server's slots that long answers take before another server takes some: the
	// others are for prompts whose prefix is cached there, and for what comes before other routers know of the streams.
	StreamSlotFraction float64
	// StreamDelayFraction is the fraction of the gap target that the prefill of a prompt may take before it costs
	// as much again for each long answer behind it. It is twice the target: a prompt alone makes no gap, and two that
	// coincide do.
	StreamDelayFraction float64
	// RecomputeFactor is how many times its tokens the prefill of a prefix costs that some server has in its cache: it
	// takes that server's time and the space in the other one's cache.
	RecomputeFactor float64
	// SlackTokens is by how much servers' costs may differ and still count as equal: a chunk of a prompt, below which a
	// server does not stop.
	SlackTokens float64
}

// DefaultPolicy returns the policy of routers.
func DefaultPolicy() Policy {
	return Policy{Affinity: true, PrefixTable: true, ZoneFirst: true, PeerLoads: true, PackStreams: true,
		StreamDelayFraction: 2, StreamSlotFraction: 0.6, RecomputeFactor: 12, SlackTokens: 1024}
}

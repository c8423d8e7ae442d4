package placement

// Policy selects the mechanisms in use. Ablations and experiments switch off single ones.
type Policy struct {
	Affinity    bool // a request prefers servers that have the shared prefix of its prompt in their cache
	PrefixTable bool // routers' reports tell which servers these are; otherwise rendezvous hashing alone does
	ZoneFirst   bool // servers of the router's zone are preferred
	PeerLoads   bool // the work of other routers' requests is counted
	PackStreams bool // long answers are packed onto few servers
	// StreamSlotFraction is the fraction of a server's slots that long answers may fill before they go to another server
	// too. The remaining slots are for prompts whose prefix is cached there, and for requests that arrive before other
	// routers know of the long answers.
	StreamSlotFraction float64
	// StreamDelayFraction is the prefill time, as a fraction of the gap target, at which each long answer at a server adds
	// a prompt's prefill once more to the prompt's cost. The default is twice the target: a single prompt causes no gap,
	// but two that coincide do.
	StreamDelayFraction float64
	// RecomputeFactor is the penalty, in multiples of the prefix's tokens, for processing a prefix at a server that does
	// not have it cached although another server does: this takes time and cache space of the first server.
	RecomputeFactor float64
	// SlackTokens is the difference up to which the costs of servers count as equal: one chunk of a prompt, which a server
	// processes without interruption.
	SlackTokens float64
}

// DefaultPolicy returns the policy that routers use.
func DefaultPolicy() Policy {
	return Policy{Affinity: true, PrefixTable: true, ZoneFirst: true, PeerLoads: true, PackStreams: true,
		StreamDelayFraction: 2, StreamSlotFraction: 0.6, RecomputeFactor: 12, SlackTokens: 1024}
}

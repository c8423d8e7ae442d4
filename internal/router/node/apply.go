package node

import (
	"time"

	"petrelhook/internal/router/routetable"
)

// startAlone is how long after its start a sidecar looks for somebody in touch with the core before it serves with what it was told by
// those that are cut off.
const startAlone = 3 * time.Second

// apply puts in force what is newer than what the gateway has.
func (n *Node) apply() {
	if v := n.versions.Version(); v != n.compiled {
		n.compiled = v
		n.gateway.SetTable(routetable.Compile(n.versions.Config(), n.gateway.Table()))
		n.setLimits()
		n.logger.Info().Uint64("version", v).Int64("generation", n.versions.Config().Generation).Msg("configuration in force")
	}
	if n.registry.Stamp() != n.listed {
		n.gateway.UpdateServers(n.registry.ChangedSince(n.listed))
		n.listed = n.registry.Stamp()
		n.logServers()
	}
	if !n.ready.Load() && n.compiled > 0 && n.complete && (n.current || n.now() > startAlone) {
		n.ready.Store(true)
		n.logger.Info().Int("servers", n.registry.Len()).Int("fleet", n.fleet).Msg("ready")
	}
}

// logServers logs how many servers of each service requests may go to, where that is another number than before.
func (n *Node) logServers() {
	for name, count := range n.gateway.ServerCounts() {
		if n.logged[name] != count {
			n.logged[name] = count
			n.logger.Info().Str("service", name).Int("usable", count).Msg("servers")
		}
	}
}

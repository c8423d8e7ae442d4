package node

import (
	"time"

	"petrelhook/internal/router/routetable"
)

// coreSearchTimeout is how long after its start a router looks for a core member in contact with a majority, before it
// serves with what it received from others.
const coreSearchTimeout = 3 * time.Second

// applied is what of the configuration and of the servers the gateway has.
type applied struct {
	configVersion uint64
	registryStamp uint64
	usableServers map[string]int // by service, as logged last
}

func newApplied() applied { return applied{usableServers: map[string]int{}} }

// apply passes to the gateway what is newer than what it has, and makes the router ready once it has all that it needs.
// It is called at the end of every event.
func (n *Node) apply() {
	if version := n.subscription.versions.Version(); version != n.applied.configVersion {
		n.applyConfig(version)
	}
	if n.registry.Stamp() != n.applied.registryStamp {
		n.gateway.UpdateServers(n.registry.ChangedSince(n.applied.registryStamp))
		n.applied.registryStamp = n.registry.Stamp()
		n.logServers()
	}
	if !n.ready.Load() && n.canServe() {
		n.ready.Store(true)
		n.logger.Info().Int("servers", n.registry.Len()).Int("routers", n.fleetSize).Msg("router is ready")
	}
}

func (n *Node) applyConfig(version uint64) {
	n.applied.configVersion = version
	config := n.subscription.versions.Config()
	n.gateway.SetTable(routetable.Compile(config, n.gateway.Table()))
	n.setLimits()
	n.logger.Info().Uint64("version", version).Int64("generation", config.Generation).Msg("configuration applied")
}

// canServe reports whether the router has a configuration and the complete list of servers, from a core member in
// contact with a majority where one could be found.
func (n *Node) canServe() bool {
	return n.applied.configVersion > 0 && n.subscription.serversComplete && (n.subscription.configCurrent || n.now() > coreSearchTimeout)
}

// logServers logs the number of usable servers of each service where it has changed.
func (n *Node) logServers() {
	for service, count := range n.gateway.ServerCounts() {
		if n.applied.usableServers[service] != count {
			n.applied.usableServers[service] = count
			n.logger.Info().Str("service", service).Int("usable", count).Msg("usable servers changed")
		}
	}
}

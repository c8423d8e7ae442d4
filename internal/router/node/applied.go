package node

import (
	"time"

	"petrelhook/internal/router/routetable"
)

// coreSearchTimeout is how long after its start a router looks for a core member in contact with a majority. After that
// it also serves with the configuration and the servers that other core members sent.
const coreSearchTimeout = 3 * time.Second

// applied records which configuration and which servers have been passed to the gateway.
type applied struct {
	configVersion uint64
	registryStamp uint64
	usableServers map[string]int // by service, as last logged
}

func newApplied() applied { return applied{usableServers: map[string]int{}} }

// apply passes newer configurations and changed servers to the gateway, has the ends among the changes written to the disk,
// and makes the router ready once it has all that it needs to serve. It is called at the end of every event.
func (n *Node) apply() {
	if version := n.subscription.versions.Version(); version != n.applied.configVersion {
		n.applyConfig(version)
	}
	if n.registry.Stamp() != n.applied.registryStamp {
		changed := n.registry.ChangedSince(n.applied.registryStamp)
		n.gateway.UpdateServers(changed)
		n.recordEnds(changed, n.now())
		n.applied.registryStamp = n.registry.Stamp()
		n.logServers()
	}
	if !n.ready.Load() && n.canServe() {
		n.ready.Store(true)
		n.logger.Info().Int("servers", n.registry.Len()).Int("routers", n.fleetSize).Msg("router is ready")
	}
}

// applyConfig passes the newest configuration, which has the given version, to the gateway and sets its limits.
func (n *Node) applyConfig(version uint64) {
	n.applied.configVersion = version
	config := n.subscription.versions.Config()
	n.gateway.SetTable(routetable.Compile(config, n.gateway.Table()))
	n.setLimits()
	n.logger.Info().Uint64("version", version).Int64("generation", config.Generation).Msg("configuration applied")
}

// canServe reports whether the router has a configuration and the complete list of servers. Until coreSearchTimeout, a
// core member in contact with a majority must also have confirmed that the configuration is current.
func (n *Node) canServe() bool {
	return n.applied.configVersion > 0 && n.subscription.serversComplete && (n.subscription.configCurrent || n.now() > coreSearchTimeout)
}

// logServers logs the number of usable servers of each service for which it has changed.
func (n *Node) logServers() {
	for service, count := range n.gateway.ServerCounts() {
		if n.applied.usableServers[service] != count {
			n.applied.usableServers[service] = count
			n.logger.Info().Str("service", service).Int("usable", count).Msg("usable servers changed")
		}
	}
}

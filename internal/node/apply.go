package node

import (
	"time"

	"petrelhook/internal/registry"
	"petrelhook/internal/routetable"
)

// apply puts in force what is newer than what the gateway has.
func (n *Node) apply() {
	if v := n.versions.Version(); v != n.compiled {
		n.compiled = v
		n.gateway.SetTable(routetable.Compile(n.versions.Config(), n.gateway.Table()))
		n.setReservoir()
		n.logger.Info().Uint64("version", v).Int64("generation", n.versions.Config().Generation).Msg("configuration in force")
	}
	if (n.registry.Stamp() != n.listed || n.listedTable != n.compiled) && n.now()-n.lastListed >= n.listGap() {
		n.listed, n.listedTable, n.lastListed = n.registry.Stamp(), n.compiled, n.now()
		if t := n.gateway.Table(); t != nil {
			for name := range t.Services() {
				n.setServers(name, n.registry.Usable(name))
			}
		}
	}
	if !n.ready.Load() && n.compiled > 0 && n.complete {
		n.ready.Store(true)
		n.logger.Info().Int("servers", n.registry.Len()).Int("fleet", n.fleet).Msg("ready")
	}
}

// listGap is the least time between two lists of servers for the gateway: a list costs as much as it is long, and many
// servers come at once after an outage.
func (n *Node) listGap() time.Duration {
	return min(listGapMost, time.Duration(n.registry.Len())*listGapEach)
}

func (n *Node) setServers(name string, list []registry.Instance) {
	n.gateway.SetServers(name, list)
	if n.usable[name] != len(list) {
		n.usable[name] = len(list)
		n.logger.Info().Str("service", name).Int("usable", len(list)).Msg("servers")
	}
}

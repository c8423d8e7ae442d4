package node

import (
	"time"

	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/settings"
	"petrelhook/internal/router/storage"
	"petrelhook/internal/router/wireformat"
)

const (
	serversCache = "servers.cache"
	serversEvery = time.Second
)

// loadServers takes the servers that this disk remembers: after all sidecars ended at once they are served until their
// heartbeats come, or do not. That a server is another one by now costs a 421.
func (n *Node) loadServers() {
	text, err := storage.ReadCache(n.settings.DataDir, serversCache)
	if err != nil {
		n.logger.Debug().Err(err).Msg("servers")
		return
	}
	list, err := wireformat.DecodeServers(text)
	if err != nil {
		n.logger.Warn().Err(err).Msg("servers")
		return
	}
	for _, u := range list {
		if u.Lost || u.Instance.State == registry.Deregistered {
			continue
		}
		u.Age += settings.Milliseconds(n.settings.HeartbeatMs) // it was written some time ago; who was heard last stays first
		n.registry.Merge(u, n.now())
		n.cached = true
	}
	n.stored = n.registry.Stamp()
}

// storeServers remembers the servers, now and then.
func (n *Node) storeServers(now time.Duration) {
	if n.registry.Stamp() == n.stored || n.storing.Load() || !n.every.store.due(serversEvery, now) {
		return
	}
	n.stored = n.registry.Stamp()
	text, err := wireformat.EncodeServers(n.registry.UpdatesSince(0, now))
	if err != nil {
		return
	}
	n.storing.Store(true)
	n.writers.Go(func() { // a disk may hang
		defer n.storing.Store(false)
		if err := storage.WriteCache(n.settings.DataDir, serversCache, text); err != nil {
			n.logger.Debug().Err(err).Msg("servers")
		}
	})
}

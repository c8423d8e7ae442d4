package node

import (
	"sync"
	"sync/atomic"
	"time"

	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/settings"
	"petrelhook/internal/router/storage"
	"petrelhook/internal/router/wireformat"
)

const (
	serversCacheFile = "servers.cache"
	// storeServersInterval is the least time between two writes of the file.
	storeServersInterval = time.Second
)

// serversCache is the state of the copy of the registry on the disk of a router that can be a core member. When all
// routers restart at once, they use the servers of this copy until the servers send heartbeats or are lost.
type serversCache struct {
	loaded      bool   // ready servers were read from the disk
	storedStamp uint64 // stamp of the registry last written
	storing     atomic.Bool
	writers     sync.WaitGroup
}

// loadServers adds the servers on the disk to the registry. If another server has taken over an address meanwhile, it
// rejects a request meant for the old one with 421. Servers that were draining or deregistered are loaded as such: without
// them a delayed heartbeat would be taken for that of a new server. Ready servers that were lost are not loaded.
func (n *Node) loadServers() {
	encoded, err := storage.ReadCache(n.settings.DataDir, serversCacheFile)
	if err != nil {
		n.logger.Debug().Err(err).Msg("servers cache not read")
		return
	}
	updates, err := wireformat.DecodeServers(encoded)
	if err != nil {
		n.logger.Warn().Err(err).Msg("servers cache not decoded")
		return
	}
	ready, ended := 0, 0
	for _, u := range updates {
		isReady := u.Instance.State == registry.Ready
		if isReady && u.Lost {
			continue
		}
		// The file was written some time ago. Adding the same time to each age keeps the order of last contacts.
		u.Age += settings.Milliseconds(n.settings.HeartbeatMs)
		n.registry.Merge(u, n.now())
		if isReady {
			ready++
		} else {
			ended++
		}
	}
	n.serversCache.loaded = ready > 0
	n.logger.Info().Int("ready", ready).Int("ended", ended).Msg("servers loaded from the disk")
	n.serversCache.storedStamp = n.registry.Stamp()
}

// storeServers writes the registry to the disk if it has changed. It writes in a goroutine, since a disk may hang, and
// starts no other write before that one has ended. A failed write is not repeated before the next change, because the
// file only saves time after a restart.
func (n *Node) storeServers(now time.Duration) {
	c := &n.serversCache
	if n.registry.Stamp() == c.storedStamp || c.storing.Load() || !n.timers.storeServers.elapsed(storeServersInterval, now) {
		return
	}
	c.storedStamp = n.registry.Stamp()
	encoded, err := wireformat.EncodeServers(n.registry.UpdatesSince(0, now))
	if err != nil {
		n.logger.Debug().Err(err).Msg("servers cache not encoded")
		return
	}
	c.storing.Store(true)
	c.writers.Go(func() {
		defer c.storing.Store(false)
		if err := storage.WriteCache(n.settings.DataDir, serversCacheFile, encoded); err != nil {
			n.logger.Debug().Err(err).Msg("servers cache not written")
		}
	})
}

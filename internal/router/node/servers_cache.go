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
	// storeServersInterval is the time between two writes of the file.
	storeServersInterval = time.Second
)

// serversCache is the copy of the registry on the disk of a router that can be a core member. After all routers ended
// at once, servers are used by it until their heartbeats come, or do not.
type serversCache struct {
	loaded      bool   // servers were read from the disk
	storedStamp uint64 // of the registry on the disk
	storing     atomic.Bool
	writers     sync.WaitGroup
}

// loadServers adds the servers on the disk to the registry. Where another server has one's address by now, a request to
// it costs a 421.
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
	for _, u := range updates {
		if u.Lost || u.Instance.State == registry.Deregistered {
			continue
		}
		u.Age += settings.Milliseconds(n.settings.HeartbeatMs) // it was written some time ago; the order of last contacts stays
		n.registry.Merge(u, n.now())
		n.serversCache.loaded = true
	}
	n.serversCache.storedStamp = n.registry.Stamp()
}

// storeServers writes the registry to the disk where it has changed, in a goroutine, since a disk may hang. The next
// write comes after its end only. One that fails is not repeated before the next change: the file saves time after a
// restart alone.
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

// Package node assembles one router from its settings: the gateway for clients, the control endpoints, and, on a machine
// that can be a core member, a replica of the configuration. It does the I/O: it owns the sockets, the main loop and the
// goroutine that writes to the disk, and it sends messages to other routers. The decisions are made by the pure packages
// that it calls, which have neither a clock nor a network.
//
// A *router* is one process of the fleet, a *core member* a router that the current view names, and a *server* a model
// server. The *home* of a router is the core member that it subscribes to.
//
// One mutex, called the lock in this package, guards the state of this package and of all pure packages. The handler of
// each event acquires it: of a message, a tick, an HTTP call, or the end of a save. Unless a comment says otherwise, an
// unexported method is called with the lock held. No code blocks while it holds the lock. The transport and the gateway
// never call the node from within a call that the node makes to them.
package node

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/common/sock"
	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/gateway"
	"petrelhook/internal/router/membership"
	"petrelhook/internal/router/outlier"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/proximity"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/settings"
	"petrelhook/internal/router/transport"
	"petrelhook/internal/router/wireformat"
)

const (
	// tickInterval is the time between two calls of Node.tick, which does the periodic work.
	tickInterval = 50 * time.Millisecond
	// startupPeriod is how long after its start a router counts as just started. In this period it contacts others more
	// often, and if it becomes primary its token buckets begin with the levels of a restart (quota.NewTokenBuckets).
	startupPeriod = 5 * time.Second
	// pruneInterval is the time between two removals of idle connections to servers.
	pruneInterval = 2 * time.Second
	// forgetInterval is the time between two removals of deregistered and lost servers from the registry, and of tombstones.
	forgetInterval = 5 * time.Second
)

// Node is one router. New creates it, and Run serves until its context ends. The exported methods acquire the lock where
// they need it and may be called from any goroutine.
type Node struct {
	settings *settings.Settings
	logger   *log.Logger
	start    time.Time         // of the service: of the last call of acquire
	self     membership.Router // does not change after createReplica

	limits        clientlimit.Limits
	memory        *clientlimit.Memory // of heads, bodies and buffered responses
	gateway       *gateway.Gateway
	transport     *transport.Transport
	sendBuffers   *sock.SendBuffers       // of connections to clients and servers
	limited       []*clientlimit.Listener // set by serve, before the first of them accepts
	missedTargets lineLimit
	misordered    lineLimit

	ready        atomic.Bool // it has received a configuration and the servers; never reset
	shuttingDown atomic.Bool

	mutex       sync.Mutex // guards all fields below
	seeds       []string   // internal addresses
	lastRequest uint64     // number of the last request; random at first, so that no answer to an earlier incarnation matches
	fleetSize   int        // routers, this one included
	registry    *registry.Registry
	control     controlPlane
	// nearMemoryLimit says that the process was near its memory limit at the last look.
	nearMemoryLimit bool
	loggedClients   ClientCounts // of the last line about refused clients
	subscription    subscription
	distributor     distributor
	drains          map[uint64]*pendingDrain // by request number
	quotas          quotas
	outliers        outliers
	loads           loads
	applied         applied
	serversCache    serversCache
	tombstones      tombstones
	timers          timers
}

// New returns a router that has opened neither its disk nor its sockets; Run opens both.
func New(s *settings.Settings, logger *log.Logger) *Node {
	incarnation := rand.Uint64() | 1
	n := &Node{settings: s, logger: logger, start: time.Now(), seeds: s.SeedAddresses(), registry: registry.New(), fleetSize: 1,
		self: membership.Router{Address: s.InternalAddress(), Zone: s.Zone, Incarnation: incarnation}, drains: map[uint64]*pendingDrain{},
		control: newControlPlane(), distributor: newDistributor(), applied: newApplied()}
	n.limits = clientlimit.Limits{MemoryBytes: int64(s.Limits.MemoryMb) << 20, Descriptors: s.Limits.MaxFds}
	n.memory = clientlimit.NewMemory(n.limits.MessageBytes())
	n.sendBuffers = n.limits.SendBuffers()
	n.lastRequest = rand.Uint64()
	locality := proximity.Locality{Zone: s.Zone, Region: s.Region, RegionOf: s.Zones}
	n.subscription = newSubscription(n.self.Address, locality)
	n.quotas = newQuotas(locality)
	n.loads.board = placement.NewLoadAggregator()
	n.outliers.detector = outlier.NewDetector(usableServers{n})
	n.timers.storeServers.restart(0) // the copy on the disk is recent enough at the start
	n.timers.expireServers.restart(0)
	b := s.Bounds
	n.gateway = gateway.New(gateway.Options{
		Zone:           s.Zone,
		Now:            n.now,
		Incarnation:    incarnation,
		Acquirer:       n,
		OnTargetMissed: n.logMissedTarget,
		OnMisordered:   n.logMisordered,
		PrefixTTL:      settings.Seconds(b.AgainS),
		Memory:         n.memory,
		Connections:    backend.NewConnections(n.limits.ServerConnections(), n.limits.SocketBufferBytes(), n.sendBuffers),
		Retries: quota.RetryBounds{Ratio: b.RetryBudgetRatio, Slack: b.RetryBudgetSlack,
			Window: max(time.Second, settings.Seconds(b.BudgetWindowS))},
	})
	messageMemory := clientlimit.NewMemory(n.limits.PeerMessageBytes())
	messageMemory.AloneLimit = n.limits.AloneMessageBytes() // a configuration that does not fit would never arrive
	n.transport = transport.New(n.self.Address, wireformat.NewCodec(), n.receive, transport.Limits{Connections: n.limits.PeerConnections(),
		MessageBytes: n.limits.MessageBytes(), Memory: messageMemory})
	return n
}

// withLock calls a function with the lock held. It releases the lock also where the function panics, because net/http recovers the panics of
// calls: a lock that stays locked would stop the router.
func (n *Node) withLock(call func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	call()
}

// now returns the time since the start of the service on the monotonic clock. It needs no lock.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// nextRequest returns the number of a new request to another router.
func (n *Node) nextRequest() uint64 {
	n.lastRequest++
	return n.lastRequest
}

// Run serves until the context ends, then shuts down gracefully: it returns when the open requests have ended or the
// grace period is over. For each signal received from reload it reads the settings again with load. Only the seeds take
// effect then; all other settings take effect at the next start. A start waits for conditions of the machine that may pass, and ends
// with the context meanwhile. Run returns an error only if the router cannot start until an operator corrects something.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal, load func(path string) (*settings.Settings, error)) error {
	n.logger.Info().Int("pid", os.Getpid()).Str("address", n.self.Address).Uint64("incarnation", n.self.Incarnation).
		Int("limit_mb", n.settings.Limits.MemoryMb).Msg("router starts")
	opened, err := n.open(ctx)
	if ctx.Err() != nil && opened == nil {
		n.logger.Info().Msg("router ended during its start")
		return nil
	}
	if err != nil {
		return err
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	n.tick()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-reload:
			n.reload(load)
		case <-n.distributor.pushTimer.C:
			n.pushDeferred()
		case <-ticker.C:
			n.tick()
		}
	}
	n.distributor.pushTimer.Stop()
	n.logger.Info().Msg("router shuts down")
	n.gracefulShutdown(opened, ticker)
	n.transport.Close()
	if n.control.disk != nil {
		n.control.disk.close()
	}
	n.logger.Info().Msg("router ended")
	return nil
}

// reload reads the settings again and replaces the seeds by theirs. Invalid settings are logged and change nothing. It
// acquires the lock.
func (n *Node) reload(load func(path string) (*settings.Settings, error)) {
	reloaded, err := load(os.Getenv(settings.PathVariable))
	if err != nil {
		n.logger.Error().Err(err).Msg("settings not reloaded")
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.seeds = reloaded.SeedAddresses()
	n.logger.Info().Strs("seeds", n.seeds).Msg("settings reloaded")
}

// Package node puts one router together from its settings: the clients' side, the control side, and, where the machine
// counts for the core, a replica of the configuration. It is the shell: sockets, loops, the disk's goroutine, and who
// sends what to whom. The decisions are in the pure packages that it calls, which have no clock or network of their
// own.
//
// A *router* is one process of the fleet, a *core member* a router that the current view names, a *server* a model
// server. The *home* of a router is the core member that it subscribes to.
//
// One lock guards the state of all pure packages and of this one. It is acquired by whatever brings an event: a
// message, a tick, an HTTP call, a save that ended. Unless a comment says otherwise, an unexported method is called
// with the lock held. Nothing waits while it holds the lock; the transport and the gateway never call back from within
// a call.
package node

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

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
	// tickInterval is the time between two runs of the work that depends on time alone.
	tickInterval = 50 * time.Millisecond
	// startupPeriod is how long after its start a router counts as just started: it contacts others more often, and as a
	// primary it begins with the token levels of a restart (quota.NewTokenBuckets).
	startupPeriod = 5 * time.Second
	// pruneInterval is the time between two removals of idle connections to servers.
	pruneInterval = 2 * time.Second
	// forgetInterval is the time between two removals of ended servers from the registry.
	forgetInterval = 5 * time.Second
	// bodyMemoryDivisor: the machine's memory, divided by it, is what the bodies of clients' requests may take together.
	bodyMemoryDivisor = 4
)

// Node is one router. Make it by New; Run serves.
type Node struct {
	settings *settings.Settings
	logger   *log.Logger
	start    time.Time
	self     membership.Router // does not change after open

	gateway       *gateway.Gateway
	transport     *transport.Transport
	missedTargets missedTargetLog

	ready  atomic.Bool // it has had a configuration and the servers; this stays
	ending atomic.Bool

	mutex        sync.Mutex // guards all below
	seeds        []string   // internal addresses
	lastRequest  uint64     // number of the last request to others; the first is drawn, so that no answer to an earlier incarnation fits
	fleetSize    int        // routers, this one included
	registry     *registry.Registry
	control      controlPlane
	subscription subscription
	distributor  distributor
	drains       map[uint64]*pendingDrain // by request number
	quotas       quotas
	outliers     outliers
	loads        loads
	applied      applied
	serversCache serversCache
	timers       timers
}

// New returns a router of which nothing is started or opened.
func New(s *settings.Settings, logger *log.Logger) *Node {
	incarnation := rand.Uint64() | 1
	n := &Node{settings: s, logger: logger, start: time.Now(), seeds: s.SeedAddresses(), registry: registry.New(), fleetSize: 1,
		self: membership.Router{Address: s.InternalAddress(), Zone: s.Zone, Incarnation: incarnation}, drains: map[uint64]*pendingDrain{},
		control: newControlPlane(), distributor: newDistributor(), applied: newApplied()}
	n.lastRequest = rand.Uint64()
	locality := proximity.Locality{Zone: s.Zone, Region: s.Region, RegionOf: s.Zones}
	n.subscription = newSubscription(n.self.Address, locality)
	n.quotas = newQuotas(locality)
	n.loads.board = placement.NewLoadBoard()
	n.outliers.detector = outlier.NewDetector(usableServers{n})
	n.timers.storeServers.restart(0) // what is on the disk is good enough, at first
	n.timers.expireServers.restart(0)
	b := s.Bounds
	n.gateway = gateway.New(gateway.Options{
		Zone:           s.Zone,
		Now:            n.now,
		Incarnation:    incarnation,
		Acquirer:       n,
		OnTargetMissed: n.logMissedTarget,
		PrefixTTL:      settings.Seconds(b.AgainS),
		MaxBodyMemory:  int64(s.Limits.MemoryMb) << 20 / bodyMemoryDivisor,
		Retries: quota.RetryBounds{Ratio: b.RetryBudgetRatio, Slack: b.RetryBudgetSlack,
			Window: max(time.Second, settings.Seconds(b.BudgetWindowS))},
	})
	n.transport = transport.New(n.self.Address, wireformat.NewCodec(), n.receive)
	return n
}

// now is the time on the steady clock since the start. It needs no lock.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// nextRequest returns the number of a new request to another router.
func (n *Node) nextRequest() uint64 {
	n.lastRequest++
	return n.lastRequest
}

// Run serves until the context ends, and then until open requests have ended or their time has. On a signal of reload
// it reads the settings again by load; of these the seeds count from then on, all else from the next start. Its error
// is one of the start.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal, load func(path string) (*settings.Settings, error)) error {
	if err := n.open(); err != nil {
		return err
	}
	open, err := n.listen()
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
	n.end(open, ticker)
	n.transport.Close()
	if n.control.disk != nil {
		n.control.disk.close()
	}
	return nil
}

// reload replaces the seeds by those of the settings as they are now; settings that cannot be used change nothing. It
// acquires the lock.
func (n *Node) reload(load func(path string) (*settings.Settings, error)) {
	next, err := load(os.Getenv(settings.Variable))
	if err != nil {
		n.logger.Error().Err(err).Msg("settings not reloaded")
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.seeds = next.SeedAddresses()
	n.logger.Info().Strs("seeds", n.seeds).Msg("settings reloaded")
}

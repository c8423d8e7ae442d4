// Package node puts one router process together from its settings: the clients' side, the control side, and, where the
// machine counts for the core, a replica of the configuration. It holds no decisions of its own beyond who talks to whom;
// those are in the pure packages that it feeds.
package node

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/gateway"
	"petrelhook/internal/router/membership"
	"petrelhook/internal/router/operatorapi"
	"petrelhook/internal/router/outlier"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/settings"
	"petrelhook/internal/router/transport"
	"petrelhook/internal/router/wireformat"
)

// Times of a node's own loops.
const (
	tickEvery      = 50 * time.Millisecond
	sessionEvery   = 400 * time.Millisecond
	seedsEvery     = time.Second            // at which the core tells seeds who it is
	startEvery     = 100 * time.Millisecond // the same while it starts
	homeSilent     = 1200 * time.Millisecond
	startSilent    = 300 * time.Millisecond // the same while it starts
	sessionTimeout = 3 * time.Second
	quotaEvery     = 500 * time.Millisecond
	pruneEvery     = 2 * time.Second
	homeReview     = 5 * time.Second
	forgetEvery    = 5 * time.Second
	silentBeats    = 4.5 // heartbeats that a server may miss
	bodyShare      = 4   // of the machine's memory one part is for clients' bodies
	expireEvery    = 250 * time.Millisecond
	pushGap        = 15 * time.Millisecond  // between two pushes at the least
	pushGapEach    = 500 * time.Microsecond // for each subscriber, where that is more
	resendAfter    = 300 * time.Millisecond
	resendDoubled  = 2                      // times at the most
	resendEach     = 500 * time.Microsecond // for each server that was sent, where that is more
)

// Node is one process.
type Node struct {
	settings *settings.Settings
	logger   *log.Logger
	start    time.Time
	seeds    []string // internal addresses; guarded by the lock
	life     uint64
	self     membership.Router

	gateway   *gateway.Gateway
	transport *transport.Transport
	disk      *diskWriter

	missedLog missedLog

	pushTimer *time.Timer // for what came just after a push; Run waits for it

	ready  atomic.Bool
	ending atomic.Bool

	mutex        sync.Mutex // guards all below
	replica      *replication.Replica
	register     *operatorapi.Register
	registry     *registry.Registry
	sessions     *membership.Sessions
	versions     *dissemination.Versions
	allocator    *quota.Allocator
	tokenBuckets *quota.TokenBuckets
	acquires     map[uint64]chan dissemination.QuotaAcquired
	silentUntil  time.Duration // the primary did not answer
	primaryHeard time.Duration // when it answered last

	poolHost       poolHost
	poolMembership poolMembership

	view     replication.View
	eligible map[string]replication.Member

	home          home
	outliers      outliers
	loads         loads
	subscribers   map[string]*subscriber
	upstream      map[string]upstreamStamp // by address of who pushes
	complete      bool                     // the list of servers is whole
	current       bool                     // the configuration was the core's newest, by the word of one in touch with it
	fleet         int
	answers       map[uint64]chan replication.Decision
	pendingDrains map[uint64]*pendingDrain
	token         uint64 // of the last question; the first is drawn, so that no answer to a process before fits

	compiled     uint64         // version of the gateway's table
	listed       uint64         // stamp of the gateway's servers
	logged       map[string]int // usable servers by service, as logged last
	lastPush     time.Duration
	every        periodics
	pushLater    bool
	touchedSince time.Duration
	cached       bool   // the servers were read from the disk
	stored       uint64 // stamp of the servers on the disk
	storing      atomic.Bool
	writers      sync.WaitGroup // of the servers on the disk
}

// New makes a node; nothing is started or opened.
func New(s *settings.Settings, logger *log.Logger) *Node {
	n := &Node{settings: s, logger: logger, start: time.Now(), seeds: s.SeedAddresses(), life: rand.Uint64() | 1,
		register: operatorapi.NewRegister(), registry: registry.New(), sessions: membership.New(sessionTimeout),
		versions: dissemination.NewVersions(operatorapi.ApplyOrder), eligible: map[string]replication.Member{},
		subscribers: map[string]*subscriber{}, upstream: map[string]upstreamStamp{}, fleet: 1,
		answers: map[uint64]chan replication.Decision{}, pendingDrains: map[uint64]*pendingDrain{}, touchedSince: -1, logged: map[string]int{},
		acquires: map[uint64]chan dissemination.QuotaAcquired{}, poolHost: newPoolHost(), poolMembership: newPoolMembership()}
	n.token = rand.Uint64()
	n.every.store.due(0, 0) // what is on the disk is as good, at first
	n.every.expire.due(0, 0)
	n.pushTimer = time.NewTimer(time.Hour)
	n.pushTimer.Stop()
	n.loads.board = placement.NewLoadBoard()
	n.outliers.detector = outlier.NewDetector(usableServers{n})
	n.self = membership.Router{Address: s.InternalAddress(), Zone: s.Zone, Incarnation: n.life}
	b := s.Bounds
	n.gateway = gateway.New(gateway.Options{Zone: s.Zone, Now: n.now, Incarnation: n.life,
		Acquirer: n, OnObjectiveMissed: n.missed, PrefixTTL: settings.Seconds(b.AgainS), MaxBodyMemory: int64(s.Limits.MemoryMb) << 20 / bodyShare, BudgetRatio: b.RetryBudgetRatio, BudgetSlack: b.RetryBudgetSlack,
		BudgetWindow: max(time.Second, settings.Seconds(b.BudgetWindowS))})
	n.transport = transport.New(n.self.Address, wireformat.NewCodec(), n.receive)
	return n
}

// now is the steady clock since the start.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// Run serves until the context ends, and then until the process may end. When reload tells of it, the settings are read
// again; the seeds count from then on, all else from the next start.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal, load func(path string) (*settings.Settings, error)) error {
	if err := n.open(); err != nil {
		return err
	}
	servers, err := n.listen()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	n.tick()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-reload:
			n.reload(load)
		case <-n.pushTimer.C:
			n.pushWaiting()
		case <-ticker.C:
			n.tick()
		}
	}
	n.pushTimer.Stop()
	n.end(servers, ticker)
	n.transport.Close()
	if n.disk != nil {
		n.disk.close()
	}
	return nil
}

// reload takes the seeds of the settings as they are now; a file that cannot be used changes nothing.
func (n *Node) reload(load func(path string) (*settings.Settings, error)) {
	next, err := load(os.Getenv(settings.Variable))
	if err != nil {
		n.logger.Error().Err(err).Msg("settings are not taken")
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.seeds = next.SeedAddresses()
	n.logger.Info().Strs("seeds", n.seeds).Msg("settings read again")
}

// core reports whether this node is a member of the core, as far as it knows. The lock is held.
func (n *Node) core() bool {
	return n.self.Member != nil && n.view.Member(n.self.Member.ID) != nil
}

func (n *Node) isMember(address string) bool {
	return slices.ContainsFunc(n.view.Members, func(m replication.Member) bool { return m.Address == address })
}

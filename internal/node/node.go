// Package node puts one router process together from its settings: the clients' side, the control side, and, where the
// machine counts for the core, a replica of the configuration. It holds no decisions of its own beyond who talks to whom;
// those are in the pure packages that it feeds.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"petrelhook/internal/dissemination"
	"petrelhook/internal/gateway"
	"petrelhook/internal/membership"
	"petrelhook/internal/operatorapi"
	"petrelhook/internal/quota"
	"petrelhook/internal/registry"
	"petrelhook/internal/replication"
	"petrelhook/internal/settings"
	"petrelhook/internal/storage"
	"petrelhook/internal/transport"
)

// Times of a node's own loops.
const (
	tickEvery      = 50 * time.Millisecond
	sessionEvery   = 400 * time.Millisecond
	seedsEvery     = time.Second            // at which the core tells seeds who it is
	startEvery     = 100 * time.Millisecond // the same until it is ready
	homeSilent     = 1200 * time.Millisecond
	sessionTimeout = 3 * time.Second
	quotaEvery     = 500 * time.Millisecond
	pruneEvery     = 2 * time.Second
	homeReview     = 5 * time.Second
	silentBeats    = 4.5 // heartbeats that a server may miss
	bodyShare      = 4   // of the machine's memory one part is for clients' bodies
	listGapEach    = 400 * time.Microsecond
	listGapMost    = 250 * time.Millisecond
	expireEvery    = 250 * time.Millisecond
	pushGap        = 15 * time.Millisecond
	resendAfter    = 300 * time.Millisecond
)

// Node is one process.
type Node struct {
	settings *settings.Settings
	logger   *log.Logger
	start    time.Time
	seeds    []string // internal addresses; guarded by the lock
	life     uint64
	self     membership.Node

	gateway   *gateway.Gateway
	transport *transport.Transport
	disk      *diskWriter

	ready  atomic.Bool
	ending atomic.Bool

	mutex       sync.Mutex // guards all below
	replica     *replication.Replica
	register    *operatorapi.Register
	registry    *registry.Registry
	sessions    *membership.Sessions
	versions    *dissemination.Versions
	allocator   *quota.Allocator
	reservoir   *quota.Reservoir
	draws       map[uint64]chan dissemination.QuotaDrawn
	silentUntil time.Duration // the reservoir did not answer
	view        replication.View
	eligible    map[string]replication.Member

	home        home
	subscribers map[string]*subscriber
	upstream    map[string]upstreamStamp // by address of who pushes
	complete    bool                     // the list of servers is whole
	fleet       int
	answers     map[uint64]chan replication.Decision
	keeps       map[uint64]*keeping
	token       uint64

	compiled     uint64 // version of the gateway's table
	listed       uint64 // stamp of the gateway's servers
	listedTable  uint64
	usable       map[string]int // servers by service, as logged last
	lastSession  time.Duration
	lastQuota    time.Duration
	lastUses     time.Duration
	lastPrune    time.Duration
	lastPush     time.Duration
	lastExpire   time.Duration
	lastListed   time.Duration
	pushLater    bool
	touchedSince time.Duration
	lastSeeds    time.Duration
	cached       bool   // the servers were read from the disk
	stored       uint64 // stamp of the servers on the disk
	lastStored   time.Duration
	storing      atomic.Bool
	writers      sync.WaitGroup // of the servers on the disk
}

// New makes a node; nothing is started or opened.
func New(s *settings.Settings, logger *log.Logger) *Node {
	n := &Node{settings: s, logger: logger, start: time.Now(), seeds: s.SeedAddresses(), life: rand.Uint64() | 1,
		register: operatorapi.NewRegister(), registry: registry.New(), sessions: membership.New(sessionTimeout),
		versions: dissemination.NewVersions(operatorapi.ApplyOrder), eligible: map[string]replication.Member{},
		subscribers: map[string]*subscriber{}, upstream: map[string]upstreamStamp{}, fleet: 1,
		answers: map[uint64]chan replication.Decision{}, keeps: map[uint64]*keeping{}, touchedSince: -1, usable: map[string]int{},
		draws: map[uint64]chan dissemination.QuotaDrawn{}}
	n.lastSession = -sessionEvery
	n.self = membership.Node{Address: s.InternalAddress(), Zone: s.Zone, Life: n.life}
	b := s.Bounds
	n.gateway = gateway.New(gateway.Options{Zone: s.Zone, Now: n.now,
		Drawer: n, Again: settings.Seconds(b.AgainS), BodyMemory: int64(s.Limits.MemoryMb) << 20 / bodyShare, BudgetRatio: b.RetryBudgetRatio, BudgetSlack: b.RetryBudgetSlack,
		BudgetWindow: max(time.Second, settings.Seconds(b.BudgetWindowS))})
	n.transport = transport.New(n.self.Address, n.receive)
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
		case <-ticker.C:
			n.tick()
		}
	}
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

// open reads the disk, where there is one, and makes the replica.
func (n *Node) open() error {
	s := n.settings
	o := replication.Options{Self: replication.Member{Address: n.self.Address, Zone: s.Zone}, Seeds: s.SeedAddresses(),
		Bootstrap: s.Bootstrap, FaultTolerance: s.FaultTolerance.Machines}
	var kept *replication.Kept
	if s.Core() {
		disk, found, err := storage.Open(s.DataDir, n.self.Address, s.Bootstrap)
		if err != nil {
			return err
		}
		kept = found
		o.Self.ID = kept.ID
		n.self.Member = &o.Self
		n.disk = newDiskWriter(disk, n.saved)
		n.eligible[kept.ID] = o.Self
		n.loadServers()
	} else {
		o.Witness = true
		o.Self.ID = n.self.Address
	}
	var err error
	n.replica, err = replication.New(o, kept, n.register, n.now())
	if err == nil && n.self.Member != nil {
		n.replica.Eligible(*n.self.Member)
	}
	return errors.Wrap(err, "replica")
}

func (n *Node) listen() (*servers, error) {
	internal, err := net.Listen("tcp", n.self.Address)
	if err != nil {
		return nil, errors.Wrap(err, "internal")
	}
	go n.transport.Serve(internal)
	s := &servers{internal: internal}
	for _, one := range []struct {
		address string
		handler http.Handler
		server  **http.Server
	}{
		{n.settings.Listen.Ready, http.HandlerFunc(n.serveReady), &s.ready},
		{n.settings.Listen.Control, n.controlHandler(), &s.control},
		{n.settings.Listen.Front, n.gateway, &s.front},
	} {
		if one.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		server := newServer(one.handler)
		*one.server = server
		go server.Serve(listener)
	}
	return s, nil
}

// core reports whether this node is a member of the core, as far as it knows. The lock is held.
func (n *Node) core() bool {
	return n.self.Member != nil && n.view.Member(n.self.Member.ID) != nil
}

// tick lets time pass.
func (n *Node) tick() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	n.replica.Tick(now)
	n.carryOut()
	if n.core() {
		n.tickCore(now)
	}
	n.tickSessions(now)
	n.tickQuota(now)
	n.tickUses(now)
	if now-n.lastPrune > pruneEvery {
		n.lastPrune = now
		n.gateway.Prune()
	}
	n.apply()
}

func (n *Node) tickCore(now time.Duration) {
	n.sessions.Expire(now)
	n.setFleet(len(n.sessions.Fleet()) + n.selfMissing())
	if !n.replica.InTouch() {
		n.touchedSince = -1
		return
	}
	if n.touchedSince < 0 {
		n.touchedSince = now
	}
	beat := settings.Milliseconds(n.settings.HeartbeatMs)
	n.storeServers(now)
	if now-n.touchedSince > 2*beat {
		n.complete = true // every server that lives has called some control sidecar by now
	}
	if now-n.lastExpire < expireEvery {
		return
	}
	n.lastExpire = now
	if n.registry.Expire(time.Duration(silentBeats*float64(beat)), now) {
		n.pushAll()
	}
}

func (n *Node) selfMissing() int {
	if _, ok := n.sessions.Fleet()[n.self.Address]; ok {
		return 0
	}
	return 1
}

func (n *Node) setFleet(size int) {
	if size > 0 {
		n.fleet = size
		n.gateway.SetFleet(size)
	}
}

// noteView takes in the newest view. A member of the core that is in touch with it has the whole list of servers where its disk
// had one.
func (n *Node) noteView(v replication.View) {
	if n.view.Epoch.Less(v.Epoch) {
		first := n.view.Epoch.Round == 0
		n.view = v
		n.silentUntil = 0
		n.replica.LearnView(v)
		if first {
			n.lastSession = -sessionEvery // the core is known now: it subscribes at once
		}
		n.logger.Info().Uint64("round", v.Epoch.Round).Str("primary", v.PrimaryAddress()).Int("members", len(v.Members)).
			Int("in_sync", len(v.InSync)).Msg("view")
		n.pushAll()
	}
	if !n.complete && n.cached && n.core() && n.replica.InTouch() {
		n.complete = true
		n.pushAll()
	}
	n.noteLead()
}

// carryOut takes in the replica's view, and does what it wants done.
func (n *Node) carryOut() {
	n.noteView(n.replica.View())
	for effects := n.replica.Effects(); len(effects) > 0; effects = n.replica.Effects() {
		for _, one := range effects {
			switch e := one.(type) {
			case replication.Send:
				n.transport.Send(e.To, e.Message)
			case replication.Save:
				n.disk.save(e)
			case replication.Publish:
				n.publish(e)
			case replication.Answer:
				if to := n.answers[e.Token]; to != nil {
					delete(n.answers, e.Token)
					to <- e.Decision
				}
			}
		}
	}
}

// saved is called by the disk's goroutine.
func (n *Node) saved(number uint64, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err != nil {
		n.logger.Warn().Err(err).Msg("disk")
		n.replica.SaveFailed(number, n.now())
	} else {
		n.replica.Saved(number, n.now())
	}
	n.carryOut()
	n.apply()
}

// receive takes in a message of another sidecar.
func (n *Node) receive(from string, body any) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	switch m := body.(type) {
	case replication.Message:
		n.replica.Receive(from, m, now)
		n.carryOut()
		n.noteView(n.replica.View())
	case dissemination.Session:
		n.onSession(from, &m, now)
	case dissemination.Push:
		n.onPush(from, &m, now)
	case dissemination.Used:
		n.onUsed(from, m)
	case dissemination.Beat:
		n.onBeat(from, m, now)
	case dissemination.BeatKept:
		n.kept(m.Request)
	case dissemination.Spread:
		n.onSpread(from, m, now)
	case dissemination.SpreadKept:
		n.onSpreadKept(from, m)
	case dissemination.QuotaAsk:
		n.onQuotaAsk(from, m)
	case dissemination.QuotaGrant:
		n.gateway.QuotaGranted(m.Nonce, m.Shares)
	case dissemination.QuotaDraw:
		n.onQuotaDraw(from, m, now)
	case dissemination.QuotaDrawn:
		n.silentUntil = 0
		if to := n.draws[m.Request]; to != nil {
			delete(n.draws, m.Request)
			to <- m
		}
	}
	n.tickSessions(now)
	n.apply()
}

func (n *Node) isMember(address string) bool {
	return slices.ContainsFunc(n.view.Members, func(m replication.Member) bool { return m.Address == address })
}

package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/monotonic"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/replica/disk"
	"petrelhook/internal/coordination/rpc"
)

const (
	// eventQueueLength bounds the events that are queued for the goroutine that owns the replica, and maxEventBatch those that it
	// processes before one write to the disk.
	eventQueueLength = 4096
	maxEventBatch    = 512

	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Server is one coordinator. The goroutine of Run owns the core; the goroutines of calls pass functions to it by post.
type Server struct {
	config *Config
	log    *slog.Logger
	clock  func() lease.Instant
	disk   *disk.Disk
	core   *replica.Core
	events chan func()
	ended  chan struct{} // closed when Run processes no more events
	fatal  chan error    // receives the first error that ends Run
	peers  map[uint64]*peer

	distribute *distributor
}

// Open opens the coordinator's replica, or creates it if its data folder has none.
func Open(c *Config, log *slog.Logger) (*Server, error) {
	if err := createIfMissing(c, log); err != nil {
		return nil, err
	}
	d, persisted, err := disk.Open(c.Data)
	if err != nil {
		return nil, err
	}
	if d.ID != c.ID {
		err := fmt.Errorf("%s: the folder belongs to replica %d, but the settings have id %d", c.Data, d.ID, c.ID)
		return nil, errors.Join(err, d.Close())
	}
	core, err := replica.New(replica.Options{ID: c.ID, Incarnation: d.Incarnation, Rand: rand.IntN}, persisted)
	if err != nil {
		return nil, errors.Join(err, d.Close())
	}
	s := &Server{config: c, log: log, clock: c.Clock, disk: d, core: core, events: make(chan func(), eventQueueLength), ended: make(chan struct{}),
		peers: map[uint64]*peer{}, fatal: make(chan error, 1)}
	if s.clock == nil {
		s.clock = monotonic.Now
	}
	s.distribute = newDistributor(s)
	return s, nil
}

// createIfMissing creates the disk of a replica that has none: with the initial state of a new group, or empty if the replica
// joins an existing group.
func createIfMissing(c *Config, log *slog.Logger) error {
	if disk.Exists(c.Data) {
		return nil
	}
	initial := &replica.PersistedState{}
	if !c.Join {
		initial = replica.InitialState(c.Replicas, lease.NewState())
	}
	if err := disk.Create(c.Data, c.ID, initial); err != nil {
		return err
	}
	log.Info("new replica", "data", c.Data, "join", c.Join)
	return nil
}

// Run serves on ln until ctx ends, and then returns nil. It returns an error if the replica cannot continue: its disk or listener
// has failed, the group has removed it (replica.ErrRemoved), or the group has recorded another disk for it (replica.ErrLostDisk).
// Run must be called once; when it returns, all goroutines that it started have ended.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	defer func() { _ = s.disk.Close() }() // saved state is synced already
	server := s.httpServer()
	limited, memory := clientlimit.ProcessLimits(s.config.MemoryMb).Limit(server, ln)
	rpc.LimitMemory(server, memory)
	var background sync.WaitGroup
	defer background.Wait()
	background.Go(func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			s.fail(err)
		}
	})
	defer server.Close()
	peers, endPeers := context.WithCancel(context.Background())
	defer endPeers()
	defer close(s.ended)
	background.Go(func() { s.distribute.confirm(peers) })
	return s.loop(ctx, peers, &background)
}

// httpServer returns the HTTP server of the coordinator's calls.
func (s *Server) httpServer() *http.Server {
	mux := http.NewServeMux()
	rpc.Handle(mux, PathRequest, maxRequestBytes, s.handleRequest)
	rpc.Handle(mux, PathStatus, maxRequestBytes, s.handleStatus)
	rpc.Handle(mux, PathStep, MaxMessage+1<<20, s.handleStep)
	rpc.Handle(mux, distribute.PathWatch, distribute.MaxWatchRequest, s.handleWatch)
	rpc.Handle(mux, distribute.PathSummary, maxRequestBytes, s.handleSummary)
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		// The read timeout continues while a call waits for its response, and would end the call. It must be longer than
		// distribute.MaxWatchWait.
		ReadTimeout: snapshotTimeout + 5*time.Second,
		ErrorLog:    slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
}

// loop owns the replica until ctx ends or the replica cannot continue.
func (s *Server) loop(ctx, peers context.Context, background *sync.WaitGroup) error {
	tick := time.NewTicker(s.config.Tick)
	defer tick.Stop()
	watchTick := time.NewTicker(watchTickInterval)
	defer watchTick.Stop()
	isLeader := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-s.fatal:
			return err
		case <-tick.C:
			s.core.Tick(s.clock())
			if err := s.core.RemovedErr(); err != nil {
				return err
			}
		case <-watchTick.C:
			s.distribute.tick()
		case event := <-s.events:
			event()
			s.handleQueuedEvents()
		}
		if err := s.processReady(peers, background); err != nil {
			return err
		}
		s.distribute.applied()
		if status := s.core.Status(); status.IsLeader != isLeader {
			isLeader = status.IsLeader
			s.log.Info("leadership changed", "leads", isLeader, "term", status.Term, "sessions", status.Sessions, "leases", status.Leases)
			s.core.RecordIncarnation(s.config.ID, s.disk.Incarnation)
		}
	}
}

// handleQueuedEvents processes the queued events, up to maxEventBatch, so that they share one write to the disk.
func (s *Server) handleQueuedEvents() {
	for range maxEventBatch {
		select {
		case event := <-s.events:
			event()
		default:
			return
		}
	}
}

// processReady persists what the core returns, then sends its messages, and then has the core answer requests.
func (s *Server) processReady(peers context.Context, background *sync.WaitGroup) error {
	for {
		ready, ok := s.core.Ready()
		if !ok {
			return nil
		}
		if ready.Sync {
			if err := s.disk.Save(ready); err != nil {
				return fmt.Errorf("the disk: %w", err) // the state on the disk is now unknown; a restart reads it again
			}
		}
		for _, m := range ready.Messages {
			s.peer(peers, background, m.GetTo()).send(m)
		}
		snapshot, compact, err := s.core.Advance(ready, s.clock())
		if err != nil {
			return err
		}
		if snapshot != nil {
			if err := s.disk.SaveSnapshot(snapshot, compact); err != nil {
				return fmt.Errorf("the disk: %w", err)
			}
		}
	}
}

// fail ends Run with an error, unless an earlier error already does. It may be called from any goroutine.
func (s *Server) fail(err error) {
	select {
	case s.fatal <- err:
	default:
	}
}

// post queues f for the goroutine that owns the replica. It returns false if that goroutine has ended; a queued f does not run if
// it ends first. post may be called from any goroutine except the owner's.
func (s *Server) post(f func()) bool {
	select {
	case s.events <- f:
		return true
	case <-s.ended:
		return false
	}
}

// errShutdown is the response to calls that are pending when the coordinator shuts down.
var errShutdown = connect.NewError(connect.CodeUnavailable, errors.New("this coordinator is shutting down"))

// await waits for a result from the goroutine that owns the replica. It returns an error if ctx or the server ends first.
func await[T any](ctx context.Context, s *Server, result <-chan T) (out T, err error) {
	select {
	case out = <-result:
		return out, nil
	case <-ctx.Done():
		return out, ctx.Err()
	case <-s.ended:
		return out, errShutdown
	}
}

// addr returns the address of a replica from the settings, or else from the replicated membership. It returns "" for an unknown
// replica. Only the goroutine that owns the replica may call it.
func (s *Server) addr(id uint64) string {
	for _, m := range s.config.Replicas {
		if m.ID == id {
			return m.Addr
		}
	}
	for _, m := range s.core.Members() {
		if m.ID == id {
			return m.Addr
		}
	}
	return ""
}

package machine

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/coordination/subscribe"
)

// Machine is the agent of one machine. Open returns one, and Run must be called once.
type Machine struct {
	config       *Config
	log          *slog.Logger
	store        *release.Store
	data         dataFolder
	lockFile     *os.File // locked while this agent uses the data folder
	startedAt    time.Time
	sidecars     []*managedSidecar
	driver       driverContact
	versions     versionStore
	adminClient  *http.Client        // for probes
	subscription versionSubscription // nil if the settings name no coordinators

	posted     chan func() error // functions for the owner to run; an error ends the agent
	ended      chan struct{}     // closed when the owner runs no more functions
	runContext context.Context   // the context of Run, canceled when Run returns
	background sync.WaitGroup    // probes, checks, the server and the subscription
	checkSlots chan struct{}     // a semaphore that limits concurrent version checks
}

// versionSubscription delivers newer versions of the configuration to the accept function of newSubscription, and reports to the
// coordinators which version each sidecar has in force. It is a *subscribe.Client except in tests.
type versionSubscription interface {
	Run(context.Context)
	Report(distribute.Report)
}

// newSubscription returns the subscription of an agent whose newest stored version is newest, or nil for no subscription. accept
// returns nil once the version is on the disk, or the reason why the version is not accepted.
type newSubscription func(newest distribute.Revision, accept func(distribute.Version) error) versionSubscription

// Open restores the machine from its data folder and from the processes that are still running. It returns an error if another
// agent uses the folder.
func Open(config *Config, log *slog.Logger) (*Machine, error) {
	return open(config, log, func(newest distribute.Revision, accept func(distribute.Version) error) versionSubscription {
		if len(config.Coordinators) == 0 {
			return nil
		}
		return subscribe.New(subscribe.Options{
			Addrs: config.Coordinators, Service: config.Application, Member: config.Member, Revision: newest, Store: accept, Log: log, Dial: config.Host.Dial,
		})
	})
}

func open(config *Config, log *slog.Logger, subscription newSubscription) (*Machine, error) {
	if config.Host == nil {
		config.Host = operatingSystem{}
	}
	lockFile, err := lockFolder(config.Data)
	if err != nil {
		return nil, err
	}
	m := &Machine{
		config: config, log: log, data: dataFolder(config.Data), lockFile: lockFile, startedAt: time.Now(),
		versions:    versionStore{byRevision: map[distribute.Revision]distribute.Version{}},
		adminClient: rpc.NewHTTPClient(rpc.HTTPOptions{Dial: config.Host.Dial, CallTimeout: probeTimeout, DisableKeepAlives: true}),
		posted:      make(chan func() error, 256), ended: make(chan struct{}),
		checkSlots: make(chan struct{}, maxConcurrentChecks),
	}
	if err := m.restore(subscription); err != nil {
		_ = lockFile.Close() // the file is empty
		return nil, err
	}
	return m, nil
}

// lockFolder creates the data folder if necessary and locks it until the returned file is closed.
func lockFolder(dir string) (*os.File, error) {
	if err := os.MkdirAll(filepath.Join(dir, temporaryFolder), 0o700); err != nil {
		return nil, err
	}
	lockFile, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lockFile.Close() // the file is empty
		return nil, fmt.Errorf("%s: locked by another agent: %w", dir, err)
	}
	return lockFile, nil
}

// restore loads the state that an earlier agent persisted.
func (m *Machine) restore(subscription newSubscription) (err error) {
	if m.store, err = release.NewStore(m.config.Releases); err != nil {
		return err
	}
	if err := m.driver.load(m.data); err != nil {
		return err
	}
	if err := m.loadVersions(); err != nil {
		return err
	}
	m.subscription = subscription(m.versions.newest, m.acceptVersion)
	for i := range m.config.Sidecars {
		if err := m.restoreSidecar(&m.config.Sidecars[i]); err != nil {
			return err
		}
	}
	return nil
}

// now returns the time since the agent started, which is the clock of agent.Sidecar.
func (m *Machine) now() time.Duration { return time.Since(m.startedAt) }

// Run serves calls on ln and supervises the sidecars until ctx ends, and then returns nil. It returns an error if the disk or the
// listener fails; after a disk error the state on the disk is unknown, and the agent has to be restarted. When Run returns, all
// goroutines that it started have ended.
func (m *Machine) Run(ctx context.Context, ln net.Listener) error {
	defer func() { _ = m.lockFile.Close() }() // the file is empty; this releases the lock
	defer m.background.Wait()
	defer close(m.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.runContext = ctx
	if m.subscription != nil {
		m.background.Go(func() { m.subscription.Run(ctx) })
	}
	server := m.server()
	limited, memory := clientlimit.ProcessLimits(m.config.MemoryMb).Limit(server, ln)
	rpc.LimitMemory(server, memory)
	serverFailed := make(chan error, 1)
	m.background.Go(func() { serverFailed <- server.Serve(limited) })
	defer func() { _ = server.Close() }() // drivers retry the calls that this interrupts
	ticker := time.NewTicker(m.config.PollInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case err = <-serverFailed:
		case f := <-m.posted:
			err = f()
		case <-ticker.C:
			err = m.tick(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// server returns the HTTP server of the agent's calls.
func (m *Machine) server() *http.Server {
	mux := http.NewServeMux()
	rpc.Handle(mux, PathStatus, maxRequestBytes, m.handleStatus)
	rpc.Handle(mux, PathOrder, maxRequestBytes, m.handleOrder)
	rpc.Handle(mux, PathCheck, maxRequestBytes, m.handleCheck)
	return &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute,
		ErrorLog: slog.NewLogLogger(m.log.Handler(), slog.LevelDebug)}
}

// tick polls all processes.
func (m *Machine) tick(ctx context.Context) error {
	for _, managed := range m.sidecars {
		if err := m.poll(ctx, managed); err != nil {
			return err
		}
	}
	return nil
}

// poll reports processes that have exited to the sidecar, executes the actions that are due, and starts probes of the processes
// that are alive.
func (m *Machine) poll(ctx context.Context, managed *managedSidecar) error {
	var actions []agent.Action
	for _, p := range []*agent.Process{managed.Serving, managed.Next, managed.Terminating} {
		if p == nil || m.config.Host.IsRunning(*p) {
			continue
		}
		lastLine := ""
		if p == managed.Next { // the log of the last start belongs to the next process only
			lastLine = lastLogLine(m.lastStartFile(managed, logFile))
		}
		actions = append(actions, managed.ProcessExited(m.now(), *p, lastLine)...)
	}
	managed.SetIsolated(m.now(), m.now()-m.driver.lastContact >= m.config.ContactTimeout)
	if err := m.execute(managed, append(actions, managed.Tick(m.now())...)); err != nil {
		return err
	}
	for p := range managed.counts {
		if !managed.runs(p) {
			delete(managed.counts, p)
		}
	}
	for _, p := range []*agent.Process{managed.Serving, managed.Next} {
		if p != nil && !managed.probing[*p] {
			managed.probing[*p] = true
			m.background.Go(func() { m.probe(ctx, managed, *p) })
		}
	}
	return nil
}

// post queues f for the goroutine that owns the machine; an error of f ends the agent. It returns false if the agent has ended; a
// queued f does not run if the agent ends first. It may be called from any goroutine except the owner's.
func (m *Machine) post(f func() error) bool {
	select {
	case m.posted <- f:
		return true
	case <-m.ended:
		return false
	}
}

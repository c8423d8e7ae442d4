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

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/coordination/subscribe"
)

// Machine is the agent of one machine. Open makes one, and Run is called once.
type Machine struct {
	config       *Config
	log          *slog.Logger
	store        *release.Store
	data         dataFolder
	lockFile     *os.File // locked while this agent is in charge of the data folder
	startedAt    time.Time
	sidecars     []*managedSidecar
	driver       driverContact
	versions     versionStore
	adminClient  *http.Client        // of probes
	subscription versionSubscription // nil: the settings name no coordinators

	posted     chan func() error // what the owner has to run; an error ends the agent
	ended      chan struct{}     // closed when the owner has ended
	runContext context.Context   // of Run
	background sync.WaitGroup    // probes, checks, the server and the subscription
	checkSlots chan struct{}     // one for each version check that may run at the same time
}

// versionSubscription delivers newer versions of the configuration to the function that it was made with, and reports to the
// coordinators which version each sidecar has in force. *subscribe.Client is one; tests have another.
type versionSubscription interface {
	Run(context.Context)
	Report(distribute.Report)
}

// newSubscription makes the subscription of an agent whose newest version is newest. accept returns once a version is on the disk, or
// an error that says why it is not accepted. It may return nil.
type newSubscription func(newest distribute.Revision, accept func(distribute.Version) error) versionSubscription

// Open restores the machine from its data folder and the processes that still run. It fails if another agent has the folder.
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
		_ = lockFile.Close() // it holds nothing but the lock
		return nil, err
	}
	return m, nil
}

// lockFolder makes the data folder and locks it, for as long as the file stays open.
func lockFolder(dir string) (*os.File, error) {
	if err := os.MkdirAll(filepath.Join(dir, temporaryFolder), 0o700); err != nil {
		return nil, err
	}
	lockFile, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lockFile.Close() // it holds nothing but the lock
		return nil, fmt.Errorf("%s: another agent is in charge of it: %w", dir, err)
	}
	return lockFile, nil
}

// restore reads what an earlier agent left.
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

// now is the time that agent.Sidecar is given.
func (m *Machine) now() time.Duration { return time.Since(m.startedAt) }

// Run serves calls on ln and supervises the sidecars until ctx ends. An error is one of the disk or of the listener; after an error of
// the disk the state on it is unknown, and the agent has to be restarted. Run returns after all that it began has ended.
func (m *Machine) Run(ctx context.Context, ln net.Listener) error {
	defer func() { _ = m.lockFile.Close() }() // it holds nothing but the lock
	defer m.background.Wait()
	defer close(m.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.runContext = ctx
	if m.subscription != nil {
		m.background.Go(func() { m.subscription.Run(ctx) })
	}
	server := m.server()
	serverFailed := make(chan error, 1)
	m.background.Go(func() { serverFailed <- server.Serve(ln) })
	defer func() { _ = server.Close() }() // drivers repeat the calls that this interrupts
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

// poll reports processes that have ended to the sidecar, carries out what it asks for at this time, and probes the processes that are
// alive.
func (m *Machine) poll(ctx context.Context, managed *managedSidecar) error {
	var actions []agent.Action
	for _, p := range []*agent.Process{managed.Serving, managed.Next, managed.Terminating} {
		if p == nil || m.config.Host.Lives(*p) {
			continue
		}
		lastLine := ""
		if p == managed.Next { // only then is the log of the last start its own
			lastLine = lastLogLine(m.lastStartFile(managed, logFile))
		}
		actions = append(actions, managed.ProcessExited(m.now(), *p, lastLine)...)
	}
	managed.SetIsolated(m.now(), m.now()-m.driver.lastContact >= m.config.ContactTimeout)
	if err := m.carryOut(managed, append(actions, managed.Tick(m.now())...)); err != nil {
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

// post has f run by the goroutine that owns the machine; an error of f ends the agent. It returns false if the agent has ended.
func (m *Machine) post(f func() error) bool {
	select {
	case m.posted <- f:
		return true
	case <-m.ended:
		return false
	}
}

// Package simcoordinator runs coordinators in memory, for tests in a testing/synctest bubble: each is some goroutines of the test that run the
// same code as the program but for its command line, on one network and by one clock. Their state is on the real disk.
package simcoordinator

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"petrelhook/internal/coordination/driver"
	"petrelhook/internal/coordination/fleet"
	corelease "petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/rig/coordinator"
	"petrelhook/internal/rig/link"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/rig/process"
	"petrelhook/lease"
)

// Memory is a platform for coordinators in memory.
type Memory struct {
	Network *memnet.Network
	Client  *http.Client // of operators, agents and drivers of the test

	t     testing.TB
	began time.Time // where the clock begins
}

// memoryLatency is the time that a message takes between two processes.
const memoryLatency = 200 * time.Microsecond

// New returns a platform that ends with the test. It is called inside the bubble.
func New(t testing.TB) *Memory {
	n := memnet.New(memoryLatency)
	m := &Memory{Network: n, t: t, began: time.Now(), Client: rpc.NewHTTPClient(rpc.HTTPOptions{Dial: n.Dial, DialTimeout: time.Second})}
	t.Cleanup(m.Client.CloseIdleConnections)
	return m
}

// Clock is the steady clock of leases, which all processes of the platform have.
func (m *Memory) Clock() time.Duration { return time.Since(m.began) }

// LeaseOptions are those of a client of coordinators on the platform. process, if not nil, is the part of the network that the client uses.
func (m *Memory) LeaseOptions(addrs []string, owner string, ttl time.Duration, process *memnet.Process) lease.Options {
	o := lease.Options{Addrs: addrs, Owner: owner, TTL: ttl, Dial: m.Network.Dial, Clock: m.Clock}
	if process != nil {
		o.Dial = process.Dial
	}
	return o
}

// Platform returns the platform for a group.
func (m *Memory) Platform() coordinator.Platform {
	return coordinator.Platform{Client: m.Client, Start: m.Start, NewLink: func() (*link.Link, error) { return link.NewOn(m.Network) }}
}

// Start starts a coordinator on its configuration.
func (m *Memory) Start(configFile string) *process.Process {
	m.t.Helper()
	n := m.Network.NewProcess()
	return process.StartInMemory(m.t, "coordinator "+filepath.Base(configFile), n.Kill, func(ctx context.Context, log io.Writer) error {
		logger := slog.New(slog.NewTextHandler(log, nil))
		err := m.run(ctx, configFile, n, logger)
		if err != nil {
			logger.Error("ended", "err", err) // the program writes the error itself
		}
		return err
	})
}

// run does what petrelhook-coordinator does with a file of settings.
func (m *Memory) run(ctx context.Context, configFile string, n *memnet.Process, log *slog.Logger) error {
	c, err := fleet.ReadConfig(configFile)
	if err != nil {
		return err
	}
	c.Dial, c.Clock = n.Dial, func() corelease.Instant { return corelease.Instant(m.Clock()) }
	server, err := fleet.Open(c, log)
	if err != nil {
		return err
	}
	ln, err := n.Listen(c.Addr())
	if err != nil {
		return err
	}
	if c.Drive {
		defer driver.ForCoordinator(c, log).Start(ctx)()
	}
	log.Info("serving", "id", c.ID, "listen", ln.Addr().String(), "replicas", len(c.Replicas))
	return server.Run(ctx, ln)
}

package deployment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/rig/coordinator"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/rig/process"
	"petrelhook/internal/rig/rehearse"
	"petrelhook/internal/rig/simcoordinator"
	"petrelhook/internal/rig/simhost"
	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/wiring"
)

// simulated is a platform in memory, for a test in a testing/synctest bubble: coordinators, agents and sidecars are goroutines of the test,
// on one network and by one clock. They are the same code as the processes but for the command lines; state is on the real disk.
type simulated struct {
	t      testing.TB
	memory *simcoordinator.Memory
	host   *simhost.Host
}

// Simulate returns a platform in memory. It is called inside a testing/synctest bubble, and all that runs on it ends with the bubble's test.
func Simulate(t testing.TB) Platform {
	memory := simcoordinator.New(t)
	s := &simulated{t: t, memory: memory, host: simhost.New(memory.Network, runProgram, checkProgram)}
	t.Cleanup(s.host.Wait)
	return s
}

func (s *simulated) network() rehearse.Network { return s.memory.Network }

func (s *simulated) reserveAddr() string { return s.memory.Network.ReserveAddr() }

func (s *simulated) lives(p agent.Process) bool { return s.host.IsRunning(p) }

func (s *simulated) signal(p agent.Process, sig syscall.Signal) { s.host.Signal(p, sig) }

func (s *simulated) coordinators() coordinator.Platform { return s.memory.Platform() }

// newLogger returns a logger as the programs have it.
func newLogger(to io.Writer) *slog.Logger { return slog.New(slog.NewTextHandler(to, nil)) }

// agentHost is the machine as one agent uses it: its own connections end with it.
type agentHost struct {
	*simhost.Host
	net *memnet.Process
}

// Dial implements machine.Host.
func (h agentHost) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return h.net.Dial(ctx, network, addr)
}

func (s *simulated) startAgent(configFile string) *process.Process {
	s.t.Helper()
	n := s.memory.Network.NewProcess()
	return process.StartInMemory(s.t, "agent "+filepath.Dir(configFile), n.Kill, func(ctx context.Context, log io.Writer) error {
		return s.runAgent(ctx, configFile, n, newLogger(log))
	})
}

// runAgent does what petrelhook-agent does with a file of settings.
func (s *simulated) runAgent(ctx context.Context, configFile string, n *memnet.Process, log *slog.Logger) error {
	c, err := machine.Read(configFile)
	if err != nil {
		return err
	}
	c.Host = agentHost{s.host, n}
	ln, err := n.Listen(c.Listen)
	if err != nil {
		return err
	}
	m, err := machine.Open(c, log)
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	log.Info("serving", "application", c.Application, "listen", ln.Addr().String(), "sidecars", len(c.Sidecars))
	return m.Run(ctx, ln)
}

// programFile writes what the program does as JSON.
func (s *simulated) programFile(p Program) string {
	s.t.Helper()
	text, err := json.Marshal(p)
	path := filepath.Join(s.t.TempDir(), "program")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return path
}

// readProgram reads the file of a release's program.
func readProgram(path string) (p Program, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &p)
	}
	return p, err
}

// errExit is the end of a program that exits at its start.
var errExit = errors.New("exit status 1")

// runProgram runs the program of a sidecar's process until the process ends.
func runProgram(p *simhost.Process) error {
	program, err := readProgram(p.Program)
	if err != nil {
		return err
	}
	switch {
	case program.ExitsAtStart:
		return errExit
	case program.NeverServes:
		<-p.Stop.Done()
		return nil
	case program.KilledAfter > 0:
		timer := time.AfterFunc(program.KilledAfter, p.Kill)
		defer timer.Stop()
	}
	cfg, err := config.Read(p.Settings)
	if err != nil {
		return err
	}
	if err := cfg.SetAdmin("LB_ADMIN_ADDR", p.AdminAddress); err != nil {
		return err
	}
	env := p.Environment()
	if program.Fault != "" {
		faults := &sidecarFaults{fault: program.Fault, zone: zoneOfSidecar(cfg.Name), discovery: cfg.Discovery}
		env.Dial = faults.dial(env.Dial)
	}
	return wiring.Serve(p.Stop, p.Settings, &cfg, env, p.Reload, newLogger(p.Log()))
}

// checkProgram checks settings as petrelhook --check does.
func checkProgram(program, settings string) error {
	if _, err := readProgram(program); err != nil {
		return fmt.Errorf("%s: it is no program: %w", program, err)
	}
	if _, err := config.Read(settings); err != nil {
		return fmt.Errorf("petrelhook: %w", err)
	}
	return nil
}

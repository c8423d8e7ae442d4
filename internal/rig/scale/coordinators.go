package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/rig/driverlog"
)

// coordinators is the number of coordinators in a run.
const coordinators = 3

// coordinatorGroup is the coordinators of a run, with default settings. Clients reach them directly; they reach one another through
// relays that count the traffic.
type coordinatorGroup struct {
	processes *processGroup
	program   string
	dir       string
	addrs     []string
	files     []string
	replicas  []*child
	relays    [coordinators][coordinators]*relay // by sender, then receiver
	reserved  []int                              // sockets that reserve the addresses
	operator  fleet.Operator
	leader    int
}

// newCoordinatorGroup starts the coordinators, and returns when one leads. With drive they drive rolling changes too, and newGroup returns
// when the leader is the driver.
func newCoordinatorGroup(ctx context.Context, processes *processGroup, program, dir string, drive bool) (_ *coordinatorGroup, err error) {
	g := &coordinatorGroup{processes: processes, program: program, dir: dir}
	defer func() {
		if err != nil {
			g.close()
		}
	}()
	for range coordinators {
		addr, fd, err := reserve()
		if err != nil {
			return nil, err
		}
		g.addrs, g.reserved = append(g.addrs, addr), append(g.reserved, fd)
	}
	for i := range coordinators {
		text := fmt.Sprintf("id: %d\ndata: data%d\ndrive: %v\nreplicas:\n", i+1, i+1, drive)
		for j, addr := range g.addrs {
			if j != i {
				if g.relays[i][j], err = newRelay(addr); err != nil {
					return nil, err
				}
				addr = g.relays[i][j].addr
			}
			text += fmt.Sprintf("  - {id: %d, address: %q}\n", j+1, addr)
		}
		g.files = append(g.files, filepath.Join(dir, fmt.Sprintf("c%d.yaml", i+1)))
		if err := os.WriteFile(g.files[i], []byte(text), 0o600); err != nil {
			return nil, err
		}
		c, err := g.start(i)
		if err != nil {
			return nil, err
		}
		g.replicas = append(g.replicas, c)
	}
	g.operator.Addrs = g.addrs
	if err := g.awaitLeader(ctx); err != nil {
		return nil, err
	}
	if drive {
		return g, g.awaitLeaderDrives(ctx)
	}
	return g, nil
}

// start starts the process of coordinator i.
func (g *coordinatorGroup) start(i int) (*child, error) {
	return g.processes.start(fmt.Sprintf("petrelhook-coordinator-%d", i+1), exec.Command(g.program, "--config", g.files[i]), nil, nil)
}

// close ends the relays and releases the addresses; the processes belong to the process group.
func (g *coordinatorGroup) close() {
	for _, from := range g.relays {
		for _, r := range from {
			if r != nil {
				r.close()
			}
		}
	}
	for _, fd := range g.reserved {
		_ = syscall.Close(fd)
	}
}

// statusTimeout bounds the wait for the status of all coordinators.
const statusTimeout = 2 * time.Second

// status gets the status of each coordinator; nil: it does not answer.
func (g *coordinatorGroup) status(ctx context.Context) (all [coordinators]*fleet.Status) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	for i, addr := range g.addrs {
		all[i], _ = g.operator.Status(ctx, addr)
	}
	return all
}

// currentLeader is the index of the leader that all follow; -1: there is none.
func (g *coordinatorGroup) currentLeader(ctx context.Context) int {
	all := g.status(ctx)
	for i, s := range all {
		followers := 0
		for _, o := range all {
			if o != nil && s != nil && o.Leader == s.ID {
				followers++
			}
		}
		if s != nil && s.IsLeader && followers == len(all) {
			return i
		}
	}
	return -1
}

// awaitLeader waits until all follow one leader.
func (g *coordinatorGroup) awaitLeader(ctx context.Context) error {
	return pollUntil(ctx, "all follow a leader", func() bool { g.leader = g.currentLeader(ctx); return g.leader >= 0 })
}

// memberAddrs are the addresses in the order that members have: a follower, which they try first, the leader, the other follower.
// Most lists of three have a follower first; so has every run. A connection to the first is kept for a while.
func (g *coordinatorGroup) memberAddrs() []string {
	n := len(g.addrs)
	return []string{g.addrs[(g.leader+n-1)%n], g.addrs[g.leader], g.addrs[(g.leader+1)%n]}
}

// knownSidecars is the number of sidecars of a service that have reported to the coordinators.
func (g *coordinatorGroup) knownSidecars(ctx context.Context, service string) int {
	services, _ := g.operator.InForce(ctx, service)
	return services[service].Reported
}

// driver is the index of the coordinator that drives; -1: none. It is read from their logs.
func (g *coordinatorGroup) driver() int {
	var logs []string
	for _, c := range g.replicas {
		logs = append(logs, string(c.stderr()))
	}
	return driverlog.Driver(logs)
}

// awaitLeaderDrives makes the leader the driver, so that the cost of driving is in the same process in every run. Drivers queue for
// a lease: another coordinator that has it is restarted until the leader gets it.
func (g *coordinatorGroup) awaitLeaderDrives(ctx context.Context) error {
	for range 2 * coordinators {
		now := -1
		if err := pollUntil(ctx, "a coordinator drives", func() bool { now = g.driver(); return now >= 0 }); err != nil {
			return err
		}
		if g.leader = g.currentLeader(ctx); g.leader == now {
			return nil
		}
		if err := g.processes.terminate(g.replicas[now]); err != nil {
			return err
		}
		c, err := g.start(now)
		if err != nil {
			return err
		}
		g.replicas[now] = c
		if err := g.awaitLeader(ctx); err != nil {
			return err
		}
	}
	return errors.New("the leader did not become the driver")
}

// peerTraffic is what coordinator i has exchanged with the others, from its point of view.
func (g *coordinatorGroup) peerTraffic(i int) (t traffic) {
	for j := range coordinators {
		if in := g.relays[j][i]; in != nil {
			t = t.plus(in.traffic())
		}
		if out := g.relays[i][j]; out != nil {
			c := out.traffic()
			t = t.plus(traffic{c.Out, c.In, c.MessagesOut, c.MessagesIn, c.Open})
		}
	}
	return t
}

// pollInterval is the interval at which pollUntil calls its function.
const pollInterval = 20 * time.Millisecond

// pollUntil waits until ok returns true. what names the state in the error.
func pollUntil(ctx context.Context, what string, ok func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting until %s: %w", what, context.Cause(ctx))
		case <-ticker.C:
		}
	}
	return nil
}

// reserve is an address of loopback that nobody else is given until the descriptor is closed: a socket is bound to it
// and does not listen, which a process that listens there by name does not mind.
func reserve() (addr string, fd int, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", 0, err
	}
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at syscall.Sockaddr
	if err == nil {
		at, err = syscall.Getsockname(fd)
	}
	if err != nil {
		_ = syscall.Close(fd)
		return "", 0, fmt.Errorf("an address: %w", err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port), fd, nil
}

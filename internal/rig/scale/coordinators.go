package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/rig/driverlog"
)

// coordinators is the number of coordinators in a run.
const coordinators = 3

// coordinatorGroup is the coordinators of a run, with default settings but for the tick. Clients reach them directly; they reach one another through
// relays that count the traffic.
type coordinatorGroup struct {
	processes *processGroup
	program   string
	dir       string
	addrs     []string
	files     []string
	replicas  []*child
	relays    [coordinators][coordinators]*relay // by sender, then receiver
	operator  fleet.Operator
	leader    int // index, when their status was last requested

	releaseAddrs []func() // release the reserved addresses
}

// newCoordinatorGroup starts the coordinators, and returns when one leads. With drive they drive rolling changes too, and it
// returns when the leader is the driver.
func newCoordinatorGroup(ctx context.Context, processes *processGroup, program, dir string, tick time.Duration, drive bool) (_ *coordinatorGroup, err error) {
	g := &coordinatorGroup{processes: processes, program: program, dir: dir}
	defer func() {
		if err != nil {
			g.close()
		}
	}()
	for range coordinators {
		addr, release, err := sock.ReserveAddr()
		if err != nil {
			return nil, err
		}
		g.addrs, g.releaseAddrs = append(g.addrs, addr), append(g.releaseAddrs, release)
	}
	for i := range coordinators {
		text := fmt.Sprintf("id: %d\ndata: data%d\ndrive: %v\n", i+1, i+1, drive)
		if tick > 0 {
			text += fmt.Sprintf("tick: %v\n", tick)
		}
		text += "replicas:\n"
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
	for _, release := range g.releaseAddrs {
		release()
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
		for _, other := range all {
			if other != nil && s != nil && other.Leader == s.ID {
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

// maxDriverRestarts is how many coordinators are restarted until the leader drives. Where sessions are not lost two are enough; on a busy
// machine a session that is lost queues anew.
const maxDriverRestarts = 10 * coordinators

// awaitLeaderDrives makes the leader the driver, so that the cost of driving is in the same process in every run. Drivers queue for
// a lease: another coordinator that has it is restarted until the leader gets it.
func (g *coordinatorGroup) awaitLeaderDrives(ctx context.Context) error {
	for range maxDriverRestarts {
		driver := -1
		if err := pollUntil(ctx, "a coordinator drives", func() bool { driver = g.driver(); return driver >= 0 }); err != nil {
			return err
		}
		if err := g.awaitLeader(ctx); err != nil { // one that has just started may not follow it yet
			return err
		}
		if g.leader == driver {
			return nil
		}
		if err := g.processes.terminate(g.replicas[driver]); err != nil {
			return err
		}
		c, err := g.start(driver)
		if err != nil {
			return err
		}
		g.replicas[driver] = c
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

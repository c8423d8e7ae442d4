package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"petrelhook/internal/coordination/fleet"
)

// coordinators is how many a run has.
const coordinators = 3

// group is the coordinators of a run, with the settings of operators' files: clients reach them directly, they reach
// one another by relays that count.
type group struct {
	family   *family
	program  string
	dir      string
	addrs    []string
	files    []string
	all      []*child
	relays   [coordinators][coordinators]*relay // from, to
	reserved []int                              // sockets that keep the addresses
	operator fleet.Operator
	leader   int
}

// newGroup starts them, and returns when one leads. drive: they drive rolling changes too, and it is the leader that
// drives.
func newGroup(ctx context.Context, f *family, program, dir string, drive bool) (_ *group, err error) {
	g := &group{family: f, program: program, dir: dir}
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
		g.all = append(g.all, c)
	}
	g.operator.Addrs = g.addrs
	if err := g.follow(ctx); err != nil {
		return nil, err
	}
	if drive {
		return g, g.leaderDrives(ctx)
	}
	return g, nil
}

func (g *group) start(i int) (*child, error) {
	return g.family.start(fmt.Sprintf("petrelhook-coordinator-%d", i+1), exec.Command(g.program, "--config", g.files[i]), nil, nil)
}

// close ends the ways between them; the processes are the family's.
func (g *group) close() {
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

// statusWithin is for how long one coordinator is waited for.
const statusWithin = 2 * time.Second

// status asks each for what it knows; nil: it does not say.
func (g *group) status(ctx context.Context) (all [coordinators]*fleet.Status) {
	ctx, cancel := context.WithTimeout(ctx, statusWithin)
	defer cancel()
	for i, addr := range g.addrs {
		all[i], _ = g.operator.Status(ctx, addr)
	}
	return all
}

// leads is who leads, with both others following; -1: nobody.
func (g *group) leads(ctx context.Context) int {
	all := g.status(ctx)
	for i, s := range all {
		follow := 0
		for _, o := range all {
			if o != nil && s != nil && o.Leader == s.ID {
				follow++
			}
		}
		if s != nil && s.IsLeader && follow == len(all) {
			return i
		}
	}
	return -1
}

// follow waits until all follow a leader.
func (g *group) follow(ctx context.Context) error {
	return until(ctx, "all follow a leader", func() bool { g.leader = g.leads(ctx); return g.leader >= 0 })
}

// inOrder is the addresses as members have them: a follower, which they ask first, the leader, the other follower. That is the case
// of most lists, and the same in every run; a connection to the first is kept for a while.
func (g *group) inOrder() []string {
	n := len(g.addrs)
	return []string{g.addrs[(g.leader+n-1)%n], g.addrs[g.leader], g.addrs[(g.leader+1)%n]}
}

// known is how many sidecars of a service the coordinators have heard of.
func (g *group) known(ctx context.Context, service string) int {
	of, _ := g.operator.InForce(ctx, service)
	return of[service].Reported
}

// drives is who drives; -1: nobody. Each says so in its log.
func (g *group) drives() int {
	best, at := uint64(0), -1
	for i, c := range g.all {
		log := string(c.text())
		last := strings.LastIndex(log, "msg=drives token=")
		if last < 0 || strings.LastIndex(log, `msg="drives no more"`) > last {
			continue
		}
		var token uint64
		// without a token it stays 0, which is none
		if _, _ = fmt.Sscanf(log[last:], "msg=drives token=%d", &token); token > best {
			best, at = token, i
		}
	}
	return at
}

// leaderDrives has the leader's process drive: what a driver costs is then in the same process in every run. Drivers
// stand in line for a lease, so that another one that has it is started anew until it is the leader's turn.
func (g *group) leaderDrives(ctx context.Context) error {
	for range 2 * coordinators {
		now := -1
		if err := until(ctx, "a coordinator drives", func() bool { now = g.drives(); return now >= 0 }); err != nil {
			return err
		}
		if g.leader = g.leads(ctx); g.leader == now {
			return nil
		}
		if err := g.family.end(g.all[now]); err != nil {
			return err
		}
		c, err := g.start(now)
		if err != nil {
			return err
		}
		g.all[now] = c
		if err := g.follow(ctx); err != nil {
			return err
		}
	}
	return errors.New("the driver does not come to be the leader")
}

// carried is what has gone between a coordinator and the others, as it has it.
func (g *group) carried(i int) (t traffic) {
	for j := range coordinators {
		if in := g.relays[j][i]; in != nil {
			t = t.plus(in.carried())
		}
		if out := g.relays[i][j]; out != nil {
			c := out.carried()
			t = t.plus(traffic{c.Out, c.In, c.MessagesOut, c.MessagesIn, c.Open})
		}
	}
	return t
}

// lookEvery is how often a state is looked for that nothing announces.
const lookEvery = 20 * time.Millisecond

// until waits for such a state.
func until(ctx context.Context, what string, ok func() bool) error {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("never: %s: %w", what, context.Cause(ctx))
		case <-look.C:
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

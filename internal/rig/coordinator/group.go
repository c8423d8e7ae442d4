package coordinator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/common/await"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/rig/link"
	"petrelhook/internal/rig/process"
)

// Group is a group of coordinator processes. Each is reached through links only: one from each other coordinator, and one from clients.
// A test breaks links and processes. Its methods are called from the test's goroutine, because they end the test where a process does
// not start or a state is not reached within await.Timeout; Call, Addrs and Leader may be called from any.
type Group struct {
	Dir         string // of configurations and data
	Members     []*Member
	ClientLinks []*link.Link // one to each member
	t           testing.TB
	platform    Platform
	operator    *fleet.Operator
}

// Platform is where the coordinators of a group run: the operating system (Processes), or memory (package deployment has one).
type Platform struct {
	// Start starts a coordinator on its configuration. It is called from the test's goroutine.
	Start   func(configFile string) *process.Process
	NewLink func() (*link.Link, error)
	// Client makes the calls of operators and drivers; nil: the default of package http.
	Client *http.Client
}

// Processes is the operating system. program makes the command of a coordinator from its arguments.
func Processes(t testing.TB, program func(args ...string) *exec.Cmd) Platform {
	return Platform{NewLink: link.New, Start: func(configFile string) *process.Process {
		t.Helper()
		return process.Start(t, program("--config", configFile))
	}}
}

// Member is one coordinator of a group.
type Member struct {
	*process.Process
	Index     int
	PeerLinks []*link.Link // from it to each member, by index
	group     *Group
}

// NewGroup starts n coordinators with a tick of 20 ms, which end with the test. program makes the command of a coordinator from its
// arguments.
func NewGroup(t testing.TB, n int, program func(args ...string) *exec.Cmd) *Group {
	t.Helper()
	return NewGroupOn(t, n, "", Processes(t, program))
}

// NewGroupOn is NewGroup on a platform, with further lines in all configuration files.
func NewGroupOn(t testing.TB, n int, lines string, platform Platform) *Group {
	t.Helper()
	g := &Group{Dir: process.DataDir(t), t: t, platform: platform}
	for i := range n {
		g.ClientLinks = append(g.ClientLinks, g.NewLink())
		m := &Member{Index: i, group: g}
		for range n {
			m.PeerLinks = append(m.PeerLinks, g.NewLink())
		}
		g.Members = append(g.Members, m)
	}
	for _, m := range g.Members {
		text := fmt.Sprintf("id: %d\ndata: data%d\nlisten: 127.0.0.1:0\ntick: 20ms\n%sreplicas:\n", m.Index+1, m.Index+1, lines)
		for j := range n {
			addr := m.PeerLinks[j].Addr
			if j == m.Index {
				addr = g.ClientLinks[j].Addr
			}
			text += fmt.Sprintf("  - {id: %d, address: %q}\n", j+1, addr)
		}
		if err := os.WriteFile(g.ConfigFile(m.Index), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		m.Start()
	}
	g.operator = &fleet.Operator{Addrs: g.Addrs(), HTTPClient: platform.Client}
	return g
}

// NewLink makes a link that ends with the test.
func (g *Group) NewLink() *link.Link {
	g.t.Helper()
	l, err := g.platform.NewLink()
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(l.Close)
	return l
}

// ConfigFile is the path of member i's configuration.
func (g *Group) ConfigFile(i int) string { return filepath.Join(g.Dir, fmt.Sprintf("c%d.yaml", i+1)) }

// servingLine is the log line of a coordinator that serves.
var servingLine = regexp.MustCompile(`msg=serving id=\d+ listen=(\S+)`)

// AwaitServing waits until a coordinator serves, and returns the address at which it listens.
func (g *Group) AwaitServing(p *process.Process) (addr string) {
	g.t.Helper()
	var found []string
	await.Eventually(g.t, "the coordinator serves", func() bool {
		found = servingLine.FindStringSubmatch(p.Log.String())
		return found != nil
	})
	return found[1]
}

// Start starts the process on its data as they are, and directs the links to it.
func (m *Member) Start() {
	m.group.t.Helper()
	m.Process = m.group.platform.Start(m.group.ConfigFile(m.Index))
	addr := m.group.AwaitServing(m.Process)
	m.group.ClientLinks[m.Index].SetTarget(addr)
	for _, other := range m.group.Members {
		other.PeerLinks[m.Index].SetTarget(addr)
	}
}

// Partition blocks (or unblocks) messages from the other members to this one (in) and from it to them (out). Clients still reach it.
func (m *Member) Partition(blocked, in, out bool) {
	for j, other := range m.group.Members {
		if j == m.Index {
			continue
		}
		if out {
			m.PeerLinks[j].Block(link.Forward, blocked)
			other.PeerLinks[m.Index].Block(link.Backward, blocked)
		}
		if in {
			m.PeerLinks[j].Block(link.Backward, blocked)
			other.PeerLinks[m.Index].Block(link.Forward, blocked)
		}
	}
}

// KillAll kills all members at once, and starts them again.
func (g *Group) KillAll() {
	g.t.Helper()
	for _, m := range g.Members {
		_ = m.Kill() // one that has ended is waited for next
	}
	for _, m := range g.Members {
		_ = m.Wait()
	}
	for _, m := range g.Members {
		m.Start()
	}
}

// Addrs are the addresses at which clients reach the members.
func (g *Group) Addrs() (all []string) {
	for _, l := range g.ClientLinks {
		all = append(all, l.Addr)
	}
	return all
}

// IsLeader reports whether the coordinator at an address says that it leads.
func IsLeader(addr string) bool { return isLeader(&fleet.Operator{}, addr) }

// leaderTimeout bounds the question whether a coordinator leads.
const leaderTimeout = 200 * time.Millisecond

func isLeader(operator *fleet.Operator, addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), leaderTimeout)
	defer cancel()
	s, err := operator.Status(ctx, addr)
	return err == nil && s.IsLeader
}

// IsLeader reports whether the coordinator at an address says that it leads.
func (g *Group) IsLeader(addr string) bool { return isLeader(g.operator, addr) }

// Leader is the index of the leader; -1: there is none.
func (g *Group) Leader() int {
	for i, addr := range g.Addrs() {
		if g.IsLeader(addr) {
			return i
		}
	}
	return -1
}

// AwaitNewLeader waits until a member other than the previous leader leads (-1: any member).
func (g *Group) AwaitNewLeader(previous int) (leader int) {
	g.t.Helper()
	await.Eventually(g.t, "another member leads", func() bool {
		leader = g.Leader()
		return leader >= 0 && leader != previous
	})
	return leader
}

// Call sends a request to the leader, as an operator does, within 20 s. The error is that of fleet.Operator.Call.
func (g *Group) Call(in fleet.Request) (*fleet.Response, error) {
	ctx, cancel := context.WithTimeout(g.t.Context(), 20*time.Second)
	defer cancel()
	return g.Operator().Call(ctx, in)
}

// Operator returns an operator of the group, which begins with the first member. It may be called from any goroutine.
func (g *Group) Operator() *fleet.Operator { return g.OperatorAt(g.Addrs()) }

// OperatorAt is Operator at other addresses of the members.
func (g *Group) OperatorAt(addrs []string) *fleet.Operator {
	return &fleet.Operator{Addrs: addrs, HTTPClient: g.platform.Client}
}

// NewCaller returns a function that sends a request until the leader answers, 5 ms after each attempt that fails, without a backoff: for
// measurements. It may be called from any goroutine, and panics on an error that no further attempt can change.
func (g *Group) NewCaller() func(fleet.Request) *fleet.Response {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: 64}}
	var current atomic.Int64
	return func(in fleet.Request) *fleet.Response {
		in.Version = fleet.Version
		for {
			i := current.Load()
			res, err := fleet.Client[fleet.Request, fleet.Response](client, g.ClientLinks[i].Addr, fleet.PathRequest).CallUnary(context.Background(), connect.NewRequest(&in))
			if err == nil && res.Msg.Err == "" {
				return res.Msg
			}
			if err != nil && fleet.IsPermanent(err) {
				panic(err)
			}
			current.CompareAndSwap(i, (i+1)%int64(len(g.ClientLinks)))
			time.Sleep(5 * time.Millisecond)
		}
	}
}

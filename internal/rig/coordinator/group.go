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

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/rig/link"
	"petrelhook/internal/rig/process"
)

// Group is coordinators as processes, each reached by links only: one of each other coordinator, and one of clients. A test breaks
// links and processes.
type Group struct {
	Dir         string
	Members     []*Member
	ClientLinks []*link.Link // to each
	t           testing.TB
	program     func(args ...string) *exec.Cmd
}

// Member is one of them.
type Member struct {
	*process.Process
	Index     int
	PeerLinks []*link.Link // from it to each other
	group     *Group
}

// NewGroup starts n coordinators of a program, a heartbeat every 20 ms.
func NewGroup(t testing.TB, n int, program func(args ...string) *exec.Cmd) *Group {
	t.Helper()
	return NewGroupWith(t, n, "", program)
}

// NewGroupWith is one with further lines in all files.
func NewGroupWith(t testing.TB, n int, lines string, program func(args ...string) *exec.Cmd) *Group {
	t.Helper()
	g := &Group{Dir: process.Dir(t), t: t, program: program}
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
	return g
}

// NewLink is a further link.
func (g *Group) NewLink() *link.Link {
	g.t.Helper()
	l, err := link.New()
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(l.Close)
	return l
}

// ConfigFile is the settings of one.
func (g *Group) ConfigFile(i int) string { return filepath.Join(g.Dir, fmt.Sprintf("c%d.yaml", i+1)) }

var servingLine = regexp.MustCompile(`msg=serving id=\d+ listen=(\S+)`)

// AwaitServing waits until a coordinator serves, and gives the address at which it listens.
func (g *Group) AwaitServing(p *process.Process) (addr string) {
	g.t.Helper()
	var found []string
	process.Until(g.t, "it serves", func() bool { found = servingLine.FindStringSubmatch(p.Log.String()); return found != nil })
	return found[1]
}

// Start starts the process, on its disk as it is, and leads the links to it.
func (m *Member) Start() {
	m.group.t.Helper()
	m.Process = process.Start(m.group.t, m.group.program("--config", m.group.ConfigFile(m.Index)))
	addr := m.group.AwaitServing(m.Process)
	m.group.ClientLinks[m.Index].SetTarget(addr)
	for _, other := range m.group.Members {
		other.PeerLinks[m.Index].SetTarget(addr)
	}
}

// Partition holds back, or delivers, what goes from the others to this one (in) and what it sends to them (out); clients still reach it.
func (m *Member) Partition(held, in, out bool) {
	for j, other := range m.group.Members {
		if j == m.Index {
			continue
		}
		if out {
			m.PeerLinks[j].Block(link.Forward, held)
			other.PeerLinks[m.Index].Block(link.Backward, held)
		}
		if in {
			m.PeerLinks[j].Block(link.Backward, held)
			other.PeerLinks[m.Index].Block(link.Forward, held)
		}
	}
}

// KillAll kills all at once, and starts them again.
func (g *Group) KillAll() {
	g.t.Helper()
	for _, m := range g.Members {
		m.Kill()
	}
	for _, m := range g.Members {
		_ = m.Wait()
	}
	for _, m := range g.Members {
		m.Start()
	}
}

// Addrs are where clients reach them.
func (g *Group) Addrs() (all []string) {
	for _, l := range g.ClientLinks {
		all = append(all, l.Addr)
	}
	return all
}

// IsLeader reports whether the coordinator at an address leads, as it says itself.
func IsLeader(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	s, err := (&fleet.Operator{}).Status(ctx, addr)
	return err == nil && s.IsLeader
}

// Leader is who leads; -1: nobody.
func (g *Group) Leader() int {
	for i, addr := range g.Addrs() {
		if IsLeader(addr) {
			return i
		}
	}
	return -1
}

// AwaitNewLeader waits until another than this one leads; -1: anybody.
func (g *Group) AwaitNewLeader(previous int) (leader int) {
	g.t.Helper()
	process.Until(g.t, "another leads", func() bool { leader = g.Leader(); return leader >= 0 && leader != previous })
	return leader
}

// Call asks whoever leads, as an operator.
func (g *Group) Call(in fleet.Request) (*fleet.Response, error) {
	ctx, cancel := context.WithTimeout(g.t.Context(), 20*time.Second)
	defer cancel()
	return (&fleet.Operator{Addrs: g.Addrs()}).Call(ctx, in)
}

// NewCaller asks whoever leads, at once and again until there is an answer, with no other pause: for measurements.
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

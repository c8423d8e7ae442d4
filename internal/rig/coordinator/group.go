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
	Dir     string
	All     []*Member
	Clients []*link.Link // to each
	t       testing.TB
	program func(args ...string) *exec.Cmd
}

// Member is one of them.
type Member struct {
	*process.Process
	I     int
	Links []*link.Link // from it to each other
	g     *Group
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
		g.Clients = append(g.Clients, g.Link())
		m := &Member{I: i, g: g}
		for range n {
			m.Links = append(m.Links, g.Link())
		}
		g.All = append(g.All, m)
	}
	for _, m := range g.All {
		text := fmt.Sprintf("id: %d\ndata: data%d\nlisten: 127.0.0.1:0\ntick: 20ms\n%sreplicas:\n", m.I+1, m.I+1, lines)
		for j := range n {
			addr := m.Links[j].Addr
			if j == m.I {
				addr = g.Clients[j].Addr
			}
			text += fmt.Sprintf("  - {id: %d, address: %q}\n", j+1, addr)
		}
		if err := os.WriteFile(g.File(m.I), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		m.Start()
	}
	return g
}

// Link is a further link.
func (g *Group) Link() *link.Link {
	g.t.Helper()
	l, err := link.New()
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(l.Close)
	return l
}

// File is the settings of one.
func (g *Group) File(i int) string { return filepath.Join(g.Dir, fmt.Sprintf("c%d.yaml", i+1)) }

var serving = regexp.MustCompile(`msg=serving id=\d+ listen=(\S+)`)

// Serves waits until a coordinator serves, and gives the address at which it listens.
func (g *Group) Serves(p *process.Process) (addr string) {
	g.t.Helper()
	var found []string
	process.Until(g.t, "it serves", func() bool { found = serving.FindStringSubmatch(p.Log.String()); return found != nil })
	return found[1]
}

// Start starts the process, on its disk as it is, and leads the links to it.
func (m *Member) Start() {
	m.g.t.Helper()
	m.Process = process.Start(m.g.t, m.g.program("--config", m.g.File(m.I)))
	addr := m.g.Serves(m.Process)
	m.g.Clients[m.I].To(addr)
	for _, other := range m.g.All {
		other.Links[m.I].To(addr)
	}
}

// Cut holds back, or delivers, what goes from the others to this one (in) and what it sends to them (out); clients still reach it.
func (m *Member) Cut(held, in, out bool) {
	for j, other := range m.g.All {
		if j == m.I {
			continue
		}
		if out {
			m.Links[j].Hold(link.Forth, held)
			other.Links[m.I].Hold(link.Back, held)
		}
		if in {
			m.Links[j].Hold(link.Back, held)
			other.Links[m.I].Hold(link.Forth, held)
		}
	}
}

// KillAll kills all at once, and starts them again.
func (g *Group) KillAll() {
	g.t.Helper()
	for _, m := range g.All {
		m.Kill()
	}
	for _, m := range g.All {
		_ = m.Wait()
	}
	for _, m := range g.All {
		m.Start()
	}
}

// Addrs are where clients reach them.
func (g *Group) Addrs() (all []string) {
	for _, l := range g.Clients {
		all = append(all, l.Addr)
	}
	return all
}

// Leads reports whether the coordinator at an address leads, as it says itself.
func Leads(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	s, err := (&fleet.Operator{}).Status(ctx, addr)
	return err == nil && s.IsLeader
}

// Leader is who leads; -1: nobody.
func (g *Group) Leader() int {
	for i, addr := range g.Addrs() {
		if Leads(addr) {
			return i
		}
	}
	return -1
}

// NewLeader waits until another than this one leads; -1: anybody.
func (g *Group) NewLeader(than int) (leader int) {
	g.t.Helper()
	process.Until(g.t, "another leads", func() bool { leader = g.Leader(); return leader >= 0 && leader != than })
	return leader
}

// Ask asks whoever leads, as an operator.
func (g *Group) Ask(in fleet.Request) (*fleet.Response, error) {
	ctx, cancel := context.WithTimeout(g.t.Context(), 20*time.Second)
	defer cancel()
	return (&fleet.Operator{Addrs: g.Addrs()}).Call(ctx, in)
}

// Asker asks whoever leads, at once and again until there is an answer, with no other pause: for measurements.
func (g *Group) Asker() func(fleet.Request) *fleet.Response {
	over := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: 64}}
	var at atomic.Int64
	return func(in fleet.Request) *fleet.Response {
		in.Version = fleet.Version
		for {
			i := at.Load()
			res, err := fleet.Client[fleet.Request, fleet.Response](over, g.Clients[i].Addr, fleet.PathRequest).CallUnary(context.Background(), connect.NewRequest(&in))
			if err == nil && res.Msg.Err == "" {
				return res.Msg
			}
			if err != nil && fleet.IsPermanent(err) {
				panic(err)
			}
			at.CompareAndSwap(i, (i+1)%int64(len(g.Clients)))
			time.Sleep(5 * time.Millisecond)
		}
	}
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/subscribe"
	"petrelhook/internal/rig/coordinator"
)

// receivers are subscribers by the client that agents use, without sidecars.
type receivers struct {
	mu     sync.Mutex
	held   []distribute.Revision
	taken  []int
	wrong  []string
	of     []string // the service of each
	client []*subscribe.Client
}

// receive starts n receivers over some services; each reports what it stores as in force at once.
func receive(t *testing.T, addrs []string, n, services int) *receivers {
	t.Helper()
	r := &receivers{held: make([]distribute.Revision, n), taken: make([]int, n), of: make([]string, n), client: make([]*subscribe.Client, n)}
	ctx, cancel := context.WithCancel(context.Background())
	var sides sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		sides.Wait()
		for _, w := range r.wrong {
			t.Error(w)
		}
	})
	for i := range n {
		r.of[i] = fmt.Sprintf("service-%d", i%services)
		r.client[i] = subscribe.New(subscribe.Options{Addrs: addrs, Service: r.of[i], Member: fmt.Sprintf("m%d", i), Store: func(v distribute.Version) error {
			r.mu.Lock()
			if v.Revision <= r.held[i] || v.Service != r.of[i] || !strings.Contains(string(v.Content), `"`+v.Service+`"`) {
				r.wrong = append(r.wrong, fmt.Sprintf("m%d of %s held %d and took %d of %s: %s", i, r.of[i], r.held[i], v.Revision, v.Service, v.Content))
			}
			r.held[i] = v.Revision
			r.taken[i]++
			r.mu.Unlock()
			r.client[i].Report(distribute.Report{Sidecar: fmt.Sprintf("s%d", i), InForce: v.Revision})
			return nil
		}})
		r.client[i].Report(distribute.Report{Sidecar: fmt.Sprintf("s%d", i)})
		sides.Go(func() { r.client[i].Run(ctx) })
	}
	return r
}

// hold reports whether all receivers of a service hold a revision, or a newer one.
func (r *receivers) hold(service string, revision distribute.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, of := range r.of {
		if of == service && r.held[i] < revision {
			return false
		}
	}
	return true
}

func (r *receivers) sum() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.taken {
		n += one
	}
	return n
}

var operators sync.Map // by group: each goes on from the coordinator that answered last

func operator(g *coordinator.Group) *fleet.Operator {
	o, _ := operators.LoadOrStore(g, &fleet.Operator{Addrs: g.Addrs()})
	return o.(*fleet.Operator)
}

// publish publishes a version that names its service.
func publish(t *testing.T, g *coordinator.Group, service string, n int) distribute.Revision {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), peertest.EventTimeout)
	defer cancel()
	revision, _, err := operator(g).Publish(ctx, service, fmt.Appendf(nil, `{"settings": {"for": %q, "n": %d}}`, service, n), false)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// all waits until all receivers hold what was published last, and the summaries say so.
func (r *receivers) all(t *testing.T, g *coordinator.Group, newest map[string]distribute.Revision) {
	t.Helper()
	for service, revision := range newest {
		peertest.Eventually(t, fmt.Sprintf("all of %s hold %d", service, revision), func() bool { return r.hold(service, revision) })
	}
	o := &fleet.Operator{Addrs: g.Addrs()}
	peertest.Eventually(t, "the sums say so", func() bool {
		of, _ := o.InForce(t.Context(), "")
		for service, revision := range newest {
			if s := of[service]; s.Newest != revision || s.Reported == 0 || s.InForce != s.Reported {
				return false
			}
		}
		return true
	})
}

// A version reaches all agents of its service, and no other; once, however often it is published; and not over one that was
// published meanwhile. A group that has forgotten everything gives revisions above those that agents hold.
func TestPublish(t *testing.T) {
	g := newGroup(t, 3)
	r := receive(t, g.Addrs(), 30, 3)
	newest := map[string]distribute.Revision{}
	for i := range 3 {
		service := fmt.Sprintf("service-%d", i)
		newest[service] = publish(t, g, service, 1)
	}
	r.all(t, g, newest)
	if got := publish(t, g, "service-1", 1); got != newest["service-1"] {
		t.Errorf("the same once more is revision %d, was %d", got, newest["service-1"])
	}
	content := json.RawMessage(`{"settings":{"for":"service-1","n":2}}`)
	response, err := g.Call(fleet.Request{Publish: &distribute.Command{Service: "service-1", After: newest["service-1"] - 1, Content: content}})
	if err != nil || response.Published.Refused == "" {
		t.Errorf("over what was published meanwhile: %v, %+v", err, response)
	}
	for _, bad := range []string{`{`, ``, `{"a": 1} {}`} { // these are not even sent
		if _, _, err := (&fleet.Operator{Addrs: g.Addrs()}).Publish(t.Context(), "service-1", []byte(bad), false); err == nil {
			t.Errorf("accepted: %s", bad)
		}
	}
	for _, bad := range []string{`[1]`, `{"listen": "127.0.0.1:1"}`} {
		if _, err := g.Call(fleet.Request{Publish: &distribute.Command{Service: "service-1", Content: json.RawMessage(bad)}}); err == nil {
			t.Errorf("accepted: %s", bad)
		}
	}
	if n := r.sum(); n != 30 {
		t.Errorf("%d versions were taken, want 30", n)
	}
	for i := range 2 { // two within a moment: an agent that was sent the first one stores the second one too, any other that alone
		newest["service-2"] = publish(t, g, "service-2", 2+i)
	}
	r.all(t, g, newest)

	other := newGroup(t, 1) // as if all disks were lost
	for i, m := range g.Members {
		m.KillAndWait()
		g.ClientLinks[i].SetTarget(other.AwaitServing(other.Members[0].Process))
	}
	o := &fleet.Operator{Addrs: g.Addrs()}
	peertest.Eventually(t, "the new group knows what they hold", func() bool {
		of, _ := o.InForce(t.Context(), "service-2")
		s := of["service-2"]
		return s.Reported == 10 && s.Ahead >= newest["service-2"]
	})
	after := publish(t, g, "service-2", 99)
	if after <= newest["service-2"] {
		t.Errorf("revision %d after a restore, they hold %d", after, newest["service-2"])
	}
	r.all(t, g, map[string]distribute.Revision{"service-2": after})
}

// Coordinators are killed, stopped and continued, partitioned in one direction and the other, the leader as well as followers, and
// all of them: versions that are published meanwhile or next reach all agents, and none stores an older one.
func TestVersionsReachAgentsDespiteCoordinatorFaults(t *testing.T) {
	g := newGroup(t, 3)
	const services = 12
	r := receive(t, g.Addrs(), 5*services, services)
	n, newest := 0, map[string]distribute.Revision{}
	all := func(what string) {
		t.Helper()
		for i := range services {
			n++
			service := fmt.Sprintf("service-%d", i)
			newest[service] = publish(t, g, service, n)
		}
		r.all(t, g, newest)
		t.Log("reached all: ", what)
	}
	all("nothing fails")
	follower := func() *coordinator.Member { return g.Members[(g.AwaitNewLeader(-1)+1)%3] }

	leader := g.AwaitNewLeader(-1)
	g.Members[leader].KillAndWait()
	all("the leader is killed")
	g.Members[leader].Start()

	for _, cut := range []struct {
		what    string
		in, out bool
	}{{"no message reaches a follower", true, false}, {"no message of a follower arrives", false, true}} {
		m := follower()
		m.Partition(true, cut.in, cut.out)
		all(cut.what)
		m.Partition(false, cut.in, cut.out)
		all("and is back")
	}

	m := follower()
	m.Pause()
	all("a follower is stopped")
	m.Resume()
	all("and goes on")

	leader = g.AwaitNewLeader(-1)
	g.Members[leader].Pause()
	g.AwaitNewLeader(leader)
	all("the leader is stopped")
	g.Members[leader].Resume() // it may believe that it leads, for a moment
	all("and goes on")

	for _, m := range g.Members {
		m.KillAndWait()
	}
	for _, m := range g.Members {
		m.Start()
	}
	all("all were away")
}

// An agent that sends its request and reads nothing, or sends half a request, costs the others nothing.
func TestAgentsThatDoNotRead(t *testing.T) {
	g := newGroup(t, 1)
	ask := `{"version":1,"service":"service-0","member":"slow%d","holds":0,"hold_ns":30000000000}`
	for i := range 100 {
		c, err := net.Dial("tcp", g.ClientLinks[0].Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		body := fmt.Sprintf(ask, i)
		if i%2 == 1 {
			body = body[:len(body)/2]
		}
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nConnect-Protocol-Version: 1\r\nContent-Length: %d\r\n\r\n%s",
			distribute.PathWatch, len(fmt.Sprintf(ask, i)), body)
	}
	r := receive(t, g.Addrs(), 10, 1)
	large := strings.Repeat("x", 60<<10)
	o := &fleet.Operator{Addrs: g.Addrs()}
	for i := range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), peertest.EventTimeout)
		revision, _, err := o.Publish(ctx, "service-0", fmt.Appendf(nil, `{"settings": {"for": "service-0", "n": %d, "large": %q}}`, i, large), false)
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		r.all(t, g, map[string]distribute.Revision{"service-0": revision})
	}
}

// A coordinator without a leader answers no watch but with an error that says so.
func TestACoordinatorWithoutALeaderAnswersNoWatch(t *testing.T) {
	g := newGroup(t, 3)
	newest := publish(t, g, "service-0", 1)
	m := g.Members[(g.AwaitNewLeader(-1)+1)%3]
	addr := g.ClientLinks[m.Index].Addr
	ask := func() (*distribute.WatchResponse, error) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return watchAt(ctx, addr, distribute.Watch{Version: distribute.WireVersion, Service: "service-0", Member: "m"})
	}
	peertest.Eventually(t, "it answers watches", func() bool {
		response, err := ask()
		return err == nil && response.Newer != nil && response.Newer.Revision == newest
	})
	m.Partition(true, false, true) // the leader still reaches it; it does not reach the leader
	peertest.Eventually(t, "it answers no watch", func() bool {
		_, err := ask()
		return err != nil && strings.Contains(err.Error(), distribute.ErrStale.Error())
	})
	m.Partition(false, false, true)
	peertest.Eventually(t, "it answers watches again", func() bool { _, err := ask(); return err == nil })
}

func watchAt(ctx context.Context, addr string, w distribute.Watch) (*distribute.WatchResponse, error) {
	res, err := fleet.Client[distribute.Watch, distribute.WatchResponse](http.DefaultClient, addr, distribute.PathWatch).CallUnary(ctx, connect.NewRequest(&w))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

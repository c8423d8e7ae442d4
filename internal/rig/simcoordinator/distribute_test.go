package simcoordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/common/await"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/rig/coordinator"
)

// A version reaches all agents of its service, and no other; once, however often it is published; and not over one that was
// published meanwhile. A group that has forgotten everything gives revisions above those that agents hold.
func TestPublish(t *testing.T) { simulate(t, testPublish) }

func testPublish(t *testing.T) {
	g := newGroup(t, 3)
	r := coordinator.StartReceivers(t, g.Group, g.memory.Network.Dial, 30, 3)
	newest := map[string]distribute.Revision{}
	for i := range 3 {
		service := fmt.Sprintf("service-%d", i)
		newest[service] = g.PublishNumbered(service, 1)
	}
	r.AwaitAll(newest)
	if got := g.PublishNumbered("service-1", 1); got != newest["service-1"] {
		t.Errorf("the same once more is revision %d, was %d", got, newest["service-1"])
	}
	content := json.RawMessage(`{"settings":{"for":"service-1","n":2}}`)
	response, err := g.Call(fleet.Request{Publish: &distribute.Command{Service: "service-1", After: newest["service-1"] - 1, Content: content}})
	if err != nil || response.Published.Refused == "" {
		t.Errorf("over what was published meanwhile: %v, %+v", err, response)
	}
	for _, bad := range []string{`{`, ``, `{"a": 1} {}`} { // these are not even sent
		if _, _, err := g.Operator().Publish(t.Context(), "service-1", []byte(bad), false); err == nil {
			t.Errorf("accepted: %s", bad)
		}
	}
	for _, bad := range []string{`[1]`, `{"listen": "127.0.0.1:1"}`} {
		if _, err := g.Call(fleet.Request{Publish: &distribute.Command{Service: "service-1", Content: json.RawMessage(bad)}}); err == nil {
			t.Errorf("accepted: %s", bad)
		}
	}
	if n := r.Stored(); n != 30 {
		t.Errorf("%d versions were taken, want 30", n)
	}
	for i := range 2 { // two within a moment: an agent that was sent the first one stores the second one too, any other that alone
		newest["service-2"] = g.PublishNumbered("service-2", 2+i)
	}
	r.AwaitAll(newest)

	other := &world{coordinator.NewGroupOn(t, 1, "", g.memory.Platform()), t, g.memory} // as if all disks were lost
	for i, m := range g.Members {
		m.KillAndWait()
		g.ClientLinks[i].SetTarget(other.AwaitServing(other.Members[0].Process))
	}
	o := g.Operator()
	await.Eventually(t, "the new group knows what they hold", func() bool {
		of, _ := o.InForce(t.Context(), "service-2")
		s := of["service-2"]
		return s.Reported == 10 && s.Ahead >= newest["service-2"]
	})
	after := g.PublishNumbered("service-2", 99)
	if after <= newest["service-2"] {
		t.Errorf("revision %d after a restore, they hold %d", after, newest["service-2"])
	}
	r.AwaitAll(map[string]distribute.Revision{"service-2": after})
}

// Coordinators are killed, partitioned in one direction and the other, the leader as well as followers, and
// all of them: versions that are published meanwhile or next reach all agents, and none stores an older one.
func TestVersionsReachAgentsDespiteCoordinatorFaults(t *testing.T) {
	simulate(t, testVersionsReachAgentsDespiteCoordinatorFaults)
}

func testVersionsReachAgentsDespiteCoordinatorFaults(t *testing.T) {
	g := newGroup(t, 3)
	const services = 12
	r := coordinator.StartReceivers(t, g.Group, g.memory.Network.Dial, 5*services, services)
	n, newest := 0, map[string]distribute.Revision{}
	all := func(what string) {
		t.Helper()
		for i := range services {
			n++
			service := fmt.Sprintf("service-%d", i)
			newest[service] = g.PublishNumbered(service, n)
		}
		r.AwaitAll(newest)
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

	for _, m := range g.Members {
		m.KillAndWait()
	}
	for _, m := range g.Members {
		m.Start()
	}
	all("all were away")
}

// An agent that sends its request and reads nothing, or sends half a request, costs the others nothing.
func TestAgentsThatDoNotRead(t *testing.T) { simulate(t, testAgentsThatDoNotRead) }

func testAgentsThatDoNotRead(t *testing.T) {
	g := newGroup(t, 1)
	ask := `{"version":1,"service":"service-0","member":"slow%d","holds":0,"hold_ns":30000000000}`
	for i := range 100 {
		c, err := g.memory.Network.Dial(t.Context(), "tcp", g.ClientLinks[0].Addr)
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
	r := coordinator.StartReceivers(t, g.Group, g.memory.Network.Dial, 10, 1)
	large := strings.Repeat("x", 60<<10)
	o := g.Operator()
	for i := range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), await.Timeout)
		revision, _, err := o.Publish(ctx, "service-0", fmt.Appendf(nil, `{"settings": {"for": "service-0", "n": %d, "large": %q}}`, i, large), false)
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		r.AwaitAll(map[string]distribute.Revision{"service-0": revision})
	}
}

// A coordinator without a leader answers no watch but with an error that says so.
func TestACoordinatorWithoutALeaderAnswersNoWatch(t *testing.T) {
	simulate(t, testACoordinatorWithoutALeaderAnswersNoWatch)
}

func testACoordinatorWithoutALeaderAnswersNoWatch(t *testing.T) {
	g := newGroup(t, 3)
	newest := g.PublishNumbered("service-0", 1)
	m := g.Members[(g.AwaitNewLeader(-1)+1)%3]
	addr := g.ClientLinks[m.Index].Addr
	ask := func() (*distribute.WatchResponse, error) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return g.watchAt(ctx, addr, distribute.Watch{Version: distribute.WireVersion, Service: "service-0", Member: "m"})
	}
	await.Eventually(t, "it answers watches", func() bool {
		response, err := ask()
		return err == nil && response.Newer != nil && response.Newer.Revision == newest
	})
	m.Partition(true, false, true) // the leader still reaches it; it does not reach the leader
	await.Eventually(t, "it answers no watch", func() bool {
		_, err := ask()
		return err != nil && strings.Contains(err.Error(), distribute.ErrStale.Error())
	})
	m.Partition(false, false, true)
	await.Eventually(t, "it answers watches again", func() bool { _, err := ask(); return err == nil })
}

func (w *world) watchAt(ctx context.Context, addr string, in distribute.Watch) (*distribute.WatchResponse, error) {
	res, err := fleet.Client[distribute.Watch, distribute.WatchResponse](w.memory.Client, addr, distribute.PathWatch).CallUnary(ctx, connect.NewRequest(&in))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// Subscribers that wait have one connection each, and a few a second one for their reports.
func TestConnectionsOfSubscribers(t *testing.T) { simulate(t, testConnectionsOfSubscribers) }

func testConnectionsOfSubscribers(t *testing.T) {
	g := newGroup(t, 3)
	const subscribers = 206
	r := coordinator.StartReceivers(t, g.Group, g.memory.Network.Dial, subscribers, 2)
	r.AwaitAll(map[string]distribute.Revision{"service-0": g.PublishNumbered("service-0", 1), "service-1": g.PublishNumbered("service-1", 1)})
	<-time.After(20 * time.Second) // each watch was pending several times
	connections := 0
	for _, l := range g.ClientLinks {
		connections += l.Open()
	}
	if connections < subscribers || connections > subscribers*16/10 {
		t.Errorf("%d connections of %d subscribers", connections, subscribers)
	}
	t.Logf("%d connections of %d subscribers", connections, subscribers)
}

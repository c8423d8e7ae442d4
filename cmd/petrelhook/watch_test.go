package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"petrelhook/internal/common/peertest"
)

// watchedDiscovery is a discovery that lists one of several servers at a time. Each server answers with its name.
type watchedDiscovery struct {
	*peertest.Discovery
	f          *fleet
	names      []string
	instances  []string // as discovery sends them
	generation int
	requests   int // sent to the sidecar so far
}

// newWatchedDiscovery starts servers and a discovery that lists the first of them, and makes the fleet's sidecars watch it.
func newWatchedDiscovery(t *testing.T, f *fleet, names ...string) *watchedDiscovery {
	t.Helper()
	d := &watchedDiscovery{f: f, names: names, generation: 1}
	for _, name := range names {
		server := peertest.NewPeer(t, peertest.RespondWith(strings.Replace(peertest.OKResponse, "hi", name, 1)))
		d.instances = append(d.instances, peertest.Instance(name, server.Addr, "up"))
	}
	var addr string
	d.Discovery, addr = peertest.NewDiscovery(t, peertest.Catalog(d.generation, true, d.instances[0]))
	f.config = strings.Replace(f.config, `"discovery":"`, `"discovery":"`+addr+`","x":"`, 1)
	return d
}

// publishOnly publishes a list with a single server, and returns the server's name.
func (d *watchedDiscovery) publishOnly(server int) (name string) {
	d.generation++
	d.Publish(peertest.Catalog(d.generation, true, d.instances[server]))
	return d.names[server]
}

// waitServedBy sends requests on a connection until the server of this name answers.
func (d *watchedDiscovery) waitServedBy(conn net.Conn, in *bufio.Reader, name string) {
	d.f.t.Helper()
	peertest.Eventually(d.f.t, "it serves by "+name, func() bool {
		d.requests++
		io.WriteString(conn, requestKinds[0](fmt.Sprint("w", d.requests)))
		_, body := peertest.ReadResponse(d.f.t, in)
		return body == name
	})
}

// waitOneSubscriber waits until discovery has exactly one watch.
func (d *watchedDiscovery) waitOneSubscriber(what string) {
	d.f.t.Helper()
	peertest.Eventually(d.f.t, what, func() bool { return d.Subscribers() == 1 })
}

// During an upgrade the two processes share one watch of discovery, and both get its updates. The first process gets updates even while its
// successor is stopped, and opens its own watch when the successor dies.
func TestOneWatchOfDiscovery(t *testing.T) {
	f := newFleet(t, peertest.Settings)
	d := newWatchedDiscovery(t, f, "s1", "s2", "s3", "s4")
	first := f.start()
	conn, in := peertest.Dial(t, f.listen) // to the first process, which keeps it
	d.waitServedBy(conn, in, "s1")

	second := f.start()
	peertest.Eventually(t, "one watch, of the second", func() bool { // the second announces that it serves before its watch is open
		return d.Calls() >= 2 && d.Subscribers() == 1 && first.Log.Has("handing over")
	})
	callsBefore := d.Calls()
	d.waitServedBy(conn, in, d.publishOnly(1)) // relayed by the second
	if d.Subscribers() != 1 || d.Calls() != callsBefore {
		t.Errorf("%d watches, %d calls", d.Subscribers(), d.Calls()-callsBefore)
	}

	second.Pause()
	d.waitServedBy(conn, in, d.publishOnly(2))
	second.Resume()
	d.waitServedBy(conn, in, d.publishOnly(3))

	second.Kill()
	second.Wait()
	d.waitOneSubscriber("its own watch")
	d.waitServedBy(conn, in, d.publishOnly(1))

	third := f.start()
	first.end()
	d.waitOneSubscriber("the third watches")
	conn, in = peertest.Dial(t, f.listen)
	d.waitServedBy(conn, in, d.publishOnly(2))
	third.end()
}

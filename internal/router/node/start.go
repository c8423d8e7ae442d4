package node

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/storage"
)

// openReplica reads the persisted state, if this router has a disk, and creates the replica. Run calls it without the
// lock, before any other goroutine of the node runs.
func (n *Node) openReplica() error {
	s := n.settings
	options := replication.Options{Self: replication.Member{Address: n.self.Address, Zone: s.Zone}, Seeds: s.SeedAddresses(),
		Bootstrap: s.Bootstrap, FaultTolerance: s.FaultTolerance.Machines}
	var persisted *replication.PersistedState
	if s.CanJoinCore() {
		disk, found, err := storage.Open(s.DataDir, n.self.Address, s.Bootstrap)
		if err != nil {
			return err
		}
		persisted = found
		options.Self.ID = persisted.ID
		n.self.Member = &options.Self
		n.control.disk = newDiskWriter(disk, n.saved)
		n.control.eligible[persisted.ID] = options.Self
		if err := n.openTombstones(); err != nil {
			return err
		}
		n.loadServers()
	} else {
		options.Diskless = true
		options.Self.ID = n.self.Address
	}
	var err error
	n.control.replica, err = replication.New(options, persisted, n.control.register, n.now())
	if err == nil && n.self.Member != nil {
		n.control.replica.AddEligible(*n.self.Member)
	}
	return errors.Wrap(err, "create the replica")
}

// listen opens the addresses of the settings and serves each in a goroutine that ends when its listener is closed.
func (n *Node) listen() (*listeners, error) {
	internal, err := net.Listen("tcp", n.self.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for other routers")
	}
	go func() { _ = n.transport.Serve(internal) }() // returns when gracefulShutdown closes the listener
	opened := &listeners{internal: internal}
	for _, endpoint := range []struct {
		callers string
		address string
		handler http.Handler
		server  **http.Server
	}{
		{"the platform", n.settings.Listen.Ready, http.HandlerFunc(n.serveReady), &opened.ready},
		{"model servers and operators", n.settings.Listen.Control, n.controlHandler(), &opened.control},
		{"clients", n.settings.Listen.Front, n.gateway, &opened.front},
	} {
		if endpoint.address == "" {
			continue
		}
		if *endpoint.server, err = n.serve(endpoint.address, endpoint.handler); err != nil {
			return nil, errors.Wrapf(err, "listen for %s", endpoint.callers)
		}
	}
	return opened, nil
}

// serve listens on an address and starts an HTTP server for it in a goroutine, which ends when the server is closed.
func (n *Node) serve(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := n.newHTTPServer(handler)
	go func() { _ = server.Serve(listener) }() // returns when gracefulShutdown closes the server
	return server, nil
}

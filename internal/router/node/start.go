package node

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/storage"
)

// open reads the disk, where there is one, and makes the replica.
func (n *Node) open() error {
	s := n.settings
	o := replication.Options{Self: replication.Member{Address: n.self.Address, Zone: s.Zone}, Seeds: s.SeedAddresses(),
		Bootstrap: s.Bootstrap, FaultTolerance: s.FaultTolerance.Machines}
	var kept *replication.PersistedState
	if s.Core() {
		disk, found, err := storage.Open(s.DataDir, n.self.Address, s.Bootstrap)
		if err != nil {
			return err
		}
		kept = found
		o.Self.ID = kept.ID
		n.self.Member = &o.Self
		n.disk = newDiskWriter(disk, n.saved)
		n.eligible[kept.ID] = o.Self
		n.loadServers()
	} else {
		o.Witness = true
		o.Self.ID = n.self.Address
	}
	var err error
	n.replica, err = replication.New(o, kept, n.register, n.now())
	if err == nil && n.self.Member != nil {
		n.replica.AddEligible(*n.self.Member)
	}
	return errors.Wrap(err, "replica")
}

func (n *Node) listen() (*servers, error) {
	internal, err := net.Listen("tcp", n.self.Address)
	if err != nil {
		return nil, errors.Wrap(err, "internal")
	}
	go n.transport.Serve(internal)
	s := &servers{internal: internal}
	for _, one := range []struct {
		address string
		handler http.Handler
		server  **http.Server
	}{
		{n.settings.Listen.Ready, http.HandlerFunc(n.serveReady), &s.ready},
		{n.settings.Listen.Control, n.controlHandler(), &s.control},
		{n.settings.Listen.Front, n.gateway, &s.front},
	} {
		if one.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		server := newServer(one.handler)
		*one.server = server
		go server.Serve(listener)
	}
	return s, nil
}

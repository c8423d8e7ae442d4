package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/common/sock"
	"petrelhook/internal/common/startup"
	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/storage"
)

// resources is what a router needs of its machine.
type resources struct {
	disk      *storage.Disk // nil without a DataDir
	persisted *replication.PersistedState
	endpoints []boundEndpoint
}

// open acquires the resources of this router, creates the replica and serves the endpoints. It waits for conditions of the machine
// that may pass, and returns an error for any other and when the context ends. Meanwhile this router has neither the disk nor an
// address: connections are refused, so that callers go elsewhere at once. Run calls it without the lock, before any other goroutine
// of the node runs.
func (n *Node) open(ctx context.Context) (*listeners, error) {
	var r resources
	err := startup.Retry(ctx, passes, n.logWait, func() (err error) {
		r, err = n.acquire()
		return err
	})
	if err != nil {
		return nil, err
	}
	if err := n.createReplica(r); err != nil {
		return nil, err
	}
	return n.serve(r.endpoints), nil
}

// acquire opens the disk, binds the addresses and reads the tombstones. After an error it has released everything, and may be called
// again. The node's clock starts with the call, because it says how long the router has been serving.
func (n *Node) acquire() (r resources, err error) {
	n.start = time.Now()
	if n.settings.CanJoinCore() {
		r.disk, r.persisted, err = storage.Open(n.settings.DataDir, n.self.Address, n.settings.Bootstrap)
		if err != nil {
			return resources{}, err
		}
	}
	if r.endpoints, err = n.bindAll(); err == nil && r.disk != nil {
		err = n.openTombstones()
	}
	if err != nil {
		return resources{}, errors.CombineErrors(err, r.release())
	}
	return r, nil
}

// release closes the disk and the listeners.
func (r *resources) release() (err error) {
	if r.disk != nil {
		err = r.disk.Close()
	}
	for _, e := range r.endpoints {
		err = errors.CombineErrors(err, e.listener.Close())
	}
	return err
}

// passes reports whether the cause of an error may pass without a change of the settings or of a file's content.
func passes(err error) bool { return errors.Is(err, storage.ErrLocked) || startup.IsSystemError(err) }

// logWait logs what the start waits for.
func (n *Node) logWait(err error) {
	n.logger.Warn().Err(err).Str("data_dir", n.settings.DataDir).Msg("the start waits")
}

// createReplica creates the replica and, where this router has a disk, its writer. It loads the servers on the disk.
func (n *Node) createReplica(r resources) (err error) {
	s := n.settings
	options := replication.Options{Self: replication.Member{Address: n.self.Address, Zone: s.Zone}, Seeds: s.SeedAddresses(),
		Bootstrap: s.Bootstrap, FaultTolerance: s.FaultTolerance.Machines}
	if r.disk != nil {
		options.Self.ID = r.persisted.ID
		n.self.Member = &options.Self
		n.control.disk = newDiskWriter(r.disk, n.saved)
		n.control.eligible[options.Self.ID] = options.Self
		if r.disk.Restored() {
			n.logger.Warn().Str("data_dir", s.DataDir).Msg("last save restored")
		}
		n.loadServers()
	} else {
		options.Diskless = true
		options.Self.ID = n.self.Address
	}
	n.control.replica, err = replication.New(options, r.persisted, n.control.register, n.now())
	if err == nil && n.self.Member != nil {
		n.control.replica.AddEligible(*n.self.Member)
	}
	return errors.Wrap(err, "create the replica")
}

// endpoint is an address that this router listens on.
type endpoint struct {
	callers  string // who calls it, for the log
	address  string
	limit    int          // of open connections
	handler  http.Handler // nil: the address for other routers
	requests func() clientlimit.RequestLimits
}

// boundEndpoint is an endpoint whose address this process has.
type boundEndpoint struct {
	endpoint
	listener net.Listener
}

// endpoints returns the endpoints of the settings in a fixed order: the one for other routers comes first.
func (n *Node) endpoints() []endpoint {
	all := []endpoint{{callers: "other routers", address: n.self.Address, limit: n.limits.PeerConnections()}}
	for _, e := range []endpoint{
		{"the platform", n.settings.Listen.Ready, n.limits.ProbeConnections(), http.HandlerFunc(n.serveReady), clientlimit.CallLimits},
		{"model servers and operators", n.settings.Listen.Control, n.limits.CallerConnections(), n.controlHandler(), clientlimit.CallLimits},
		{"clients", n.settings.Listen.Front, n.limits.ClientConnections(), n.gateway, n.requestLimits},
	} {
		if e.address != "" {
			all = append(all, e)
		}
	}
	return all
}

// bindAll listens on the addresses of all endpoints or, after an error, on none: a caller that connects to an address is served soon.
func (n *Node) bindAll() ([]boundEndpoint, error) {
	var bound []boundEndpoint
	for _, e := range n.endpoints() {
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			for _, b := range bound {
				err = errors.CombineErrors(err, b.listener.Close())
			}
			return nil, errors.Wrapf(err, "listen for %s", e.callers)
		}
		if e.handler != nil { // the others are read at all times
			sock.SetBuffers(listener, n.limits.SocketBufferBytes())
		}
		onError := func(err error) { n.logger.Warn().Err(err).Str("address", e.address).Msg("connection not accepted") }
		bound = append(bound, boundEndpoint{e, sock.RetryAccept(listener, onError)})
	}
	return bound, nil
}

// serve serves each endpoint in a goroutine, which ends when gracefulShutdown closes its listener or server.
func (n *Node) serve(bound []boundEndpoint) *listeners {
	opened := &listeners{}
	var start []func()
	for _, b := range bound {
		if b.handler == nil {
			opened.internal = b.listener
			start = append(start, func() { _ = n.transport.Serve(b.listener) })
			continue
		}
		server := n.newHTTPServer(b.handler)
		if b.address == n.settings.Listen.Front {
			opened.front = server
		} else {
			server.ReadTimeout = callerReadTimeout
		}
		opened.servers = append(opened.servers, server)
		listener := clientlimit.NewListener(b.listener, b.limit, n.memory, b.requests)
		listener.SendBuffers = n.sendBuffers
		n.limited = append(n.limited, listener)
		start = append(start, func() { _ = server.Serve(listener) })
	}
	for _, serve := range start {
		go serve()
	}
	return opened
}

package simhost

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/sidecar/handover"
	"petrelhook/internal/sidecar/wiring"
)

// rendezvous is where the processes of one sidecar find each other on the machine, as one of them uses it.
type rendezvous struct {
	process *Process
	key     string
}

// offer is what the process in service offers.
type offer struct {
	wiring.Offer
	owner *Process
	links sync.WaitGroup

	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// errWithdrawn says that the process in service has ended during a hand-over.
var errWithdrawn = errors.New("the process in service has ended")

// Request implements wiring.Rendezvous.
func (r *rendezvous) Request(timeout time.Duration) (*handover.Handover, error) {
	host := r.process.host
	host.mu.Lock()
	offered := host.offers[r.key]
	host.mu.Unlock()
	if offered == nil {
		return nil, handover.ErrNoPredecessor
	}
	type result struct {
		handover *handover.Handover
		err      error
	}
	done := make(chan result, 1)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if !offered.begin(func() {
		received, err := offered.handOver(ctx, r.process)
		done <- result{received, err}
	}) {
		return nil, handover.ErrNoPredecessor
	}
	select {
	case got := <-done:
		return got.handover, got.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// begin runs a part of a hand-over on a goroutine of its own; false: the offer was withdrawn.
func (o *offer) begin(do func()) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.closed {
		o.links.Go(do)
	}
	return !o.closed
}

// handOver gives a successor the listening socket and the state, and begins the link. A successor that no longer waits gets nothing.
func (o *offer) handOver(ctx context.Context, successor *Process) (*handover.Handover, error) {
	listener, err := successor.net.Duplicate(o.Listener.(*memnet.ProcessListener))
	if err != nil {
		return nil, err
	}
	state, err := o.State()
	if err == nil {
		if err = ctx.Err(); err != nil {
			o.OnNotSent()
		}
	}
	if err != nil {
		o.OnError(err)
		return nil, errors.Join(err, listener.Close())
	}
	link, err := o.link(successor)
	if err != nil {
		o.OnNotSent()
		return nil, errors.Join(err, listener.Close())
	}
	return &handover.Handover{Listener: listener, State: state, Link: link}, nil
}

// link connects a successor and the process in service, which follows it.
func (o *offer) link(successor *Process) (*handover.Link, error) {
	one, other := o.owner.host.network.Pipe()
	own, err := o.owner.net.Adopt(one)
	if err != nil {
		return nil, errors.Join(errWithdrawn, other.Close())
	}
	theirs, err := successor.net.Adopt(other)
	if err != nil {
		return nil, errors.Join(err, own.Close())
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil, errors.Join(errWithdrawn, own.Close(), theirs.Close())
	}
	o.open[own] = struct{}{}
	o.links.Go(func() {
		o.OnSuccessor(handover.NewLink(own))
		_ = own.Close() // nothing is written any more
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.open, own)
	})
	return handover.NewLink(theirs), nil
}

// Offer implements wiring.Rendezvous.
func (r *rendezvous) Offer(offered wiring.Offer) (end func(), err error) {
	o := &offer{Offer: offered, owner: r.process, open: map[net.Conn]struct{}{}}
	host := r.process.host
	host.mu.Lock()
	defer host.mu.Unlock()
	if r.process.net.Killed() {
		return nil, errWithdrawn
	}
	host.offers[r.key] = o
	return func() { o.end(r.key) }, nil
}

// end withdraws the offer, ends its links and waits until its functions have returned.
func (o *offer) end(key string) {
	host := o.owner.host
	host.mu.Lock()
	if host.offers[key] == o {
		delete(host.offers, key)
	}
	host.mu.Unlock()
	o.mu.Lock()
	o.closed = true
	for c := range o.open {
		_ = c.Close() // the link ends
	}
	o.mu.Unlock()
	o.links.Wait()
}

// withdraw removes the offers of a process that has ended.
func (h *Host) withdraw(p *Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, o := range h.offers {
		if o.owner == p {
			delete(h.offers, key)
		}
	}
}

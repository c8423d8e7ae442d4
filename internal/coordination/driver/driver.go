// Package driver carries a rolling change through: it looks at the agents, tells the coordinators' log what happened, has what was
// counted judged, and brings the agents the orders that the log's state gives. It holds a lease, whose token goes with all it says;
// coordinators and agents refuse an older one's. It keeps nothing: one that takes over begins with the log and with what agents report.
//
// Decisions are elsewhere: rollout.State what is ordered, judge.Judge what is worse, rollout.Fence what an agent takes.
package driver

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/evidence"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/lease"
)

// Seen is what an agent has told of a sidecar.
type Seen = machine.SidecarStatus

// Lease is what a driver holds.
const Lease = "rollout-driver"

// The times.
const (
	agentTime = 2 * time.Second // for one call of an agent
	calls     = 64              // of agents at once
	rest      = 3               // agents are asked this much more seldom once a change is over
)

// Driver is one.
type Driver struct {
	Addrs []string // of the coordinators
	TTL   time.Duration
	Every time.Duration
	Log   *slog.Logger

	operator fleet.Operator
	over     http.Client
	changes  map[string]*drive
}

// drive is one application's change, as this driver knows it.
type drive struct {
	*rollout.Change
	evidence evidence.Evidence
	told     time.Time // when time was last told of
	turn     int
	watch    rollout.Watch
}

// Run drives while it holds the lease, until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	d.operator = fleet.Operator{Addrs: d.Addrs}
	d.over = http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 2}}
	defer d.over.CloseIdleConnections()
	client, err := lease.New(lease.Options{Addrs: d.Addrs, Owner: "rollout-driver", TTL: d.TTL})
	if err != nil {
		return err
	}
	defer client.Close()
	for ctx.Err() == nil {
		h, err := client.Hold(ctx, Lease)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(d.Every):
			}
			continue
		}
		d.Log.Info("drives", "token", uint64(h.Token))
		d.changes = map[string]*drive{}
		err = d.drive(ctx, h)
		d.Log.Info("drives no more", "token", uint64(h.Token), "err", err)
		release, cancel := context.WithTimeout(context.WithoutCancel(ctx), agentTime)
		h.Release(release) // an error says that it is lost already
		cancel()
	}
	return nil
}

// errOlder says that a newer driver was heard of.
var errOlder = errors.New("a newer driver was heard")

// drive drives until the lease is lost, or stop ends.
func (d *Driver) drive(stop context.Context, h *lease.Held) error {
	ctx, cancel := context.WithCancelCause(h.Context())
	defer cancel(nil)
	defer context.AfterFunc(stop, func() { cancel(context.Cause(stop)) })()
	tick := time.NewTicker(d.Every)
	defer tick.Stop()
	for {
		if err := d.turn(ctx, h); errors.Is(err, errOlder) {
			return err
		} else if err != nil && ctx.Err() == nil {
			d.Log.Warn("a look at the changes has failed", "err", err)
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-tick.C:
		}
	}
}

// turn is one look at everything.
func (d *Driver) turn(ctx context.Context, h *lease.Held) error {
	var names []string
	if err := d.read(ctx, "", &names); err != nil {
		return err
	}
	var all []error
	for _, name := range names {
		if err := d.step(ctx, h, name); errors.Is(err, errOlder) {
			return err
		} else {
			all = append(all, err)
		}
	}
	return errors.Join(all...)
}

// read asks the coordinators for changes.
func (d *Driver) read(ctx context.Context, application string, to any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	told, err := d.operator.Call(ctx, fleet.Request{Changes: &application})
	if err != nil {
		return err
	}
	if len(told.Changes) == 0 {
		return rollout.ErrNoChange
	}
	return json.Unmarshal(told.Changes, to)
}

// step is one look at one application: agents, log, judge, log, orders.
func (d *Driver) step(ctx context.Context, h *lease.Held, application string) error {
	c := d.changes[application]
	if c == nil {
		c = &drive{}
		d.changes[application] = c
	}
	var kept rollout.Application // operators may have said something, or begun another
	if err := d.read(ctx, application, &kept); err != nil {
		return err
	}
	if c.Change == nil || c.Name != kept.Now.Name {
		c.told = time.Time{}
	}
	c.Change = kept.Now
	if c.turn++; c.State.Phase.Over() && c.turn%rest != 0 {
		return nil
	}
	seen, events, err := d.look(ctx, application, uint64(h.Token), c)
	if err != nil {
		return err
	}
	now, took := time.Now(), time.Duration(0)
	if !c.told.IsZero() {
		took = min(now.Sub(c.told), 3*d.Every)
	}
	v, err := c.evidence.Window(c.Change, readings(seen), took)
	if err != nil {
		return err
	}
	if v != nil {
		events = append(events, rollout.Event{Verdict: v})
	}
	if took > 0 && c.State.Phase == rollout.Running {
		events = append(events, rollout.Event{Elapsed: took})
	}
	c.told = now
	if err := d.tell(ctx, uint64(h.Token), application, c, events); err != nil {
		return err
	}
	return d.order(ctx, h, application, c)
}

// tell puts events into the log, and follows it.
func (d *Driver) tell(ctx context.Context, token uint64, application string, c *drive, events []rollout.Event) error {
	for len(events) > 0 {
		n := min(len(events), rollout.MaxEvents)
		told, err := d.operator.Call(ctx, fleet.Request{Rollout: &rollout.Command{Application: application, Change: c.Name, Token: token,
			After: c.Events, At: time.Now().UnixMilli(), Events: events[:n]}})
		switch {
		case err != nil:
			return err
		case told.Rollout.Err == rollout.ErrOlder.Error():
			return errOlder
		case told.Rollout.Err != "": // there were others meanwhile, or this came twice: the next look begins with what holds
			return nil
		}
		was, why := c.State.Phase, c.State.Why
		for _, e := range events[:n] {
			c.State.Apply(e)
			c.Events++
		}
		if c.State.Phase != was || c.State.Why != why {
			d.Log.Info("rollout", "application", application, "change", c.Name, "phase", c.State.Phase.String(), "stage", c.State.Stage, "why", c.State.Why)
		}
		events = events[n:]
	}
	return nil
}

// look asks all agents what there is, and tells them what is confirmed.
func (d *Driver) look(ctx context.Context, application string, token uint64, c *drive) (map[string]Seen, []rollout.Event, error) {
	seen, errs := d.ask(ctx, agents(c.Members), machine.StatusRequest{Version: machine.Version, Application: application, Token: token, Confirmed: c.State.Confirmed()})
	for _, err := range errs {
		if connect.CodeOf(err) == connect.CodeAborted {
			return nil, nil, errOlder
		}
	}
	reports := map[string]rollout.Report{}
	for name, s := range seen {
		reports[name] = s.Report
	}
	events, lost := c.watch.Look(c.Change, reports, func(agent string) bool { return errs[agent] != nil })
	for _, addr := range lost {
		d.Log.Warn("an agent is out of reach", "agent", addr, "err", errs[addr])
	}
	return seen, events, nil
}

// readings are what sidecars have counted; one whose counts cannot be read has none.
func readings(seen map[string]Seen) map[string]evidence.Reading {
	all := map[string]evidence.Reading{}
	for name, s := range seen {
		r := evidence.Reading{Process: s.Process, CPU: s.CPU, Memory: s.Memory}
		if json.Unmarshal(s.Counts, &r.Report) == nil {
			all[name] = r
		}
	}
	return all
}

func agents(members []rollout.Member) (all []string) {
	known := map[string]bool{}
	for _, m := range members {
		if !known[m.Agent] {
			known[m.Agent] = true
			all = append(all, m.Agent)
		}
	}
	return all
}

// call makes one call of an agent.
func call[Req, Res any](ctx context.Context, over *http.Client, addr, path string, in *Req) (*Res, error) {
	res, err := rpc.Client[Req, Res](over, addr, path, machine.MaxAnswer).CallUnary(ctx, connect.NewRequest(in))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// ask asks all agents, some at a time; what they have told, by sidecar, and who has not answered.
func (d *Driver) ask(ctx context.Context, agents []string, in machine.StatusRequest) (map[string]Seen, map[string]error) {
	var mu sync.Mutex
	all, errs := map[string]Seen{}, map[string]error{}
	each(len(agents), func(i int) {
		ctx, cancel := context.WithTimeout(ctx, agentTime)
		defer cancel()
		seen, err := call[machine.StatusRequest, machine.Status](ctx, &d.over, agents[i], machine.PathStatus, &in)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			errs[agents[i]] = err
			return
		}
		for _, s := range seen.Sidecars {
			all[s.Sidecar] = s
		}
	})
	return all, errs
}

// each does something n times, some at a time.
func each(n int, do func(i int)) {
	var sides sync.WaitGroup
	limit := make(chan struct{}, calls)
	for i := range n {
		limit <- struct{}{}
		sides.Go(func() {
			defer func() { <-limit }()
			do(i)
		})
	}
	sides.Wait()
}

// order brings the orders that are open to their agents, each time anew until they are reported: an agent carries one out once.
func (d *Driver) order(ctx context.Context, h *lease.Held, application string, c *drive) error {
	where := map[string]string{}
	for _, m := range c.Members {
		where[m.Name] = m.Agent
	}
	var mu sync.Mutex
	var older bool
	orders := c.State.Orders()
	each(len(orders), func(i int) {
		o := orders[i]
		if !h.Valid() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, agentTime)
		defer cancel()
		taken, err := call[machine.Order, machine.OrderResponse](ctx, &d.over, where[o.Sidecar], machine.PathOrder,
			&machine.Order{Version: machine.Version, Application: application, Token: uint64(h.Token), Order: o})
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err == nil && !taken.Known:
			d.Log.Info("ordered", "application", application, "order", o.Number, "sidecar", o.Sidecar, "release", o.Release)
		case err != nil && connect.CodeOf(err) == connect.CodeAborted:
			older = true
			d.Log.Warn("refused", "order", o.Number, "sidecar", o.Sidecar, "err", err)
		case err != nil:
			d.Log.Info("not taken yet", "order", o.Number, "sidecar", o.Sidecar, "err", err)
		}
	})
	if older {
		return errOlder
	}
	return nil
}

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

// SidecarStatus is what an agent has told of a sidecar.
type SidecarStatus = machine.SidecarStatus

// LeaseName is what a driver holds.
const LeaseName = "rollout-driver"

// The times.
const (
	agentTimeout       = 2 * time.Second // for one call of an agent
	maxConcurrentCalls = 64              // of agents at once
	idlePollDivisor    = 3               // agents are asked this much more seldom once a change is over
)

// Driver is one.
type Driver struct {
	Coordinators []string // of the coordinators
	TTL          time.Duration
	Interval     time.Duration
	Log          *slog.Logger

	operator fleet.Operator
	client   http.Client
	changes  map[string]*applicationDriver
}

// applicationDriver is one application's change, as this driver knows it.
type applicationDriver struct {
	*rollout.Change
	evidence      evidence.Evidence
	lastElapsedAt time.Time // when time was last told of
	polls         int
	reachability  rollout.ReachabilityTracker
}

// Run drives while it holds the lease, until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	d.operator = fleet.Operator{Addrs: d.Coordinators}
	d.client = http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 2}}
	defer d.client.CloseIdleConnections()
	client, err := lease.New(lease.Options{Addrs: d.Coordinators, Owner: "rollout-driver", TTL: d.TTL})
	if err != nil {
		return err
	}
	defer client.Close()
	for ctx.Err() == nil {
		h, err := client.Hold(ctx, LeaseName)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(d.Interval):
			}
			continue
		}
		d.Log.Info("drives", "token", uint64(h.Token))
		d.changes = map[string]*applicationDriver{}
		err = d.driveWhileHeld(ctx, h)
		d.Log.Info("drives no more", "token", uint64(h.Token), "err", err)
		release, cancel := context.WithTimeout(context.WithoutCancel(ctx), agentTimeout)
		h.Release(release) // an error says that it is lost already
		cancel()
	}
	return nil
}

// errStaleDriver says that a newer driver was heard of.
var errStaleDriver = errors.New("a newer driver was heard")

// driveWhileHeld drives until the lease is lost, or stop ends.
func (d *Driver) driveWhileHeld(stop context.Context, h *lease.Held) error {
	ctx, cancel := context.WithCancelCause(h.Context())
	defer cancel(nil)
	defer context.AfterFunc(stop, func() { cancel(context.Cause(stop)) })()
	tick := time.NewTicker(d.Interval)
	defer tick.Stop()
	for {
		if err := d.pollAll(ctx, h); errors.Is(err, errStaleDriver) {
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

// pollAll is one look at everything.
func (d *Driver) pollAll(ctx context.Context, h *lease.Held) error {
	var names []string
	if err := d.readChanges(ctx, "", &names); err != nil {
		return err
	}
	var all []error
	for _, name := range names {
		if err := d.driveApplication(ctx, h, name); errors.Is(err, errStaleDriver) {
			return err
		} else {
			all = append(all, err)
		}
	}
	return errors.Join(all...)
}

// readChanges asks the coordinators for changes.
func (d *Driver) readChanges(ctx context.Context, application string, to any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	response, err := d.operator.Call(ctx, fleet.Request{Changes: &application})
	if err != nil {
		return err
	}
	if len(response.Changes) == 0 {
		return rollout.ErrNoChange
	}
	return json.Unmarshal(response.Changes, to)
}

// driveApplication is one look at one application: agents, log, judge, log, orders.
func (d *Driver) driveApplication(ctx context.Context, held *lease.Held, application string) error {
	change := d.changes[application]
	if change == nil {
		change = &applicationDriver{}
		d.changes[application] = change
	}
	var stored rollout.Application // operators may have said something, or begun another
	if err := d.readChanges(ctx, application, &stored); err != nil {
		return err
	}
	if change.Change == nil || change.Name != stored.Current.Name {
		change.lastElapsedAt = time.Time{}
	}
	change.Change = stored.Current
	if change.polls++; change.State.Phase.Over() && change.polls%idlePollDivisor != 0 {
		return nil
	}
	statuses, events, err := d.pollAgents(ctx, application, uint64(held.Token), change)
	if err != nil {
		return err
	}
	now, elapsed := time.Now(), time.Duration(0)
	if !change.lastElapsedAt.IsZero() {
		elapsed = min(now.Sub(change.lastElapsedAt), 3*d.Interval)
	}
	verdict, err := change.evidence.Window(change.Change, readings(statuses), elapsed)
	if err != nil {
		return err
	}
	if verdict != nil {
		events = append(events, rollout.Event{Verdict: verdict})
	}
	if elapsed > 0 && change.State.Phase == rollout.Running {
		events = append(events, rollout.Event{Elapsed: elapsed})
	}
	change.lastElapsedAt = now
	if err := d.appendEvents(ctx, uint64(held.Token), application, change, events); err != nil {
		return err
	}
	return d.deliverOrders(ctx, held, application, change)
}

// appendEvents puts events into the log, and follows it.
func (d *Driver) appendEvents(ctx context.Context, token uint64, application string, change *applicationDriver, events []rollout.Event) error {
	for len(events) > 0 {
		n := min(len(events), rollout.MaxEvents)
		response, err := d.operator.Call(ctx, fleet.Request{Rollout: &rollout.Command{Application: application, Change: change.Name, Token: token,
			KnownEvents: change.EventCount, AtMillis: time.Now().UnixMilli(), Events: events[:n]}})
		switch {
		case err != nil:
			return err
		case response.Rollout.Error == rollout.ErrStaleDriver.Error():
			return errStaleDriver
		case response.Rollout.Error != "": // there were others meanwhile, or this came twice: the next look begins with what holds
			return nil
		}
		phase, reason := change.State.Phase, change.State.Reason
		for _, e := range events[:n] {
			change.State.Apply(e)
			change.EventCount++
		}
		if change.State.Phase != phase || change.State.Reason != reason {
			d.Log.Info("rollout", "application", application, "change", change.Name, "phase", change.State.Phase.String(), "stage", change.State.Stage, "why", change.State.Reason)
		}
		events = events[n:]
	}
	return nil
}

// pollAgents asks all agents what there is, and tells them what is confirmed.
func (d *Driver) pollAgents(ctx context.Context, application string, token uint64, change *applicationDriver) (map[string]SidecarStatus, []rollout.Event, error) {
	statuses, errs := d.queryAgents(ctx, agentAddresses(change.Members), machine.StatusRequest{Version: machine.Version, Application: application, Token: token, Confirmed: change.State.Confirmed()})
	for _, err := range errs {
		if connect.CodeOf(err) == connect.CodeAborted {
			return nil, nil, errStaleDriver
		}
	}
	reports := map[string]rollout.Report{}
	for name, s := range statuses {
		reports[name] = s.Report
	}
	events, unreachable := change.reachability.Observe(change.Change, reports, func(agent string) bool { return errs[agent] != nil })
	for _, addr := range unreachable {
		d.Log.Warn("an agent is out of reach", "agent", addr, "err", errs[addr])
	}
	return statuses, events, nil
}

// readings are what sidecars have counted; one whose counts cannot be read has none.
func readings(statuses map[string]SidecarStatus) map[string]evidence.Reading {
	all := map[string]evidence.Reading{}
	for name, s := range statuses {
		r := evidence.Reading{Process: s.Process, CPUTicks: s.CPUTicks, ResidentBytes: s.ResidentBytes}
		if json.Unmarshal(s.Counts, &r.Report) == nil {
			all[name] = r
		}
	}
	return all
}

func agentAddresses(members []rollout.Member) (all []string) {
	known := map[string]bool{}
	for _, m := range members {
		if !known[m.Agent] {
			known[m.Agent] = true
			all = append(all, m.Agent)
		}
	}
	return all
}

// callAgent makes one call of an agent.
func callAgent[Req, Res any](ctx context.Context, client *http.Client, addr, path string, in *Req) (*Res, error) {
	res, err := rpc.Client[Req, Res](client, addr, path, machine.MaxResponseBytes).CallUnary(ctx, connect.NewRequest(in))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// queryAgents asks all agents, some at a time; what they have told, by sidecar, and who has not answered.
func (d *Driver) queryAgents(ctx context.Context, agents []string, request machine.StatusRequest) (map[string]SidecarStatus, map[string]error) {
	var mu sync.Mutex
	statuses, errs := map[string]SidecarStatus{}, map[string]error{}
	forEach(len(agents), func(i int) {
		ctx, cancel := context.WithTimeout(ctx, agentTimeout)
		defer cancel()
		status, err := callAgent[machine.StatusRequest, machine.Status](ctx, &d.client, agents[i], machine.PathStatus, &request)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			errs[agents[i]] = err
			return
		}
		for _, s := range status.Sidecars {
			statuses[s.Sidecar] = s
		}
	})
	return statuses, errs
}

// forEach does something n times, some at a time.
func forEach(n int, do func(i int)) {
	var sides sync.WaitGroup
	limit := make(chan struct{}, maxConcurrentCalls)
	for i := range n {
		limit <- struct{}{}
		sides.Go(func() {
			defer func() { <-limit }()
			do(i)
		})
	}
	sides.Wait()
}

// deliverOrders brings the orders that are open to their agents, each time anew until they are reported: an agent carries one out once.
func (d *Driver) deliverOrders(ctx context.Context, held *lease.Held, application string, change *applicationDriver) error {
	agentOf := map[string]string{}
	for _, m := range change.Members {
		agentOf[m.Name] = m.Agent
	}
	var mu sync.Mutex
	var staleToken bool
	orders := change.State.OpenOrders()
	forEach(len(orders), func(i int) {
		order := orders[i]
		if !held.Valid() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, agentTimeout)
		defer cancel()
		response, err := callAgent[machine.Order, machine.OrderResponse](ctx, &d.client, agentOf[order.Sidecar], machine.PathOrder,
			&machine.Order{Version: machine.Version, Application: application, Token: uint64(held.Token), Order: order})
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err == nil && !response.Known:
			d.Log.Info("ordered", "application", application, "order", order.Number, "sidecar", order.Sidecar, "release", order.Release)
		case err != nil && connect.CodeOf(err) == connect.CodeAborted:
			staleToken = true
			d.Log.Warn("refused", "order", order.Number, "sidecar", order.Sidecar, "err", err)
		case err != nil:
			d.Log.Info("not taken yet", "order", order.Number, "sidecar", order.Sidecar, "err", err)
		}
	})
	if staleToken {
		return errStaleDriver
	}
	return nil
}

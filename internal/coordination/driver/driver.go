package driver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"petrelhook/internal/coordination/evidence"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/lease"
)

// LeaseName is the name of the lease that a driver holds.
const LeaseName = "rollout-driver"

const (
	agentTimeout       = 2 * time.Second // for one call of an agent
	dialTimeout        = time.Second     // for one connection to an agent or a coordinator
	coordinatorTimeout = 5 * time.Second // for one read of the log's state
	maxConcurrentCalls = 64              // calls of agents at the same time
	idlePollDivisor    = 3               // once a change is over, agents are polled this many times less often
	maxElapsedPolls    = 3               // a longer time between two polls counts as this many intervals
)

// Driver executes the changes of all applications. Its exported fields must be set before Run is called and not changed afterwards.
type Driver struct {
	Coordinators []string      // addresses of the coordinators
	TTL          time.Duration // TTL of the lease
	Interval     time.Duration // time between polls
	Log          *slog.Logger
	Dial         rpc.Dial             // connects to coordinators and agents; nil: TCP
	Clock        func() time.Duration // the steady clock of the lease client; nil: the default of package lease

	operator fleet.Operator
	client   *http.Client
	changes  map[string]*applicationDriver // by application
}

// applicationDriver is the driver's copy of the current change of one application, with the evidence collected for it.
type applicationDriver struct {
	*rollout.Change
	evidence      evidence.Evidence
	lastElapsedAt time.Time // until when elapsed time has been reported; zero: none has been
	polls         int
	reachability  rollout.ReachabilityTracker
}

// leaseTTL is the TTL of a coordinator's driver: how long other coordinators wait for a driver that does not renew its lease.
const leaseTTL = 3 * time.Second

// ForCoordinator returns the driver that runs in the process of a coordinator with these settings.
func ForCoordinator(c *fleet.Config, log *slog.Logger) *Driver {
	d := &Driver{TTL: leaseTTL, Interval: c.DriveInterval, Log: log, Dial: c.Dial}
	if c.Clock != nil {
		d.Clock = func() time.Duration { return time.Duration(c.Clock()) }
	}
	for _, m := range c.Replicas {
		d.Coordinators = append(d.Coordinators, m.Addr)
	}
	return d
}

// Start calls Run on a new goroutine. The returned function stops it and waits until it has returned. An error of Run is logged, and the
// coordinator continues without a driver.
func (d *Driver) Start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := d.Run(ctx); err != nil {
			d.Log.Error("rollout driver failed", "err", err)
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// Run waits for the lease and executes changes while it holds the lease, until ctx ends. It may be called once. It returns an error only if
// the lease client rejects the exported fields.
func (d *Driver) Run(ctx context.Context) error {
	d.client = rpc.NewHTTPClient(rpc.HTTPOptions{Dial: d.Dial, DialTimeout: dialTimeout, MaxIdleConnsPerHost: 2})
	defer d.client.CloseIdleConnections()
	d.operator = fleet.Operator{Addrs: d.Coordinators, HTTPClient: d.client}
	client, err := lease.New(lease.Options{Addrs: d.Coordinators, Owner: LeaseName, TTL: d.TTL, Dial: d.Dial, Clock: d.Clock})
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }() // on an error the session expires by itself
	for ctx.Err() == nil {
		held, err := client.Hold(ctx, LeaseName)
		if err != nil {
			rpc.Sleep(ctx, d.Interval)
			continue
		}
		d.runWithLease(ctx, held)
	}
	return nil
}

// runWithLease executes changes while the lease is held, and releases the lease afterwards.
func (d *Driver) runWithLease(ctx context.Context, held *lease.Held) {
	d.Log.Info("rollout driver started", "token", uint64(held.Token))
	d.changes = map[string]*applicationDriver{}
	err := d.pollUntilLeaseLost(ctx, held)
	d.Log.Info("rollout driver stopped", "token", uint64(held.Token), "err", err)
	releaseContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), agentTimeout)
	defer cancel()
	_ = held.Release(releaseContext) // on an error the lease is lost already or expires by itself
}

// pollUntilLeaseLost polls until the lease is lost, a newer driver is known, or stop ends. The returned error is never nil and names the
// cause.
func (d *Driver) pollUntilLeaseLost(stop context.Context, held *lease.Held) error {
	ctx, cancel := context.WithCancelCause(held.Context())
	defer cancel(nil)
	defer context.AfterFunc(stop, func() { cancel(context.Cause(stop)) })()
	ticker := time.NewTicker(d.Interval)
	defer ticker.Stop()
	for {
		err := d.pollAll(ctx, held)
		if errors.Is(err, rollout.ErrStaleDriver) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			d.Log.Warn("polling the changes failed", "err", err)
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

// pollAll polls the changes of all applications. After an error of one application it continues with the others, except after
// rollout.ErrStaleDriver, which it returns at once.
func (d *Driver) pollAll(ctx context.Context, held *lease.Held) error {
	var names []string
	if err := d.readChanges(ctx, "", &names); err != nil {
		return err
	}
	var failures []error
	for _, name := range names {
		err := d.driveApplication(ctx, held, name)
		if errors.Is(err, rollout.ErrStaleDriver) {
			return err
		}
		if err != nil {
			failures = append(failures, fmt.Errorf("application %s: %w", name, err))
		}
	}
	return errors.Join(failures...)
}

// readChanges reads the state of the log from a coordinator and decodes it into to: a rollout.Application, or the names of all applications
// if application is empty.
func (d *Driver) readChanges(ctx context.Context, application string, to any) error {
	ctx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
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

// driveApplication executes one poll of an application: it reads the state of the log, polls the agents, judges the counts, appends the
// events to the log and delivers the orders.
func (d *Driver) driveApplication(ctx context.Context, held *lease.Held, application string) error {
	change, err := d.refresh(ctx, application)
	if err != nil {
		return err
	}
	if change.polls++; change.State.Phase.Over() && change.polls%idlePollDivisor != 0 {
		return nil
	}
	statuses, events, err := d.pollAgents(ctx, application, uint64(held.Token), change)
	if err != nil {
		return err
	}
	now, elapsed := time.Now(), time.Duration(0)
	if !change.lastElapsedAt.IsZero() {
		elapsed = min(now.Sub(change.lastElapsedAt), maxElapsedPolls*d.Interval)
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

// refresh updates the driver's copy of the current change of an application from the log. Operators may have added events to the change or
// begun another one.
func (d *Driver) refresh(ctx context.Context, application string) (*applicationDriver, error) {
	change := d.changes[application]
	if change == nil {
		change = &applicationDriver{}
		d.changes[application] = change
	}
	var stored rollout.Application
	if err := d.readChanges(ctx, application, &stored); err != nil {
		return nil, err
	}
	if change.Change == nil || change.Name != stored.Current.Name {
		change.lastElapsedAt = time.Time{}
	}
	change.Change = stored.Current
	return change, nil
}

// appendEvents appends events to the log and applies them to the driver's copy of the state. If the log refuses them, for example because
// it has had other events in the meantime, the rest is dropped without an error, and the next poll starts from the state of the log.
func (d *Driver) appendEvents(ctx context.Context, token uint64, application string, change *applicationDriver, events []rollout.Event) error {
	for len(events) > 0 {
		n := min(len(events), rollout.MaxEvents)
		response, err := d.operator.Call(ctx, fleet.Request{Rollout: &rollout.Command{Application: application, Change: change.Name, Token: token,
			KnownEvents: change.EventCount, AtMillis: time.Now().UnixMilli(), Events: events[:n]}})
		switch {
		case err != nil:
			return err
		case errors.Is(response.Rollout.Err, rollout.ErrStaleDriver):
			return rollout.ErrStaleDriver
		case response.Rollout.Error != "":
			return nil
		}
		phase, reason := change.State.Phase, change.State.Reason
		for _, e := range events[:n] {
			change.State.Apply(e)
			change.EventCount++
		}
		if change.State.Phase != phase || change.State.Reason != reason {
			d.Log.Info("rollout", "application", application, "change", change.Name, "phase", change.State.Phase.String(),
				"stage", change.State.Stage, "why", change.State.Reason)
		}
		events = events[n:]
	}
	return nil
}

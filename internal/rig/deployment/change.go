package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"petrelhook/internal/coordination/driver"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/rig/driverlog"
)

// Begin starts a rolling change with a plan's text, over all agents.
func (d *Deployment) Begin(plan string) (*driver.BeginResult, error) {
	var agents []string
	for _, a := range d.Agents {
		agents = append(agents, a.Link.Addr)
	}
	f, err := driver.ParsePlan("plan.yaml", fmt.Appendf(nil, "application: %s\nagents: [%s]\n%s", Application, strings.Join(agents, ", "), plan))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(d.t.Context(), 20*time.Second)
	defer cancel()
	return driver.Begin(ctx, d.Operator(), d.Client(), f, false)
}

// Client returns the HTTP client of operators.
func (d *Deployment) Client() *http.Client {
	if client := d.platform.coordinators().Client; client != nil {
		return client
	}
	return http.DefaultClient
}

// Application returns what the coordinators store of the application's rolling changes.
func (d *Deployment) Application() *rollout.Application {
	d.t.Helper()
	name := Application
	reply, err := d.Call(fleet.Request{Changes: &name})
	app := &rollout.Application{}
	if err == nil {
		err = json.Unmarshal(reply.Changes, app)
	}
	if err != nil {
		d.t.Fatal(err)
	}
	return app
}

// SendEvent sends an operator's event for the current change.
func (d *Deployment) SendEvent(event rollout.Event) {
	d.t.Helper()
	reply, err := d.Call(fleet.Request{Rollout: &rollout.Command{Application: Application, Change: d.Application().Current.Name, Events: []rollout.Event{event}}})
	if err != nil || reply.Rollout.Error != "" {
		d.t.Fatal(err, reply)
	}
}

// AwaitChange waits until ok returns true for the current change, and returns the change. what names the state in the failure.
func (d *Deployment) AwaitChange(timeout time.Duration, what string, ok func(*rollout.Change) bool) *rollout.Change {
	d.t.Helper()
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		c := d.Application().Current
		if ok(c) {
			return c
		}
		if time.Now().After(end) {
			text, _ := json.Marshal(c.State)
			d.t.Fatalf("never: %s: %v, stage %d, %s: %s", what, c.State.Phase, c.State.Stage, c.State.Reason, text)
		}
	}
}

// AwaitEnd waits until the current change has ended, and returns it.
func (d *Deployment) AwaitEnd(timeout time.Duration) *rollout.Change {
	d.t.Helper()
	return d.AwaitChange(timeout, "over", func(c *rollout.Change) bool { return c.State.Phase.Over() })
}

// Driver is the index of the coordinator that drives rolling changes; -1: none. It is read from their logs.
func (d *Deployment) Driver() int {
	var logs []string
	for _, m := range d.Members {
		logs = append(logs, m.Log.String())
	}
	return driverlog.Driver(logs)
}

// PlanText is the text of a plan between two releases, with further fields.
func PlanText(from, to release.ID, fields string) string {
	return fmt.Sprintf("from: %s\nto: %s\n%s", from, to, fields)
}

// CountRunning is the number of sidecars that run a release, as agents report.
func CountRunning(c *rollout.Change, id release.ID) (n int) {
	for _, s := range c.State.Sidecars() {
		if s.Release == string(id) {
			n++
		}
	}
	return n
}

package driver

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/evidence"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/lease"
)

// SidecarStatus is an agent's report of a sidecar.
type SidecarStatus = machine.SidecarStatus

// callAgent calls the method at path of the agent at addr.
func callAgent[Req, Res any](ctx context.Context, client *http.Client, addr, path string, in *Req) (*Res, error) {
	res, err := rpc.Client[Req, Res](client, addr, path, machine.MaxResponseBytes).CallUnary(ctx, connect.NewRequest(in))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// forEach calls do with each of 0 to n-1, at most maxConcurrentCalls at a time on goroutines of their own, and returns when all calls have
// returned.
func forEach(n int, do func(i int)) {
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for i := range n {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			do(i)
		})
	}
	calls.Wait()
}

// agentAddresses returns the addresses of the members' agents without duplicates.
func agentAddresses(members []rollout.Member) (addresses []string) {
	known := map[string]bool{}
	for _, m := range members {
		if !known[m.Agent] {
			known[m.Agent] = true
			addresses = append(addresses, m.Agent)
		}
	}
	return addresses
}

// queryAgents requests the status of agents. It returns the statuses by sidecar name, and the errors by agent address.
func (d *Driver) queryAgents(ctx context.Context, agents []string, request machine.StatusRequest) (map[string]SidecarStatus, map[string]error) {
	var mu sync.Mutex
	statuses, errs := map[string]SidecarStatus{}, map[string]error{}
	forEach(len(agents), func(i int) {
		ctx, cancel := context.WithTimeout(ctx, agentTimeout)
		defer cancel()
		status, err := callAgent[machine.StatusRequest, machine.Status](ctx, d.client, agents[i], machine.PathStatus, &request)
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

// pollAgents requests the status of the agents of a change and sends them the confirmed release. It returns the statuses by sidecar name
// and the events for what has changed, or rollout.ErrStaleDriver if an agent knows a newer driver.
func (d *Driver) pollAgents(
	ctx context.Context, application string, token uint64, change *applicationDriver,
) (map[string]SidecarStatus, []rollout.Event, error) {
	statuses, errs := d.queryAgents(ctx, agentAddresses(change.Members), machine.StatusRequest{Version: machine.Version,
		Application: application, Token: token, Confirmed: change.State.Confirmed()})
	for _, err := range errs {
		if connect.CodeOf(err) == connect.CodeAborted {
			return nil, nil, rollout.ErrStaleDriver
		}
	}
	reports := map[string]rollout.Report{}
	for name, s := range statuses {
		reports[name] = s.Report
	}
	events, unreachable := change.reachability.Observe(change.Change, reports, func(agent string) bool { return errs[agent] != nil })
	for _, addr := range unreachable {
		d.Log.Warn("agent unreachable", "agent", addr, "err", errs[addr])
	}
	return statuses, events, nil
}

// readings returns the counts of sidecars by name. Sidecars whose counts cannot be decoded are left out.
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

// deliverOrders sends the open orders to their agents while the lease is valid. Every poll repeats this until an order is reported as
// completed; an agent executes an order only once. It returns rollout.ErrStaleDriver if an agent knows a newer driver. Other errors are
// logged.
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
		response, err := callAgent[machine.Order, machine.OrderResponse](ctx, d.client, agentOf[order.Sidecar], machine.PathOrder,
			&machine.Order{Version: machine.Version, Application: application, Token: uint64(held.Token), Order: order})
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err == nil && !response.Known:
			d.Log.Info("order accepted", "application", application, "order", order.Number, "sidecar", order.Sidecar, "release", order.Release)
		case err != nil && connect.CodeOf(err) == connect.CodeAborted:
			staleToken = true
			d.Log.Warn("order refused", "order", order.Number, "sidecar", order.Sidecar, "err", err)
		case err != nil:
			d.Log.Info("order not accepted yet", "order", order.Number, "sidecar", order.Sidecar, "err", err)
		}
	})
	if staleToken {
		return rollout.ErrStaleDriver
	}
	return nil
}

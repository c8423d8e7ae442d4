package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/monotonic"
	"petrelhook/internal/coordination/rollout"
)

// renewals measures sessions that are idle: each renews itself, and holds one lease.
func (r *run) renewals(ctx context.Context) error {
	r.progress("members join")
	_, err := r.members.call(ctx, func(s span) request {
		return request{Join: &join{Workload: LeaseRenewals, Coordinators: r.group.memberAddrs(), Members: s, Seed: r.options.Seed}}
	})
	if err != nil {
		return err
	}
	before, after, err := r.window(ctx, r.options.Window)
	if err != nil {
		return err
	}
	r.roles(before, after, "")
	return r.state(ctx, "leader", "")
}

// roles adds points on the rates of leader, followers and members between two observations. Metrics' names get the prefix.
func (r *run) roles(before, after *observation, prefix string) {
	add := func(role, metric string, value float64) { r.add(role, prefix+metric, value) }
	var followers []rates
	for i, addr := range r.group.addrs {
		v := coordinatorRates(before, after, i, addr)
		if r.machines != nil {
			v = v.withAgents(before, after, slices.Index(r.machines.coordinators, addr))
		}
		if i != r.group.leader {
			followers = append(followers, v)
			continue
		}
		v.addAll(add, "leader")
		v.addReplica(add, "leader")
	}
	v := mean(followers...)
	v.addAll(add, "follower")
	v.addReplica(add, "follower")
	memberRates(before, after, r.size).addAll(add, "member")
	if r.machines != nil {
		agent, sidecar := machineRates(before, after)
		agent.addAll(add, "agent")
		sidecar.addProcess(add, "sidecar")
	}
}

// What the rolling changes are of.
const (
	application = "scale"
	oldRelease  = "old"
	newRelease  = "new"
)

// agentPolls measures a rolling change of all agents that is still in its baseline period, so that the driver only polls; then a
// change of all agents at once.
func (r *run) agentPolls(ctx context.Context) error {
	r.progress("agents listen")
	answers, err := r.members.call(ctx, func(s span) request {
		return request{Join: &join{Workload: AgentPolls, Members: s, Seed: r.options.Seed, Application: application,
			Release: oldRelease}}
	})
	if err != nil {
		return err
	}
	start := rollout.Start{}
	for i, s := range r.members.all {
		for n, addr := range answers[i].Agents {
			m := drawMember(r.options.Seed, s.First+n)
			start.Members = append(start.Members, rollout.Member{Name: m.Name, Zone: m.Zone, Agent: addr})
			start.Reports = append(start.Reports, rollout.Report{Sidecar: m.Name, Release: oldRelease, Ready: true})
		}
	}
	if len(start.Members) != r.size {
		return fmt.Errorf("%d agents listen, of %d", len(start.Members), r.size)
	}
	start.Plan = rollout.Plan{Application: application, From: oldRelease, To: newRelease,
		MaxConcurrent: r.size, MaxUnavailable: r.size, BaselinePeriod: time.Hour, ProgressTimeout: time.Hour,
		Judge:  rollout.JudgeConfig{FalseStopRate: 0.01, MissedStopRate: 0.05, MinEffect: 0.02},
		Stages: []rollout.Stage{{Selector: rollout.Selector{Share: 1}}}}
	if err := r.begin(ctx, "watched", &start); err != nil {
		return err
	}
	r.progress("the driver comes round")
	if _, err := r.members.call(ctx, func(span) request { return request{Await: &condition{Calls: 2}} }); err != nil {
		return err
	}
	before, after, err := r.window(ctx, r.options.Window)
	if err != nil {
		return err
	}
	if now := r.group.driver(); now != r.group.leader {
		return fmt.Errorf("coordinator %d drives, and %d leads", now+1, r.group.leader+1)
	}
	var followers []rates
	for i := range r.group.addrs {
		if i != r.group.leader {
			followers = append(followers, coordinatorRates(before, after, i, ""))
		}
	}
	v := coordinatorRates(before, after, r.group.leader, driverEnd)
	v.addAll(r.add, "driver")
	v.addReplica(r.add, "driver")
	v = mean(followers...)
	v.addAll(r.add, "follower")
	v.addReplica(r.add, "follower")
	memberRates(before, after, r.size).addAll(r.add, "agent")
	if err := r.state(ctx, "driver", application); err != nil {
		return err
	}
	return r.changeAll(ctx, start)
}

// changeAll times a change of all agents at once, without a judge: from its acceptance until each sidecar runs the new release.
func (r *run) changeAll(ctx context.Context, start rollout.Start) error {
	r.progress("all change")
	abort := []rollout.Event{{Abort: "it was watched"}}
	if err := r.propose(ctx, &rollout.Command{Application: application, Change: "watched", Events: abort}); err != nil {
		return err
	}
	start.Plan.BaselinePeriod, start.Plan.Judge = 0, rollout.JudgeConfig{Disabled: true}
	if err := r.begin(ctx, "changed", &start); err != nil {
		return err
	}
	accepted := int64(monotonic.Now())
	answers, err := r.members.call(ctx, func(span) request { return request{Await: &condition{Release: newRelease}} })
	if err != nil {
		return err
	}
	var took []float64
	for _, a := range answers {
		for _, at := range a.InForce {
			took = append(took, max(0, float64(at-accepted)/1e9))
		}
	}
	if len(took) != r.size {
		return fmt.Errorf("%d sidecars run the new release, of %d", len(took), r.size)
	}
	slices.Sort(took)
	r.add("agent", "in_force_p50_s", took[len(took)/2])
	r.add("agent", "in_force_p99_s", took[len(took)*99/100])
	r.add("agent", "in_force_s", took[len(took)-1])
	return nil
}

// begin proposes the start of a change.
func (r *run) begin(ctx context.Context, change string, start *rollout.Start) error {
	err := r.propose(ctx, &rollout.Command{Application: application, Change: change, Start: start})
	if err == nil {
		return nil
	}
	err = fmt.Errorf("start of the rolling change: %w", err)
	if errors.As(err, &rejection{}) || fleet.IsPermanent(err) {
		return rejection{err}
	}
	return err
}

// proposalTimeout bounds the wait for a command to be committed.
const proposalTimeout = 20 * time.Second

// propose has the coordinators commit a command on rolling changes. A command that their state machine rejects is a rejection.
func (r *run) propose(ctx context.Context, c *rollout.Command) error {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	c.AtMillis = time.Now().UnixMilli()
	reply, err := r.group.operator.Call(ctx, fleet.Request{Rollout: c})
	if err == nil && reply.Rollout.Error != "" {
		err = rejection{errors.New(reply.Rollout.Error)}
	}
	return err
}

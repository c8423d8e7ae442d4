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

// renewals is N sessions at rest: each renews its own, and holds one lease.
func (r *run) renewals(ctx context.Context) error {
	r.progress("members join")
	_, err := r.crew.ask(ctx, func(s span) question {
		return question{Join: &join{Workload: Renewals, Coordinators: r.group.inOrder(), Members: s, Seed: r.o.Seed}}
	})
	if err != nil {
		return err
	}
	before, after, err := r.window(ctx, r.o.Steady)
	if err != nil {
		return err
	}
	r.roles(before, after, "")
	return r.state(ctx, "leader", "")
}

// roles adds the rates of leader, followers and members between two moments, each metric's name behind a prefix.
func (r *run) roles(before, after *seen, prefix string) {
	add := func(role, metric string, value float64) { r.add(role, prefix+metric, value) }
	var followers []rates
	for i, addr := range r.group.addrs {
		v := between(before, after, i, addr)
		if r.machines != nil {
			v = v.withAgents(before, after, slices.Index(r.machines.coordinators, addr))
		}
		if i != r.group.leader {
			followers = append(followers, v)
			continue
		}
		v.points(add, "leader")
		v.replica(add, "leader")
	}
	v := mean(followers...)
	v.points(add, "follower")
	v.replica(add, "follower")
	betweenMembers(before, after, r.size).points(add, "member")
	if r.machines != nil {
		agent, sidecar := betweenMachines(before, after)
		agent.points(add, "agent")
		sidecar.process(add, "sidecar")
	}
}

// What the changes are of.
const (
	application = "scale"
	oldRelease  = "old"
	newRelease  = "new"
)

// looks is one running change of N agents, at which nothing changes yet; and then one of all of them at once.
func (r *run) looks(ctx context.Context) error {
	r.progress("agents listen")
	answers, err := r.crew.ask(ctx, func(s span) question {
		return question{Join: &join{Workload: Looks, Members: s, Seed: r.o.Seed, Application: application,
			Release: oldRelease}}
	})
	if err != nil {
		return err
	}
	start := rollout.Start{}
	for i, s := range r.crew.all {
		for n, addr := range answers[i].Agents {
			m := drawMember(r.o.Seed, s.First+n)
			start.Members = append(start.Members, rollout.Member{Name: m.Name, Zone: m.Zone, Agent: addr})
			start.Reports = append(start.Reports, rollout.Report{Sidecar: m.Name, Release: oldRelease, Ready: true})
		}
	}
	if len(start.Members) != r.size {
		return fmt.Errorf("%d agents listen, of %d", len(start.Members), r.size)
	}
	start.Plan = rollout.Plan{Application: application, From: oldRelease, To: newRelease,
		MaxConcurrent: r.size, MaxUnavailable: r.size, BaselinePeriod: time.Hour, EvidenceTimeout: time.Hour,
		Judge:  rollout.JudgeConfig{FalseStopRate: 0.01, MissedStopRate: 0.05, MinEffect: 0.02},
		Stages: []rollout.Stage{{Selector: rollout.Selector{Share: 1}}}}
	if err := r.begin(ctx, "watched", &start); err != nil {
		return err
	}
	r.progress("the driver comes round")
	if _, err := r.crew.ask(ctx, func(span) question { return question{Await: &await{Calls: 2}} }); err != nil {
		return err
	}
	before, after, err := r.window(ctx, r.o.Steady)
	if err != nil {
		return err
	}
	if now := r.group.drives(); now != r.group.leader {
		return fmt.Errorf("coordinator %d drives, and %d leads", now+1, r.group.leader+1)
	}
	var followers []rates
	for i := range r.group.addrs {
		if i != r.group.leader {
			followers = append(followers, between(before, after, i, ""))
		}
	}
	v := between(before, after, r.group.leader, driverEnd)
	v.points(r.add, "driver")
	v.replica(r.add, "driver")
	v = mean(followers...)
	v.points(r.add, "follower")
	v.replica(r.add, "follower")
	betweenMembers(before, after, r.size).points(r.add, "agent")
	if err := r.state(ctx, "driver", application); err != nil {
		return err
	}
	return r.changeAll(ctx, start)
}

// changeAll times a change of all agents at once that has no judge: from when it was accepted until each sidecar runs
// the new release.
func (r *run) changeAll(ctx context.Context, start rollout.Start) error {
	r.progress("all change")
	abort := []rollout.Event{{Abort: "it was watched"}}
	if err := r.say(ctx, &rollout.Command{Application: application, Change: "watched", Events: abort}); err != nil {
		return err
	}
	start.Plan.BaselinePeriod, start.Plan.Judge = 0, rollout.JudgeConfig{Disabled: true}
	if err := r.begin(ctx, "changed", &start); err != nil {
		return err
	}
	accepted := int64(monotonic.Now())
	answers, err := r.crew.ask(ctx, func(span) question { return question{Await: &await{Release: newRelease}} })
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

// begin has the log begin a change.
func (r *run) begin(ctx context.Context, change string, start *rollout.Start) error {
	err := r.say(ctx, &rollout.Command{Application: application, Change: change, Start: start})
	if err == nil {
		return nil
	}
	err = fmt.Errorf("the change does not begin: %w", err)
	if errors.As(err, &refused{}) || fleet.IsPermanent(err) {
		return refused{err}
	}
	return err
}

// sayWithin is for how long a command is asked for.
const sayWithin = 20 * time.Second

func (r *run) say(ctx context.Context, c *rollout.Command) error {
	ctx, cancel := context.WithTimeout(ctx, sayWithin)
	defer cancel()
	c.AtMillis = time.Now().UnixMilli()
	told, err := r.group.operator.Call(ctx, fleet.Request{Rollout: c})
	if err == nil && told.Rollout.Error != "" {
		err = refused{errors.New(told.Rollout.Error)}
	}
	return err
}

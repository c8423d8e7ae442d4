package scale

import (
	"context"
	"fmt"
	"time"

	"petrelhook/internal/coordination/monotonic"
)

// killSize is the size at which coordinators are killed, besides Options.CheckSize.
const killSize = 250

// killFollower publishes versions at the rate of the busiest minute, and kills a follower halfway.
func (p *publisher) killFollower(ctx context.Context) error {
	if err := p.group.awaitLeader(ctx); err != nil {
		return err
	}
	return p.kill(ctx, (p.group.leader+1)%coordinators, "killed_")
}

// killLeader is the same with the leader.
func (p *publisher) killLeader(ctx context.Context) error {
	return p.kill(ctx, p.group.leader, "leader_killed_")
}

// kill kills coordinator i while versions are published, and restarts it once all are adopted.
func (p *publisher) kill(ctx context.Context, i int, prefix string) error {
	p.progress(fmt.Sprintf("coordinator %d is killed amid versions", i+1))
	var before, after []response
	from := int64(0)
	counted := make(chan error, 1)
	all, err := p.atRate(ctx, func() (err error) {
		if before, err = p.members.sample(ctx); err != nil {
			return err
		}
		from = int64(monotonic.Now())
		p.processes.kill(p.group.replicas[i])
		go func() { // nothing else calls the members until this has ended
			err := sleep(ctx, time.Second)
			if err == nil {
				after, err = p.members.sample(ctx)
			}
			counted <- err
		}()
		return nil
	})
	if from != 0 { // also if atRate failed: the goroutine is waited for
		if failed := <-counted; err == nil {
			err = failed
		}
	}
	if err != nil {
		return err
	}
	p.addRequestRates(before, after, i, from, all, prefix)
	if err := p.addTimes(ctx, all, prefix); err != nil {
		return err
	}
	c, err := p.group.start(i)
	if err != nil {
		return err
	}
	p.group.replicas[i] = c
	return p.group.awaitLeader(ctx)
}

// addRequestRates adds the rate of requests in the second after a coordinator was killed, at the survivor that got most, and an
// upper bound for it: members that waited at the killed one reconnect over ReconnectWindow, in the worst case all here; those that
// waited here send another request when their long poll ends; each member of a service with a new version sends two, one of them
// its report.
func (p *publisher) addRequestRates(before, after []response, killed int, from int64, all []published, prefix string) {
	sum := func(answers []response, addr string) (calls, waiting float64) {
		for _, a := range answers {
			calls += float64(a.Sample.Traffic[addr].MessagesIn)
			waiting += float64(a.Sample.Waiting[addr])
		}
		return calls, waiting
	}
	took := 0.0
	for i := range before {
		took = max(took, seconds(after[i].Sample.Time-before[i].Sample.Time))
	}
	membersOf := make([]int, len(p.services))
	for _, service := range p.services {
		membersOf[service]++
	}
	notified := 0.0
	for _, v := range all { // one accepted just before may not have been delivered yet
		if since := time.Duration(v.accepted - from); since > -time.Second && since < time.Duration(took*1e9) {
			notified += float64(membersOf[v.service])
		}
	}
	_, lost := sum(before, p.group.addrs[killed])
	var maxRate, bound float64
	for i, addr := range p.group.addrs {
		if i == killed {
			continue
		}
		was, waited := sum(before, addr)
		is, _ := sum(after, addr)
		if rate := (is - was) / took; rate >= maxRate {
			maxRate = rate
			bound = lost/subscriberOptions().ReconnectWindow.Seconds() + waited/(subscriberOptions().MaxWait*3/4).Seconds() + 2*notified/took
		}
	}
	p.add("coordinator", prefix+"asks_s", maxRate)
	p.add("coordinator", prefix+"asks_bound_s", bound)
	p.add("coordinator", prefix+"waited_there", lost)
}

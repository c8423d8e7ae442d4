package scale

import (
	"context"
	"fmt"
	"time"

	"petrelhook/internal/coordination/monotonic"
)

// killedAt is the size, beside the one that checks a fit, at which coordinators are killed.
const killedAt = 250

// killFollower is versions at the rate of the busiest minute while one that follows is killed halfway.
func (p *publishing) killFollower(ctx context.Context) error {
	if err := p.group.follow(ctx); err != nil {
		return err
	}
	return p.kill(ctx, (p.group.leader+1)%coordinators, "killed_")
}

// killLeader is the same with the one that leads.
func (p *publishing) killLeader(ctx context.Context) error {
	return p.kill(ctx, p.group.leader, "leader_killed_")
}

// kill kills a coordinator amid versions, and starts it anew once all were taken.
func (p *publishing) kill(ctx context.Context, i int, prefix string) error {
	p.progress(fmt.Sprintf("coordinator %d is killed amid versions", i+1))
	var before, after []answer
	from := int64(0)
	counted := make(chan error, 1)
	all, err := p.atRate(ctx, func() (err error) {
		if before, err = p.crew.sample(ctx); err != nil {
			return err
		}
		from = int64(monotonic.Now())
		p.family.kill(p.group.all[i])
		go func() { // until then nobody else asks the crew
			err := wait(ctx, time.Second)
			if err == nil {
				after, err = p.crew.sample(ctx)
			}
			counted <- err
		}()
		return nil
	})
	if from != 0 { // also where atRate failed: it is to end
		if failed := <-counted; err == nil {
			err = failed
		}
	}
	if err != nil {
		return err
	}
	p.asks(before, after, i, from, all, prefix)
	if err := p.times(ctx, all, prefix); err != nil {
		return err
	}
	c, err := p.group.start(i)
	if err != nil {
		return err
	}
	p.group.all[i] = c
	return p.group.follow(ctx)
}

// asks adds the calls in the second after a coordinator was killed, at the one of the others that got most, and the
// most that they may come to: those that waited at the killed one are back over the spread of their first ask, in the
// worst case all here; those that waited here ask again where a hold has ended; and each member of a service with a
// new version asks twice, with its report.
func (p *publishing) asks(before, after []answer, killed int, from int64, all []published, prefix string) {
	sum := func(answers []answer, addr string) (calls, waiting float64) {
		for _, a := range answers {
			calls += float64(a.Sample.Of[addr].MessagesIn)
			waiting += float64(a.Sample.Waiting[addr])
		}
		return calls, waiting
	}
	took := 0.0
	for i := range before {
		took = max(took, seconds(after[i].Sample.At-before[i].Sample.At))
	}
	of := make([]int, len(p.services))
	for _, service := range p.services {
		of[service]++
	}
	told := 0.0
	for _, v := range all { // one accepted just before is still on its way
		if since := time.Duration(v.accepted - from); since > -time.Second && since < time.Duration(took*1e9) {
			told += float64(of[v.service])
		}
	}
	_, lost := sum(before, p.group.addrs[killed])
	var most, bound float64
	for i, addr := range p.group.addrs {
		if i == killed {
			continue
		}
		was, waited := sum(before, addr)
		is, _ := sum(after, addr)
		if rate := (is - was) / took; rate >= most {
			most = rate
			bound = lost/subscriber().ReconnectWindow.Seconds() + waited/(subscriber().MaxWait*3/4).Seconds() + 2*told/took
		}
	}
	p.add("coordinator", prefix+"asks_s", most)
	p.add("coordinator", prefix+"asks_bound_s", bound)
	p.add("coordinator", prefix+"waited_there", lost)
}

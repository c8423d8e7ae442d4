package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/distribute"
)

// summaryTime is how long one coordinator may take for its summary.
const summaryTime = 2 * time.Second

// ErrOvertaken says that another version was published between the look at the newest and this one.
var ErrOvertaken = errors.New("another version was published meanwhile")

// Publish has a service's configuration accepted, once: content that is the newest already keeps its revision, which the log decides: where agents hold a newer
// one that a restored group has forgotten, it gets another.
func (o *Operator) Publish(ctx context.Context, service string, content []byte, stepsDone bool) (revision distribute.Revision, already bool, err error) {
	if content, err = distribute.Canonical(content); err != nil {
		return 0, false, fmt.Errorf("content: %w", err)
	}
	c := distribute.Command{Service: service, Content: content, StepsDone: stepsDone}
	if err := c.Check(); err != nil {
		return 0, false, err
	}
	told, err := o.Call(ctx, Request{Versions: &service})
	if err != nil {
		return 0, false, err
	}
	if len(told.Versions) > 0 {
		c.After = told.Versions[0].Revision
	}
	if told, err = o.Call(ctx, Request{Publish: &c}); err != nil {
		return 0, false, err
	}
	if told.Published.Refused != "" {
		return told.Published.Revision, false, fmt.Errorf("%s: %w", told.Published.Refused, ErrOvertaken)
	}
	return told.Published.Revision, told.Published.Revision == c.After, nil
}

// CoordinatorSummary is one coordinator's summary.
type CoordinatorSummary struct {
	Addr string
	Err  error
	distribute.SummaryResponse
}

// Summaries asks all coordinators, also those that only follow, at once: each knows what was told to it. Service "": of all services.
func (o *Operator) Summaries(ctx context.Context, service string) []CoordinatorSummary {
	ctx, cancel := context.WithTimeout(ctx, summaryTime)
	defer cancel()
	all := make([]CoordinatorSummary, len(o.Addrs))
	ended := make(chan struct{})
	for i, addr := range o.Addrs {
		go func() {
			defer func() { ended <- struct{}{} }()
			all[i].Addr = addr
			in := &distribute.SummaryRequest{Version: distribute.WireVersion, Service: service}
			client := Client[distribute.SummaryRequest, distribute.SummaryResponse](&o.over, addr, distribute.PathSummary)
			if res, err := client.CallUnary(ctx, connect.NewRequest(in)); err != nil {
				all[i].Err = err
			} else {
				all[i].SummaryResponse = *res.Msg
			}
		}()
	}
	for range o.Addrs {
		<-ended
	}
	return all
}

// InForce is how the newest versions stand, by service, by what all coordinators that answer have heard. Service "": of all services.
func (o *Operator) InForce(ctx context.Context, service string) (map[string]distribute.Summary, []CoordinatorSummary) {
	all := o.Summaries(ctx, service)
	by := map[string][]distribute.Summary{}
	for _, s := range all {
		for _, of := range s.Services {
			by[of.Service] = append(by[of.Service], of)
		}
	}
	merged := map[string]distribute.Summary{}
	for name, of := range by {
		merged[name] = distribute.Merge(of)
	}
	return merged, all
}

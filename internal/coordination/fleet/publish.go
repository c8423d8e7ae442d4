package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/distribute"
)

// summaryTimeout bounds the calls for the summaries of all coordinators, which run concurrently.
const summaryTimeout = 2 * time.Second

// ErrOvertaken means that another version was published after Publish had read the newest one.
var ErrOvertaken = errors.New("another version was published meanwhile")

// Publish publishes the configuration of a service. If the newest version has the same content, it keeps its revision and
// unchanged is true. The replicated log decides this: if agents have a newer revision, which a group that was restored from a
// backup does not know, the content gets a new revision all the same. The error is ErrOvertaken if another version was published
// at the same time.
func (o *Operator) Publish(ctx context.Context, service string, content []byte, stepsDone bool) (revision distribute.Revision, unchanged bool, err error) {
	if content, err = distribute.Canonical(content); err != nil {
		return 0, false, fmt.Errorf("content: %w", err)
	}
	c := distribute.Command{Service: service, Content: content, StepsDone: stepsDone}
	if err := c.Check(); err != nil {
		return 0, false, err
	}
	newest, err := o.Call(ctx, Request{Versions: &service})
	if err != nil {
		return 0, false, err
	}
	if len(newest.Versions) > 0 {
		c.After = newest.Versions[0].Revision
	}
	out, err := o.Call(ctx, Request{Publish: &c})
	if err != nil {
		return 0, false, err
	}
	if out.Published.Refused != "" {
		return out.Published.Revision, false, fmt.Errorf("%s: %w", out.Published.Refused, ErrOvertaken)
	}
	return out.Published.Revision, out.Published.Revision == c.After, nil
}

// CoordinatorSummary is the summary of one coordinator, or the error of the call.
type CoordinatorSummary struct {
	Addr string
	Err  error
	distribute.SummaryResponse
}

// Summaries requests the summaries of a service, or of all services if service is empty. It calls all coordinators concurrently,
// followers as well, because each has only the reports of the agents that watch at it.
func (o *Operator) Summaries(ctx context.Context, service string) []CoordinatorSummary {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	all := make([]CoordinatorSummary, len(o.Addrs))
	var calls sync.WaitGroup
	for i, addr := range o.Addrs {
		calls.Go(func() { all[i] = o.summary(ctx, addr, service) })
	}
	calls.Wait()
	return all
}

func (o *Operator) summary(ctx context.Context, addr, service string) CoordinatorSummary {
	in := &distribute.SummaryRequest{Version: distribute.WireVersion, Service: service}
	client := Client[distribute.SummaryRequest, distribute.SummaryResponse](o.client(), addr, distribute.PathSummary)
	res, err := client.CallUnary(ctx, connect.NewRequest(in))
	if err != nil {
		return CoordinatorSummary{Addr: addr, Err: err}
	}
	return CoordinatorSummary{Addr: addr, SummaryResponse: *res.Msg}
}

// InForce returns, by service, the summaries merged over all coordinators that answered, which tell on how many sidecars the
// newest version is in force. It also returns the summary of each coordinator. An empty service stands for all services.
func (o *Operator) InForce(ctx context.Context, service string) (map[string]distribute.Summary, []CoordinatorSummary) {
	all := o.Summaries(ctx, service)
	byService := map[string][]distribute.Summary{}
	for _, coordinator := range all {
		for _, summary := range coordinator.Services {
			byService[summary.Service] = append(byService[summary.Service], summary)
		}
	}
	merged := map[string]distribute.Summary{}
	for name, summaries := range byService {
		merged[name] = distribute.Merge(summaries)
	}
	return merged, all
}

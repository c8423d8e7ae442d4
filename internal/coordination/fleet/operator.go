package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/replica/disk"
)

// Operator asks coordinators on behalf of people.
type Operator struct {
	Addrs []string
	over  http.Client

	mu     sync.Mutex
	caller *Caller // it goes on from the coordinator that answered last
}

// ErrUnanswered says that no coordinator that leads has answered in time.
var ErrUnanswered = errors.New("no answer")

const (
	operatorPause = 50 * time.Millisecond
	// operatorTime is how long one coordinator is waited for: one that is stopped takes calls and answers none.
	operatorTime = 3 * time.Second
)

// Call asks until a coordinator that leads has answered, or ctx ends.
func (o *Operator) Call(ctx context.Context, in Request) (*Response, error) {
	o.mu.Lock()
	if o.caller == nil {
		o.caller = &Caller{Addrs: o.Addrs, HTTPClient: &o.over, RetryInterval: operatorPause, Timeout: operatorTime}
	}
	c := o.caller
	o.mu.Unlock()
	if once(&in) { // it is not given up while it may be done
		c = &Caller{Addrs: o.Addrs, HTTPClient: &o.over, RetryInterval: operatorPause}
	}
	told, err := c.Call(ctx, &in, nil)
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	return told, err
}

// Status asks one coordinator for what it knows of itself.
func (o *Operator) Status(ctx context.Context, addr string) (*Status, error) {
	res, err := Client[Empty, Status](&o.over, addr, PathStatus).CallUnary(ctx, connect.NewRequest(&Empty{Version}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// Check says what is wrong with the addresses.
func (o *Operator) Check() error {
	if len(o.Addrs) == 0 {
		return errors.New("--addrs: write the address of a coordinator")
	}
	for _, a := range o.Addrs {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("--addrs: %q: write host:port", a)
		}
	}
	return nil
}

// Restore begins a replica of a new group from a back-up; each of the group is begun with the same.
func Restore(c *Config, path string, above lease.Token) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	state, err := lease.RestoreNewGroup(text, above, c.LongestTTL)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return disk.Create(c.Data, c.ID, replica.InitialState(c.Replicas, state))
}

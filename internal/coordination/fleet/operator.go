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

// Operator sends the requests of the operators' tool to coordinators. It is safe for concurrent use.
type Operator struct {
	Addrs      []string
	HTTPClient *http.Client // nil: http.DefaultClient

	mu     sync.Mutex
	caller *Caller // reused, so that the next request goes to the coordinator that answered last
}

// ErrUnanswered means that no leader has answered in time.
var ErrUnanswered = errors.New("no answer")

const (
	operatorRetryInterval = 50 * time.Millisecond
	// operatorTimeout bounds a call to one coordinator, because a stopped process still accepts connections but never responds.
	operatorTimeout = 3 * time.Second
)

// Call sends a request until the leader has answered. The error wraps ErrUnanswered if ctx ends first; see Caller.Call for other
// errors.
func (o *Operator) Call(ctx context.Context, in Request) (*Response, error) {
	o.mu.Lock()
	if o.caller == nil {
		o.caller = &Caller{Addrs: o.Addrs, HTTPClient: o.client(), RetryInterval: operatorRetryInterval, Timeout: operatorTimeout}
	}
	c := o.caller
	o.mu.Unlock()
	if sentOnce(&in) { // without a timeout, so that it is not abandoned while it may still be executed
		c = &Caller{Addrs: o.Addrs, HTTPClient: o.client(), RetryInterval: operatorRetryInterval}
	}
	out, err := c.Call(ctx, &in, nil)
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	return out, err
}

// client returns the HTTP client for all calls.
func (o *Operator) client() *http.Client {
	if o.HTTPClient == nil {
		return http.DefaultClient
	}
	return o.HTTPClient
}

// Status returns the status of one coordinator.
func (o *Operator) Status(ctx context.Context, addr string) (*Status, error) {
	res, err := Client[Empty, Status](o.client(), addr, PathStatus).CallUnary(ctx, connect.NewRequest(&Empty{Version}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// errNoAddrs is the error of an Operator without addresses.
var errNoAddrs = errors.New("--addrs: write the address of a coordinator")

// Check returns an error if the addresses are missing or malformed. The error names the flag --addrs of petrelhookctl.
func (o *Operator) Check() error {
	if len(o.Addrs) == 0 {
		return errNoAddrs
	}
	for _, addr := range o.Addrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("--addrs: %q: write host:port", addr)
		}
	}
	return nil
}

// Restore creates the disk of a replica of a new group from a backup. Every replica of the group must be created from the same
// backup. minToken is the largest fencing token that is known to have been granted after the backup, or 0.
func Restore(c *Config, path string, minToken lease.Token) error {
	backup, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	state, err := lease.RestoreNewGroup(backup, minToken, c.MaxTTL)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return disk.Create(c.Data, c.ID, replica.InitialState(c.Replicas, state))
}

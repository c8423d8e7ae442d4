package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/rpc"
)

// Caller sends requests to coordinators, beginning with the one that answered last, until one that leads has answered. Requests have to be
// idempotent, for one whose response is lost is sent again; a change of the membership is not. A Caller is safe for concurrent use.
type Caller struct {
	Addrs      []string
	HTTPClient *http.Client
	// Timeout bounds one call; 0: only the context does.
	Timeout time.Duration
	// RetryInterval is the longest delay before the next coordinator is tried. Once all have been, the last one's response says how long.
	RetryInterval time.Duration

	mu      sync.Mutex
	current int // the index of the coordinator to try next
}

// Call sends a request until a leader answers it, or a coordinator refuses it permanently (IsPermanent), or ctx ends. A change of the
// membership ends with an error, too, where its outcome is unknown or another one is pending (replica.ErrMembershipChangePending). An
// error names the coordinator that was called last. beforeAttempt, unless it is nil, is called before each attempt.
func (c *Caller) Call(ctx context.Context, in *Request, beforeAttempt func()) (*Response, error) {
	in.Version = Version
	for attempt := 1; ; attempt++ {
		addr := c.currentAddr()
		if beforeAttempt != nil {
			beforeAttempt()
		}
		out, err := c.attempt(ctx, addr, in)
		if err == nil && out.Err == "" {
			return &out.Response, nil
		}
		delay, leader := c.RetryInterval, ""
		if err == nil {
			err = newResponseError(out.ErrorCode, out.Err)
			if sentOnce(in) && (out.OutcomeUnknown || errors.Is(err, replica.ErrMembershipChangePending)) {
				return nil, fmt.Errorf("%s: %w", addr, err)
			}
			if leader = out.Leader; attempt%len(c.Addrs) == 0 {
				delay = time.Duration(out.RetryAfterMs) * time.Millisecond
			}
		} else if IsPermanent(err) {
			return nil, fmt.Errorf("%s: %w", addr, err)
		}
		c.moveOn(leader)
		if !rpc.Sleep(ctx, withJitter(delay)) {
			return nil, fmt.Errorf("%s: %w: %w", addr, err, context.Cause(ctx))
		}
	}
}

func (c *Caller) currentAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Addrs[c.current]
}

// moveOn goes to the leader where it is known, else to the next coordinator.
func (c *Caller) moveOn(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.Addrs, leader); i >= 0 {
		c.current = i
	} else {
		c.current = (c.current + 1) % len(c.Addrs)
	}
}

// withJitter returns half to the whole of a delay, so that callers do not come back at the same moment.
func withJitter(delay time.Duration) time.Duration { return delay/2 + rand.N(delay/2+1) }

// attempt makes one call at one coordinator.
func (c *Caller) attempt(ctx context.Context, addr string, in *Request) (*codedResponse, error) {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	res, err := Client[Request, codedResponse](c.HTTPClient, addr, PathRequest).CallUnary(ctx, connect.NewRequest(in))
	if err != nil {
		return nil, err
	}
	out := res.Msg
	if out.Rollout.Error != "" {
		out.Rollout.Err = newResponseError(out.ErrorCode, out.Rollout.Error)
	}
	return out, nil
}

// sentOnce reports whether a request must not be sent again where the outcome is not known.
func sentOnce(in *Request) bool { return in.AddMember != nil || in.RemoveMember != 0 }

// IsPermanent reports whether an error of a call refuses the request permanently, so that it need not be sent again.
func IsPermanent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition, connect.CodeUnimplemented, connect.CodeResourceExhausted:
		return true
	}
	return false
}

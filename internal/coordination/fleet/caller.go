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

// Caller sends requests to coordinators until the leader has answered. It begins with the coordinator that answered last.
// Requests must be idempotent, because a request whose response is lost is sent again; changes of the membership are the
// exception, see Call. A Caller is safe for concurrent use.
type Caller struct {
	Addrs      []string
	HTTPClient *http.Client
	// Timeout bounds one attempt; 0: only the context does.
	Timeout time.Duration
	// RetryInterval is the maximum delay before the next coordinator is tried. After all have been tried, the last response gives
	// the maximum delay.
	RetryInterval time.Duration

	mu           sync.Mutex
	currentIndex int // the index of the coordinator to try next
}

// Call sends a request until the leader answers it, a coordinator rejects it permanently (see IsPermanent), or ctx ends. It sets
// the version of the request. A change of the membership also ends with an error if its outcome is unknown or another change is
// pending (replica.ErrMembershipChangePending). An error names the coordinator that was called last. beforeAttempt, unless nil,
// is called before each attempt.
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
		c.selectNext(leader)
		if !rpc.Sleep(ctx, withJitter(delay)) {
			return nil, fmt.Errorf("%s: %w: %w", addr, err, context.Cause(ctx))
		}
	}
}

func (c *Caller) currentAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Addrs[c.currentIndex]
}

// selectNext selects the coordinator of the next attempt: the leader if its address is known, or else the next in the list.
func (c *Caller) selectNext(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.Addrs, leader); i >= 0 {
		c.currentIndex = i
	} else {
		c.currentIndex = (c.currentIndex + 1) % len(c.Addrs)
	}
}

// withJitter returns a random duration between half of a delay and the whole delay, so that callers do not retry at the same
// moment.
func withJitter(delay time.Duration) time.Duration { return delay/2 + rand.N(delay/2+1) }

// attempt makes one call to one coordinator.
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

// sentOnce reports whether a request must not be sent again if its outcome is unknown.
func sentOnce(in *Request) bool { return in.AddMember != nil || in.RemoveMember != 0 }

// IsPermanent reports whether an error of a call means that the request is rejected permanently, so that a retry is useless.
func IsPermanent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition, connect.CodeUnimplemented, connect.CodeResourceExhausted:
		return true
	}
	return false
}

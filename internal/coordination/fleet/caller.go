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
)

// Caller asks coordinators, from the one that answered last on, until one that leads has answered. What is asked must do no harm if
// it is asked twice; a change of the replicas is asked once.
type Caller struct {
	Addrs         []string
	HTTPClient    *http.Client
	Timeout       time.Duration // for one call; 0: what the context leaves
	RetryInterval time.Duration // at most, before the next coordinator is asked; once all have been, they say how long

	mu sync.Mutex
	at int
}

// Call asks until there is an answer, the question is found to be wrong, or ctx ends. begin is called before each try; nil: nothing is.
func (c *Caller) Call(ctx context.Context, in *Request, begin func()) (*Response, error) {
	in.Version = Version
	last := errors.New("no coordinator was asked")
	for tries := 1; ; tries++ {
		c.mu.Lock()
		addr := c.Addrs[c.at]
		c.mu.Unlock()
		if begin != nil {
			begin()
		}
		told, err := c.try(ctx, addr, in)
		if err == nil && told.Err == "" {
			return told, nil
		}
		wait, leader := c.RetryInterval, ""
		if err == nil {
			err = errors.New(told.Err)
			if once(in) && (told.OutcomeUnknown || told.Err == replica.ErrMembershipChangePending.Error()) {
				return nil, fmt.Errorf("%s: %w", addr, err)
			}
			if leader = told.Leader; tries%len(c.Addrs) == 0 {
				wait = time.Duration(told.RetryAfterMs) * time.Millisecond
			}
		} else if IsPermanent(err) {
			return nil, fmt.Errorf("%s: %w", addr, err)
		}
		last = fmt.Errorf("%s: %w", addr, err)
		c.mu.Lock()
		if i := slices.Index(c.Addrs, leader); i >= 0 {
			c.at = i
		} else {
			c.at = (c.at + 1) % len(c.Addrs)
		}
		c.mu.Unlock()
		pause := time.NewTimer(wait/2 + rand.N(wait/2+1)) // not all at the same moment
		select {
		case <-ctx.Done():
			pause.Stop()
			return nil, fmt.Errorf("%w: %w", last, context.Cause(ctx))
		case <-pause.C:
		}
	}
}

func (c *Caller) try(ctx context.Context, addr string, in *Request) (*Response, error) {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	res, err := Client[Request, Response](c.HTTPClient, addr, PathRequest).CallUnary(ctx, connect.NewRequest(in))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// once reports whether a question is not asked again where nothing is known of its answer.
func once(in *Request) bool { return in.AddMember != nil || in.RemoveMember != 0 }

// IsPermanent reports whether an error of a call says that it is wrong, so that it need not be made again.
func IsPermanent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition, connect.CodeUnimplemented, connect.CodeResourceExhausted:
		return true
	}
	return false
}

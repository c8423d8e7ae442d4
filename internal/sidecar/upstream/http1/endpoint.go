package http1

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

// healthCheckTimeout limits one health check.
const healthCheckTimeout = time.Second

// endpoint is one server. It implements upstream.Endpoint.
type endpoint struct {
	pool *Pool
	// notAcceptingSince is when the server stopped accepting requests, in nanoseconds since the pool's epoch; 0 if it accepts
	// them.
	notAcceptingSince atomic.Int64

	// Guarded by Pool.mu:
	addr string
	idle []*conn // newest last
}

// NewEndpoint returns an endpoint, which accepts requests once Update has set its address.
func (p *Pool) NewEndpoint() upstream.Endpoint { return &endpoint{pool: p} }

// Update implements upstream.Endpoint. It closes the idle connections if the server has moved or does not accept requests.
func (e *endpoint) Update(addr string, accepting bool) {
	p := e.pool
	if accepting {
		e.notAcceptingSince.Store(0)
	} else if e.notAcceptingSince.Load() == 0 {
		e.notAcceptingSince.Store(int64(time.Since(p.epoch)))
	}
	p.mu.Lock()
	moved := addr != "" && addr != e.addr
	if moved {
		e.addr = addr
	}
	p.mu.Unlock()
	if moved || !accepting {
		p.closeIdle(e)
	}
}

// CloseIdle implements upstream.Endpoint.
func (e *endpoint) CloseIdle() { e.pool.closeIdle(e) }

// Send implements upstream.Endpoint.
func (e *endpoint) Send(ctx context.Context, c *upstream.Call) upstream.Outcome {
	return e.pool.send(ctx, e, c)
}

// graceOver reports whether it is too late to start a call to a server that has stopped accepting requests. The last tenth of the
// grace period is reserved for the first byte to arrive.
func (e *endpoint) graceOver(now time.Time) bool {
	since := e.notAcceptingSince.Load()
	return since > 0 && now.Sub(e.pool.epoch) >= time.Duration(since)+e.pool.DrainGrace*9/10
}

// CheckHealth implements upstream.Endpoint. The load report is taken from the response's header field or, if that has none, from
// its body.
func (e *endpoint) CheckHealth(ctx context.Context) upstream.Outcome {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	out := e.Send(ctx, &upstream.Call{
		Message: message.Request{Method: http.MethodGet, Target: e.pool.HealthCheckPath}, Expires: time.Now().Add(healthCheckTimeout),
	})
	if out.Result == upstream.Served && len(out.LoadReport) == 0 {
		out.LoadReport = parseReport(string(out.Reply.Body), e.pool.LoadReportFields)
	}
	out.Reply.Done()
	return out
}

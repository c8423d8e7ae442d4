package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/scenario"
)

// CrowdResult is the result of one crowd. Its requests are not operations: they are counted here and in the audit only.
type CrowdResult struct {
	Kind          scenario.CrowdKind
	Opened        int    // connections that were established
	ConnectFailed int    // connections that were not
	Closed        int    // connections that the other side closed before the crowd's end
	Requests      Counts // of the crowd, by result
}

// Clients of a crowd that send slowly send a byte each slowByteInterval; those that reconnect do so after reconnectDelay.
const (
	slowByteInterval = 200 * time.Millisecond
	reconnectDelay   = 10 * time.Millisecond
)

// crowd is one crowd: many clients that behave badly in the same way.
type crowd struct {
	*run
	scenario.Crowd
	number int
	class  *scenario.Class // of their requests: a safe one, where there is one
	result *CrowdResult    // guarded by run.result.mu
}

// crowds starts all crowds of the scenario, each at its time.
func (x *run) crowds(ctx context.Context) {
	for no, c := range x.scenario.Crowds {
		k := &crowd{run: x, Crowd: c, number: no, class: &x.scenario.Classes[0], result: &CrowdResult{Kind: c.Kind}}
		for i := range x.scenario.Classes {
			if x.scenario.Classes[i].Effect == scenario.Safe {
				k.class = &x.scenario.Classes[i]
				break
			}
		}
		x.result.Crowds = append(x.result.Crowds, k.result)
		for i := range c.Count {
			x.pending.Go(func() { k.runClient(ctx, i) })
		}
	}
}

// count changes the result under its lock.
func (k *crowd) count(f func(*CrowdResult)) {
	k.run.result.mu.Lock()
	defer k.run.result.mu.Unlock()
	f(k.result)
}

// runClient is one client of the crowd, from its arrival until the crowd is over.
func (k *crowd) runClient(ctx context.Context, i int) {
	ctx, cancel := context.WithDeadline(ctx, k.began.Add(k.At+k.Duration))
	defer cancel()
	waitForTimer(ctx, k.began.Add(k.At+k.ArrivalPeriod*time.Duration(i)/time.Duration(k.Count)))
	c := &client{
		dial: k.dial, addr: k.clients[i%len(k.clients)].addr, limit: &k.limit, onUnexpectedAnswer: k.recordUnexpectedAnswer,
	}
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		switch k.Kind {
		case scenario.IdleClients:
			k.holdOpen(ctx, c, nil)
			return
		case scenario.SlowHeads:
			k.holdOpen(ctx, c, []byte("GET /"+k.class.Name+" HTTP/1.1\r\nHost: a\r\nX-Filler: "))
			return
		case scenario.SlowBodies:
			k.holdOpen(ctx, c, k.largeHeader(i))
			return
		case scenario.SingleRequestClients:
			k.send(c, i, n)
			k.linger(ctx, c)
			return
		case scenario.ReconnectingClients:
			if k.send(c, i, n) == audit.Served {
				k.linger(ctx, c)
			}
			c.close()
		case scenario.OneConnectionPerRequest:
			k.send(c, i, n)
			c.close()
		case scenario.AbortedHeads:
			if nc, err := k.dial(ctx, "tcp", c.addr); err == nil {
				io.WriteString(nc, "GET /"+k.class.Name+" HT")
				sock.Abort(nc)
			}
		}
		waitForTimer(ctx, time.Now().Add(reconnectDelay))
	}
}

// dial counts the connections of a crowd.
func (k *crowd) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := k.Dial(ctx, network, addr)
	if err != nil {
		if ctx.Err() == nil {
			k.count(func(r *CrowdResult) { r.ConnectFailed++ })
		}
		return nil, err
	}
	k.count(func(r *CrowdResult) { r.Opened++ })
	return c, nil
}

// largeHeader is the header of a request with the largest body, of a class that has bodies, if there is one.
func (k *crowd) largeHeader(i int) []byte {
	class, key := k.class, ""
	for c := range k.scenario.Classes {
		if k.scenario.Classes[c].Effect != scenario.Safe {
			class = &k.scenario.Classes[c]
		}
	}
	if class.Effect == scenario.Keyed {
		key = fmt.Sprintf("Idempotency-Key: crowd-%d-%d\r\n", k.number, i)
	}
	return fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: crowd-%d-%d\r\nX-Qos: %s\r\n%sContent-Length: 65536\r\n\r\n",
		class.Name, k.number, i, class.Name, key)
}

// holdOpen opens a connection, sends the given bytes and then a byte each slowByteInterval, or nothing at all if there are none, until
// the crowd is over or the other side closes it.
func (k *crowd) holdOpen(ctx context.Context, c *client, first []byte) {
	if !c.limit.acquire() {
		return
	}
	defer c.limit.release()
	nc, err := k.dial(ctx, "tcp", c.addr)
	if err != nil {
		return
	}
	defer nc.Close()
	ended := make(chan error, 1)
	go func() { // answers are discarded; only the end of the connection matters
		_, err := io.Copy(io.Discard, nc)
		ended <- err
	}()
	_, _ = nc.Write(first)
	for {
		var slowly <-chan time.Time
		var t *time.Timer
		if first != nil {
			t = time.NewTimer(slowByteInterval)
			slowly = t.C
		}
		select {
		case <-slowly:
			_, _ = nc.Write([]byte("x"))
			continue
		case <-ctx.Done():
			nc.Close()
			<-ended
		case <-ended:
			k.count(func(r *CrowdResult) { r.Closed++ })
		}
		if t != nil {
			t.Stop()
		}
		return
	}
}

// send sends one request and counts its result.
func (k *crowd) send(c *client, i, n int) audit.Result {
	since := func() time.Duration { return time.Since(k.Zero) }
	q := &request{
		method: http.MethodGet, class: k.class.Name, trace: fmt.Sprintf("crowd-%d-%d-%d", k.number, i, n), subject: "0",
		operation: fmt.Sprintf("crowd-%d-%d-%d", k.number, i, n),
	}
	switch k.class.Effect {
	case scenario.Keyed:
		q.method, q.key = http.MethodPost, q.trace
	case scenario.Unsafe:
		q.method = http.MethodPost
	}
	call := audit.Call{
		Trace: q.trace, Operation: q.operation, Key: q.key, Class: q.class, Sidecar: i % len(k.clients), ScheduledAt: since(), Patience: k.class.Deadline,
	}
	if err := c.send(&call, q, k.scenario.Rules.Slack, since); errors.Is(err, errNoDescriptor) {
		return call.Result
	}
	if k.Calls != nil {
		k.Calls.Call(call)
	}
	k.count(func(r *CrowdResult) { r.Requests.add(call.Result, 1) })
	return call.Result
}

// linger keeps the connection, if it is still open, until the crowd is over or the other side closes it.
func (k *crowd) linger(ctx context.Context, c *client) {
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	if len(idle) == 0 {
		return
	}
	stop := context.AfterFunc(ctx, func() { idle[0].SetReadDeadline(time.Now()) })
	defer stop()
	if _, err := idle[0].reader.Peek(1); err != nil && ctx.Err() == nil {
		k.count(func(r *CrowdResult) { r.Closed++ })
	}
}

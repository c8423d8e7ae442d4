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

// CrowdResult is what came of one crowd. Its requests are no operations: they count here, and in the audit.
type CrowdResult struct {
	Kind   scenario.CrowdKind
	Opened int    // connections that came up
	Barred int    // connections that did not
	Closed int    // closed by the other side before the crowd was over
	Asked  Counts // requests, by what came of them
}

// A byte comes from those who send slowly every so long, and those who come back pause for this long between.
const (
	crowdByte  = 200 * time.Millisecond
	crowdPause = 10 * time.Millisecond
)

// crowd is one crowd at work.
type crowd struct {
	*run
	scenario.Crowd
	no     int
	class  *scenario.Class // of their requests: a safe one, where there is one
	result *CrowdResult    // guarded by run.result.mu
}

// crowds sends all crowds of the scenario, each at its time.
func (x *run) crowds(ctx context.Context) {
	for no, c := range x.s.Crowds {
		k := &crowd{run: x, Crowd: c, no: no, class: &x.s.Classes[0], result: &CrowdResult{Kind: c.Kind}}
		for i := range x.s.Classes {
			if x.s.Classes[i].Effect == scenario.Safe {
				k.class = &x.s.Classes[i]
				break
			}
		}
		x.result.Crowds = append(x.result.Crowds, k.result)
		for i := range c.Count {
			x.out.Go(func() { k.stranger(ctx, i) })
		}
	}
}

func (k *crowd) count(f func(*CrowdResult)) {
	k.run.result.mu.Lock()
	defer k.run.result.mu.Unlock()
	f(k.result)
}

// stranger is one of them, from when it comes until the crowd is over.
func (k *crowd) stranger(ctx context.Context, i int) {
	ctx, cancel := context.WithDeadline(ctx, k.began.Add(k.At+k.Duration))
	defer cancel()
	waitForTimer(ctx, k.began.Add(k.At+k.ArrivalPeriod*time.Duration(i)/time.Duration(k.Count)))
	c := &client{
		dial: k.dial, addr: k.clients[i%len(k.clients)].addr, room: &k.room, extra: k.extra,
	}
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		switch k.Kind {
		case scenario.IdleClients:
			k.stay(ctx, c, nil)
			return
		case scenario.SlowHeads:
			k.stay(ctx, c, []byte("GET /"+k.class.Name+" HTTP/1.1\r\nHost: a\r\nX-Filler: "))
			return
		case scenario.SlowBodies:
			k.stay(ctx, c, k.bigHead(i))
			return
		case scenario.SingleRequestClients:
			k.ask(c, i, n)
			k.linger(ctx, c)
			return
		case scenario.ReconnectingClients:
			if k.ask(c, i, n) == audit.Served {
				k.linger(ctx, c)
			}
			c.close()
		case scenario.OneConnectionPerRequest:
			k.ask(c, i, n)
			c.close()
		case scenario.AbortedHeads:
			if nc, err := k.dial(ctx, "tcp", c.addr); err == nil {
				io.WriteString(nc, "GET /"+k.class.Name+" HT")
				sock.Abort(nc)
			}
		}
		waitForTimer(ctx, time.Now().Add(crowdPause))
	}
}

// dial counts the connections of a crowd.
func (k *crowd) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := k.Dial(ctx, network, addr)
	if err != nil {
		if ctx.Err() == nil {
			k.count(func(r *CrowdResult) { r.Barred++ })
		}
		return nil, err
	}
	k.count(func(r *CrowdResult) { r.Opened++ })
	return c, nil
}

// bigHead is the head of a request with the largest body, of a class that has bodies, where there is one.
func (k *crowd) bigHead(i int) []byte {
	class, key := k.class, ""
	for c := range k.s.Classes {
		if k.s.Classes[c].Effect != scenario.Safe {
			class = &k.s.Classes[c]
		}
	}
	if class.Effect == scenario.Keyed {
		key = fmt.Sprintf("Idempotency-Key: crowd-%d-%d\r\n", k.no, i)
	}
	return fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: crowd-%d-%d\r\nX-Qos: %s\r\n%sContent-Length: 65536\r\n\r\n",
		class.Name, k.no, i, class.Name, key)
}

// stay opens a connection, sends what there is to send and then a byte now and then, or nothing at all, until the crowd
// is over or the other side has had enough.
func (k *crowd) stay(ctx context.Context, c *client, first []byte) {
	if !c.room.enter() {
		return
	}
	defer c.room.leave()
	nc, err := k.dial(ctx, "tcp", c.addr)
	if err != nil {
		return
	}
	defer nc.Close()
	ended := make(chan error, 1)
	go func() { // what is answered is of no interest; the end is
		_, err := io.Copy(io.Discard, nc)
		ended <- err
	}()
	_, _ = nc.Write(first)
	for {
		var slowly <-chan time.Time
		var t *time.Timer
		if first != nil {
			t = time.NewTimer(crowdByte)
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

// ask sends one request and counts what came of it.
func (k *crowd) ask(c *client, i, n int) audit.Result {
	since := func() time.Duration { return time.Since(k.Zero) }
	q := &request{
		method: http.MethodGet, class: k.class.Name, trace: fmt.Sprintf("crowd-%d-%d-%d", k.no, i, n), about: "0",
		op: fmt.Sprintf("crowd-%d-%d-%d", k.no, i, n),
	}
	switch k.class.Effect {
	case scenario.Keyed:
		q.method, q.key = http.MethodPost, q.trace
	case scenario.Unsafe:
		q.method = http.MethodPost
	}
	call := audit.Call{
		Trace: q.trace, Operation: q.op, Key: q.key, Class: q.class, Sidecar: i % len(k.clients), ScheduledAt: since(), Patience: k.class.Deadline,
	}
	if err := c.do(&call, q, k.s.Rules.Slack, since); errors.Is(err, errNoRoom) {
		return call.Result
	}
	if k.Calls != nil {
		k.Calls.Call(call)
	}
	k.count(func(r *CrowdResult) { r.Asked.add(call.Result, 1) })
	return call.Result
}

// linger keeps the connection, if there still is one, until the crowd is over or the other side closes it.
func (k *crowd) linger(ctx context.Context, c *client) {
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	if len(idle) == 0 {
		return
	}
	stop := context.AfterFunc(ctx, func() { idle[0].SetReadDeadline(time.Now()) })
	defer stop()
	if _, err := idle[0].in.Peek(1); err != nil && ctx.Err() == nil {
		k.count(func(r *CrowdResult) { r.Closed++ })
	}
}

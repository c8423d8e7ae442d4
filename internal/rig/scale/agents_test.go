package scale

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
)

// agentCaller calls three hollow agents, as a driver does.
type agentCaller struct {
	t      *testing.T
	agents *agents
	client *http.Client
}

// poll requests the status of agent i.
func (c agentCaller) poll(i int, in machine.StatusRequest) (*machine.Status, error) {
	client := rpc.Client[machine.StatusRequest, machine.Status](c.client, c.agents.agents()[i], machine.PathStatus, machine.MaxResponseBytes)
	res, err := client.CallUnary(c.t.Context(), connect.NewRequest(&in))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// order sends agent i an order.
func (c agentCaller) order(i int, o rollout.Order) (known bool, err error) {
	client := rpc.Client[machine.Order, machine.OrderResponse](c.client, c.agents.agents()[i], machine.PathOrder, machine.MaxResponseBytes)
	in := machine.Order{Version: machine.Version, Application: "app", Token: 4, Order: o}
	res, err := client.CallUnary(c.t.Context(), connect.NewRequest(&in))
	if err != nil {
		return false, err
	}
	return res.Msg.Known, nil
}

// checkHolds checks that a condition holds for a number of the three agents.
func (c agentCaller) checkHolds(w condition, count int) {
	c.t.Helper()
	ctx, cancel := context.WithCancel(c.t.Context())
	cancel()
	_, err := c.agents.await(ctx, &w)
	if count == 3 && err != nil || count < 3 && (err == nil || !strings.HasPrefix(err.Error(), string(rune('0'+count))+" of 3")) {
		c.t.Errorf("%+v: %v, want %d of 3", w, err, count)
	}
}

// Hollow agents answer as agents do: each at its own address, for its own sidecar, to drivers with growing tokens, an order once.
func TestAgents(t *testing.T) {
	a, err := joinAgents(&join{Members: span{5, 3}, Seed: 1, Application: "app", Release: "old"})
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
	defer client.CloseIdleConnections()
	c := agentCaller{t, a, client}
	c.checkPolls()
	c.checkOrders()
	s, err := a.sample()
	if at := s.Traffic[driverEnd]; err != nil || s.MinPolls != 1 || at.MessagesIn != 11 || at.MessagesOut != 11 || at.Open != 3 || at.In < 11*100 || at.Out < 11*100 {
		t.Errorf("%v: %+v", err, s)
	}
	since, err := a.await(t.Context(), &condition{Release: "new"})
	if err != nil || len(since) != 3 || since[0] == 0 || since[0] > since[1] || since[1] > since[2] {
		t.Errorf("%v, %v", since, err)
	}
}

// checkPolls polls each agent once, and one twice in ways that it rejects.
func (c agentCaller) checkPolls() {
	c.t.Helper()
	valid := machine.StatusRequest{Version: machine.Version, Application: "app", Token: 4}
	c.checkHolds(condition{Calls: 1}, 0)
	for i := range 3 {
		status, err := c.poll(i, valid)
		if err != nil || len(status.Sidecars) != 1 || status.Sidecars[0].Sidecar != drawMember(1, 5+i).Name || status.Sidecars[0].Release != "old" || !status.Sidecars[0].Ready {
			c.t.Errorf("%v: %+v", err, status)
		}
		c.checkHolds(condition{Calls: 1}, i+1)
	}
	for want, in := range map[connect.Code]machine.StatusRequest{
		connect.CodeAborted:            {Version: machine.Version, Application: "app", Token: 3},
		connect.CodeFailedPrecondition: {Version: machine.Version, Application: "other"},
	} {
		if _, err := c.poll(1, in); connect.CodeOf(err) != want {
			c.t.Errorf("%+v: %v", in, err)
		}
	}
}

// checkOrders sends each agent an order twice, and one the order of a sidecar that it does not have.
func (c agentCaller) checkOrders() {
	c.t.Helper()
	c.checkHolds(condition{Release: "new"}, 0)
	for i := range 3 {
		o := rollout.Order{Number: 7, Sidecar: drawMember(1, 5+i).Name, Release: "new"}
		known, err := c.order(i, o)
		knownAgain, errAgain := c.order(i, o)
		if err != nil || known || errAgain != nil || !knownAgain {
			c.t.Errorf("%v %v, %v %v", known, err, knownAgain, errAgain)
		}
		c.checkHolds(condition{Release: "new"}, i+1)
	}
	if _, err := c.order(0, rollout.Order{Number: 8, Sidecar: "x", Release: "old"}); connect.CodeOf(err) != connect.CodeNotFound {
		c.t.Error(err)
	}
}

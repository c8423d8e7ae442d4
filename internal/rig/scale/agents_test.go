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

// Hollow agents answer as agents do: each at its own address, for its own sidecar, a driver's token after the other, an order once.
func TestAgents(t *testing.T) {
	a, err := joinAgents(&join{Members: span{5, 3}, Seed: 1, Application: "app", Release: "old"})
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	over := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
	defer over.CloseIdleConnections()
	look := func(i int, in machine.StatusRequest) (*machine.Status, error) {
		res, err := rpc.Client[machine.StatusRequest, machine.Status](over, a.agents()[i], machine.PathStatus, machine.MaxResponseBytes).CallUnary(t.Context(), connect.NewRequest(&in))
		if err != nil {
			return nil, err
		}
		return res.Msg, nil
	}
	order := func(i int, o rollout.Order) (known bool, err error) {
		in := machine.Order{Version: machine.Version, Application: "app", Token: 4, Order: o}
		res, err := rpc.Client[machine.Order, machine.OrderResponse](over, a.agents()[i], machine.PathOrder, machine.MaxResponseBytes).CallUnary(t.Context(), connect.NewRequest(&in))
		if err != nil {
			return false, err
		}
		return res.Msg.Known, nil
	}
	holds := func(w await, done int) { // of three
		t.Helper()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := a.await(ctx, &w)
		if done == 3 && err != nil || done < 3 && (err == nil || !strings.HasPrefix(err.Error(), string(rune('0'+done))+" of 3")) {
			t.Errorf("%+v: %v, want %d of 3", w, err, done)
		}
	}
	good := machine.StatusRequest{Version: machine.Version, Application: "app", Token: 4}
	holds(await{Calls: 1}, 0)
	for i := range 3 {
		seen, err := look(i, good)
		if err != nil || len(seen.Sidecars) != 1 || seen.Sidecars[0].Sidecar != drawMember(1, 5+i).Name || seen.Sidecars[0].Release != "old" || !seen.Sidecars[0].Ready {
			t.Errorf("%v: %+v", err, seen)
		}
		holds(await{Calls: 1}, i+1)
	}
	for want, in := range map[connect.Code]machine.StatusRequest{
		connect.CodeAborted:            {Version: machine.Version, Application: "app", Token: 3},
		connect.CodeFailedPrecondition: {Version: machine.Version, Application: "other"},
	} {
		if _, err := look(1, in); connect.CodeOf(err) != want {
			t.Errorf("%+v: %v", in, err)
		}
	}
	holds(await{Release: "new"}, 0)
	for i := range 3 {
		o := rollout.Order{Number: 7, Sidecar: drawMember(1, 5+i).Name, Release: "new"}
		known, err := order(i, o)
		again, twice := order(i, o)
		if err != nil || known || twice != nil || !again {
			t.Errorf("%v %v, %v %v", known, err, again, twice)
		}
		holds(await{Release: "new"}, i+1)
	}
	if _, err := order(0, rollout.Order{Number: 8, Sidecar: "x", Release: "old"}); connect.CodeOf(err) != connect.CodeNotFound {
		t.Error(err)
	}
	s, err := a.sample()
	if at := s.Of[driverEnd]; err != nil || s.Least != 1 || at.MessagesIn != 11 || at.MessagesOut != 11 || at.Open != 3 || at.In < 11*100 || at.Out < 11*100 {
		t.Errorf("%v: %+v", err, s)
	}
	since, err := a.await(t.Context(), &await{Release: "new"})
	if err != nil || len(since) != 3 || since[0] == 0 || since[0] > since[1] || since[1] > since[2] {
		t.Errorf("%v, %v", since, err)
	}
}

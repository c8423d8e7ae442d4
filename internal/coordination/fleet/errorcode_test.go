package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
)

// fakeCoordinator starts a fake coordinator that sends the same response, of type Res, to every request, and returns a Caller for
// it.
func fakeCoordinator[Res any](t *testing.T, response Res) *Caller {
	t.Helper()
	mux := http.NewServeMux()
	rpc.Handle(mux, PathRequest, maxRequestBytes, func(context.Context, *Request) (*Res, error) { return &response, nil })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return &Caller{Addrs: []string{server.Listener.Addr().String()}, HTTPClient: server.Client()}
}

// The error of a pending change of the membership ends a request that must not be repeated. The error is identified by its
// code, whatever the text says, or by its text if a coordinator of an earlier version sends no code. After any other error the
// request is attempted again.
func TestPendingMembershipChangeIsRecognized(t *testing.T) {
	const text = "a change of the replicas is on its way"
	for name, caller := range map[string]*Caller{
		"by its code": fakeCoordinator(t, codedResponse{Response{Err: "one change at a time"}, codeMembershipChangePending}),
		"by its text": fakeCoordinator(t, Response{Err: text}),
		"by both":     fakeCoordinator(t, codedResponse{Response{Err: text}, codeMembershipChangePending}),
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		_, err := caller.Call(ctx, &Request{RemoveMember: 2}, nil)
		if !errors.Is(err, replica.ErrMembershipChangePending) || ctx.Err() != nil {
			t.Errorf("%s: %v", name, err)
		}
		if want := map[bool]string{true: "one change at a time", false: text}[name == "by its code"]; !strings.HasSuffix(fmt.Sprint(err), ": "+want) {
			t.Errorf("%s: %v, want the coordinator's text %q", name, err, want)
		}
		cancel()
	}
	for name, caller := range map[string]*Caller{
		"another error":    fakeCoordinator(t, Response{Err: "another replica leads"}),
		"an unknown code":  fakeCoordinator(t, codedResponse{Response{Err: "too many requests are pending"}, "of_a_later_version"}),
		"a text around it": fakeCoordinator(t, Response{Err: "it seems that " + text}),
	} {
		ctx, cancel := context.WithCancel(context.Background())
		attempts := 0
		_, err := caller.Call(ctx, &Request{RemoveMember: 2}, func() {
			if attempts++; attempts == 3 {
				cancel()
			}
		})
		if attempts < 3 || errors.Is(err, replica.ErrMembershipChangePending) {
			t.Errorf("%s: %d attempts, %v", name, attempts, err)
		}
		cancel()
	}
}

// A response with an error has the text under its recorded key, and the code under an additional key. A response without an error
// has the recorded form.
func TestFormOfCodedResponses(t *testing.T) {
	for want, response := range map[string]codedResponse{
		`{"err":"a change of the replicas is on its way","err_code":"membership_change_pending"}`: {
			Response{Err: replica.ErrMembershipChangePending.Error()}, codeOf(replica.ErrMembershipChangePending)},
		`{"err":"another replica leads"}`: {Response{Err: replica.ErrNotLeader.Error()}, codeOf(replica.ErrNotLeader)},
		`{"rollout":{"err":"a newer driver was heard","events":3},"err_code":"stale_driver"}`: {
			Response{Rollout: rollout.Response{Error: rollout.ErrStaleDriver.Error(), EventCount: 3, Err: rollout.ErrStaleDriver}}, codeOf(rollout.ErrStaleDriver)},
		`{"alive":true}`: {Response{SessionAlive: true}, codeOf(nil)},
	} {
		text, err := json.Marshal(response)
		if err != nil || string(text) != want {
			t.Errorf("%s, %v, want %s", text, err, want)
		}
	}
}

// The error for a driver with a stale token has a code and a text. A client of an earlier version, which reads a plain Response,
// gets the same text.
func TestStaleDriverIsRecognized(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config := SingleConfig(t.TempDir(), ln.Addr().String())
	config.Tick = 5 * time.Millisecond
	server, err := Open(config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, ln) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()

	caller := &Caller{Addrs: []string{config.Addr()}, HTTPClient: http.DefaultClient, RetryInterval: 10 * time.Millisecond}
	start := &rollout.Start{Members: []rollout.Member{{Name: "n0"}}, Reports: []rollout.Report{{Sidecar: "n0", Release: "old", Ready: true}},
		Plan: rollout.Plan{Application: "app", From: "old", To: "new", MaxConcurrent: 1, MaxUnavailable: 1, ProgressTimeout: time.Minute,
			Judge: rollout.JudgeConfig{Disabled: true}, Stages: []rollout.Stage{{Selector: rollout.Selector{Share: 1}}}}}
	for _, command := range []rollout.Command{
		{Application: "app", Change: "c", Start: start},
		{Application: "app", Change: "c", Token: 7, Events: []rollout.Event{{Elapsed: time.Second}}},
	} {
		if out, err := caller.Call(ctx, &Request{Rollout: &command}, nil); err != nil || out.Rollout.Error != "" || out.Rollout.Err != nil {
			t.Fatalf("%+v, %v", out, err)
		}
	}
	stale := &Request{Version: Version, Rollout: &rollout.Command{Application: "app", Change: "c", Token: 6, KnownEvents: 1,
		Events: []rollout.Event{{Elapsed: time.Second}}}}
	out, err := caller.Call(ctx, stale, nil)
	if err != nil || !errors.Is(out.Rollout.Err, rollout.ErrStaleDriver) || out.Rollout.Error != "a newer driver was heard" {
		t.Errorf("%+v, %v", out, err)
	}
	earlier, err := Client[Request, Response](http.DefaultClient, config.Addr(), PathRequest).CallUnary(ctx, connect.NewRequest(stale))
	if err != nil || earlier.Msg.Rollout.Error != "a newer driver was heard" || earlier.Msg.Rollout.EventCount != 1 {
		t.Errorf("%+v, %v", earlier, err)
	}
	for _, response := range []Response{{Rollout: rollout.Response{Error: "a newer driver was heard"}}, {Rollout: rollout.Response{Error: "there is no such change"}}} {
		out, err := fakeCoordinator(t, response).Call(ctx, stale, nil)
		if err != nil || errors.Is(out.Rollout.Err, rollout.ErrStaleDriver) != (response.Rollout.Error == "a newer driver was heard") || out.Rollout.Err.Error() != response.Rollout.Error {
			t.Errorf("%+v, %v", out, err)
		}
	}
}

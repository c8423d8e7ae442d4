package counts

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"reflect"
	"testing"
	"time"

	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/upstream"
)

// coreFunc is a front.Core that answers requests by calling the function.
type coreFunc func(context.Context) (front.Answer, error)

func (c coreFunc) Answer(ctx context.Context, _ front.Request) (front.Answer, error) { return c(ctx) }

// Each outcome of a request is counted once in its own counter. A request that was not accepted or has an unknown class is not
// counted.
func TestOutcomesAreCounted(t *testing.T) {
	var a front.Answer
	var err error
	f := New(coreFunc(func(context.Context) (front.Answer, error) { return a, err }), []front.Class{{Name: "a"}, {Name: "b"}})
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for i, c := range []struct {
		ctx     context.Context
		verdict front.Verdict
		err     error
	}{{t.Context(), front.Served, nil}, {t.Context(), front.Refused, nil}, {t.Context(), front.Refused, nil}, {t.Context(), front.Failed, nil},
		{cancelled, 0, context.Canceled}, {t.Context(), 0, front.ErrInvalid}} {
		a.Verdict, err = c.verdict, c.err
		if _, got := f.Answer(c.ctx, front.Request{Class: 1, Arrived: time.Now().Add(-time.Second)}); !errors.Is(got, c.err) {
			t.Errorf("%d: %v", i, got)
		}
		f.Answer(c.ctx, front.Request{Class: 7})
	}
	want := Class{Name: "b", Served: 1, Refused: 2, Failed: 1, ClientGone: 1}
	want.Latency[Bucket(time.Second)] = 1
	if got := f.Snapshot(); got[1] != want || got[0] != (Class{Name: "a"}) {
		t.Errorf("%+v", got)
	}
}

func TestBucket(t *testing.T) {
	for latency, want := range map[time.Duration]int{0: 0, 250 * time.Microsecond: 0, 251 * time.Microsecond: 1, 500 * time.Microsecond: 4, time.Millisecond: 8, 2 * time.Millisecond: 12, time.Hour: Buckets - 1} {
		if got := Bucket(latency); got != want {
			t.Errorf("%v: %d, want %d", latency, got, want)
		}
	}
}

// fakeServers is an upstream.Servers that does nothing.
type fakeServers struct{}

func (s fakeServers) NewEndpoint() upstream.Endpoint                            { return s }
func (fakeServers) Update(string, bool)                                         {}
func (fakeServers) CloseIdle()                                                  {}
func (fakeServers) Send(context.Context, *upstream.Call) (out upstream.Outcome) { return }
func (fakeServers) CheckHealth(context.Context) (out upstream.Outcome)          { return }
func dial(context.Context, string, string) (c net.Conn, err error)              { return }

// Attempts, connections and health checks are counted separately. A report can be decoded, and so can one of an earlier version,
// whose ServerUse is nil rather than zero.
func TestServerUse(t *testing.T) {
	s := &Servers{Servers: fakeServers{}}
	for range 3 {
		s.NewEndpoint().Send(t.Context(), nil)
	}
	s.NewEndpoint().CheckHealth(t.Context())
	s.Dial(dial)(t.Context(), "tcp", "x")
	text, _ := json.Marshal(Report{[]Class{{Name: "a", Served: 7}}, s.Snapshot()})
	for text, want := range map[string]*ServerUse{string(text): {3, 1, 1}, ` [{"name": "a", "served": 7}]`: nil} {
		var got Report
		if err := json.Unmarshal([]byte(text), &got); err != nil || len(got.Classes) != 1 || got.Classes[0].Served != 7 || !reflect.DeepEqual(got.ServerUse, want) {
			t.Errorf("%s: %+v, %v", text, got, err)
		}
	}
}

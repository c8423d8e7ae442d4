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

type core func(context.Context) (front.Answer, error)

func (c core) Answer(ctx context.Context, _ front.Request) (front.Answer, error) { return c(ctx) }

// Each end of a request is counted once, under its own name, and what was not taken nowhere.
func TestOutcomesAreCounted(t *testing.T) {
	var a front.Answer
	var err error
	f := New(core(func(context.Context) (front.Answer, error) { return a, err }), []front.Class{{Name: "a"}, {Name: "b"}})
	gone, leave := context.WithCancel(t.Context())
	leave()
	for i, c := range []struct {
		ctx context.Context
		v   front.Verdict
		err error
	}{{t.Context(), front.Served, nil}, {t.Context(), front.Refused, nil}, {t.Context(), front.Refused, nil}, {t.Context(), front.Failed, nil},
		{gone, 0, context.Canceled}, {t.Context(), 0, front.ErrInvalid}} {
		a.Verdict, err = c.v, c.err
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
	for took, want := range map[time.Duration]int{0: 0, 250 * time.Microsecond: 0, 251 * time.Microsecond: 1, 500 * time.Microsecond: 4, time.Millisecond: 8, 2 * time.Millisecond: 12, time.Hour: Buckets - 1} {
		if got := Bucket(took); got != want {
			t.Errorf("%v: %d, want %d", took, got, want)
		}
	}
}

type servers struct{}

func (s servers) NewEndpoint() upstream.Endpoint                            { return s }
func (servers) Update(string, bool)                                         {}
func (servers) CloseIdle()                                                  {}
func (servers) Send(context.Context, *upstream.Call) (out upstream.Outcome) { return }
func (servers) CheckHealth(context.Context) (out upstream.Outcome)          { return }
func dial(context.Context, string, string) (c net.Conn, err error)          { return }

// What is asked of servers is counted by its kind; what a process tells is read again, and so is what one of an earlier version tells,
// which has no effort rather than none used.
func TestServerUse(t *testing.T) {
	s := &Servers{Servers: servers{}}
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

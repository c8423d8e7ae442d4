package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"petrelhook/internal/coordination/distribute"
)

// What a member's client gives it is checked once more: not the same or an older one again, not another service's.
func TestTake(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	good := func(r distribute.Revision) distribute.Version {
		return distribute.Version{Service: "s0001", Revision: r, Content: content("s0001", int(r))}
	}
	foreign, wrong := good(6), good(6)
	foreign.Service = "s0002"
	wrong.Content = content("s0002", 6)
	for want, last := range map[string]distribute.Version{
		"":                                good(6),
		"took revision 5 after 5":         good(5),
		"took revision 4 after 5":         good(4),
		"took revision 6, which i":        foreign,
		"is of s0001: {\"for\":\"s0002\"": wrong,
	} {
		w := &subscribers{changed: make(chan struct{})}
		m := &subscriber{member: member{Name: "n"}, service: "s0001", number: 3}
		w.all = []*subscriber{m}
		before := w.changed
		for _, v := range []distribute.Version{good(2), good(5), last} {
			w.adopt(m, &v)
		}
		select {
		case <-before:
		default:
			t.Error("nobody was woken")
		}
		_, err := w.sample()
		if want == "" {
			takes, bad := w.adoptedSince(5)
			if err != nil || bad != nil || len(takes) != 2 || takes[0].Revision != 5 || takes[1].Revision != 6 || takes[1].Member != 3 || takes[1].Time < takes[0].Time {
				t.Errorf("%v, %v: %+v", err, bad, takes)
			}
			if _, err := w.await(t.Context(), &condition{Revisions: map[string]distribute.Revision{"s0001": 6, "s0002": 9}}); err != nil {
				t.Error(err)
			}
			for name, not := range map[string]condition{"a version": {Revisions: map[string]distribute.Revision{"s0001": 7}}, "an answer": {Calls: 1}} {
				if _, err := w.await(ended, &not); err == nil || !strings.HasPrefix(err.Error(), "0 of 1") {
					t.Errorf("%v: %s is not there", err, name)
				}
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
		if _, err := w.await(ended, &condition{Revisions: map[string]distribute.Revision{"s0001": 9}}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: who waits does not hear of %s", err, want)
		}
	}
}

// How long versions took, by hand: a newer one counts for those before it; and what fails a run.
func TestInForce(t *testing.T) {
	const s = 1_000_000_000
	services := []int{0, 1, 0}
	all := []published{{0, 1, 9 * s, 10 * s}, {1, 2, 9 * s, 11 * s}, {0, 3, 9 * s, 12 * s}}
	good := []adoption{{0, 1, 11 * s}, {0, 3, 14 * s}, {1, 2, 11*s - 5}, {2, 3, 13 * s}} // member 2 was told the newest alone
	took, err := inForce(all, services, good)
	if fmt.Sprint(took, err) != "[0 1 1 2 3] <nil>" {
		t.Error(took, err)
	}
	if last := newest(all); len(last) != 2 || last["s0000"] != 3 || last["s0001"] != 2 {
		t.Error(last)
	}
	for want, takes := range map[string][]adoption{
		"member 2 of s0000 never took revision 1":                       good[:3],
		"member 0 of s0000 took revision 2, which is not its service's": append([]adoption{{0, 2, 0}}, good...),
		"member 0 of s0000 took revision 9, which is not its service's": append([]adoption{{0, 9, 0}}, good...),
		"member 0 took revision 1 after 1":                              append([]adoption{{0, 1, 0}}, good...),
		"member 0 took revision 1 after 3":                              append([]adoption{{0, 3, 0}}, good...),
		"there is no member 3":                                          append([]adoption{{3, 1, 0}}, good...),
	} {
		if _, err := inForce(all, services, takes); err == nil || err.Error() != want {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// Each service has a member, some have many; the same in every process. A version has its size, and says whose it is.
func TestDrawServices(t *testing.T) {
	all, same := drawServices(3, 12_000), drawServices(3, 12_000)
	of := map[int]int{}
	for i, s := range all {
		if of[s]++; s != same[i] || s < 0 || s >= 1100 {
			t.Fatalf("%d: %d, %d", i, s, same[i])
		}
	}
	ones, most := 0, 0
	for _, n := range of {
		if most = max(most, n); n < 5 {
			ones++
		}
	}
	if len(of) != 1100 || most < 400 || most > 800 || ones < 200 {
		t.Errorf("%d services, the largest of %d, %d of under five", len(of), most, ones)
	}
	if one := drawServices(3, 5); len(one) != 5 || one[0] != 0 || one[4] != 0 {
		t.Error(one)
	}
	text := content("s0017", 5)
	var v map[string]any
	if canonical, err := distribute.Canonical(text); err != nil || !bytes.Equal(canonical, text) || len(text) != 4096 || json.Unmarshal(text, &v) != nil || v["for"] != "s0017" {
		t.Errorf("%v: %s", err, text)
	}
	if bytes.HasPrefix(text, contentPrefix("s001")) || bytes.Equal(text, content("s0017", 6)) {
		t.Errorf("%s", text)
	}
}

// A member's transport counts what a relay on its way counts, with the connections that have ended.
func TestCounting(t *testing.T) {
	refuse := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprint(w, "yes")
	}))
	defer server.Close()
	r, err := newRelay(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	answered := 0
	c := counters{r.addr: &counter{}}
	client := &http.Client{Transport: newCountingTransport(c, func() { answered++ })}
	for i := range 6 {
		refuse = i == 4
		res, err := client.Post("http://"+r.addr, "text/plain", strings.NewReader("what?"))
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if i == 2 {
			client.CloseIdleConnections()
			if open := c[r.addr].traffic().Open; open != 0 {
				t.Errorf("%d are open", open)
			}
		}
	}
	got, want := c[r.addr].traffic(), r.traffic()
	if got.In != want.In || got.Out != want.Out || got.MessagesIn != 6 || got.MessagesOut != 6 || got.Open != 1 || answered != 5 {
		t.Errorf("%+v, the relay %+v; %d answered", got, want, answered)
	}
}

// The calls in the second after a kill, and the most they may come to, by hand.
func TestAsks(t *testing.T) {
	const s = 1_000_000_000
	p := &publisher{run: &run{group: &coordinatorGroup{addrs: []string{"a", "b", "c"}}}, services: []int{0, 0, 0, 1}}
	one := func(at int64, a, b, c uint64) []response {
		return []response{{Sample: &sample{Time: at, Waiting: map[string]int{"a": 40, "b": 30, "c": 15},
			Traffic: map[string]traffic{"a": {MessagesIn: a}, "b": {MessagesIn: b}, "c": {MessagesIn: c}}}}}
	}
	all := []published{{0, 1, 7 * s, 8 * s}, {0, 2, 7 * s, 10 * s}, {1, 3, 7 * s, 13 * s}}
	p.addRequestRates(one(10*s, 100, 50, 60), one(12*s, 900, 70, 120), 0, 10*s, all, "x_")
	want := map[string]float64{"x_asks_s": 30, "x_asks_bound_s": 40/2. + 15/3.75 + 2*3/2., "x_waited_there": 40}
	for _, point := range p.points {
		if want[point.Metric] != point.Value || point.Role != "coordinator" {
			t.Errorf("%+v, want %v", point, want[point.Metric])
		}
	}
	if len(p.points) != 3 {
		t.Error(p.points)
	}
}

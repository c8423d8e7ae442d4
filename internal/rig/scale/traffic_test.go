package scale

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A relay, and the system's counts of a process's own connections, agree on what HTTP exchanges carry.
func TestRelayAndSocketsAgree(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "yes") }))
	defer server.Close()
	r, err := newRelay(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	own, err := newSockets([]string{r.addr})
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	post := func(n int) {
		for range n {
			res, err := client.Post("http://"+r.addr, "text/plain", strings.NewReader("what?"))
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, res.Body) // a connection is reused only after all was read
			res.Body.Close()
		}
	}
	post(1)
	before, err := own.poll()
	first := r.traffic()
	if err != nil || before[r.addr].MessagesIn != 1 || before[r.addr].Open != 1 || first.Open != 1 {
		t.Errorf("%v: %+v, %+v", err, before, first)
	}
	post(9)
	client.CloseIdleConnections()
	post(1) // over another connection: the traffic of the first stays counted
	after, err := own.poll()
	all := r.traffic()
	if all.MessagesIn != 11 || all.MessagesOut != 11 || all.In != 11*first.In || all.Out != 11*first.Out {
		t.Errorf("%+v, the first %+v", all, first)
	}
	// The nine were not polled before their connection ended.
	if got := after[r.addr]; err != nil || got.MessagesIn != 2 || got.In != 2*first.In || got.Out != 2*first.Out {
		t.Errorf("%v: %+v, the relay %+v", err, got, all)
	}
}

// The transport of a member counts what a relay in its path counts, including connections that have ended.
func TestCountingTransport(t *testing.T) {
	reject := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if reject {
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
		reject = i == 4
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

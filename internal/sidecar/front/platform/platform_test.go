package platform

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/admission"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/lifecycle"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
)

// fakeCore is a front.Core that answers each request by calling answer.
type fakeCore struct {
	accepted atomic.Int32
	answer   func(ctx context.Context, r front.Request) (front.Answer, error)
}

func (c *fakeCore) Answer(ctx context.Context, r front.Request) (front.Answer, error) {
	c.accepted.Add(1)
	return c.answer(ctx, r)
}

func served(context.Context, front.Request) (front.Answer, error) {
	return front.Answer{Verdict: front.Served, Reply: message.Reply{Body: []byte("hi")}}, nil
}

// testMemory is the memory budget of a rig in bytes: enough for a few of the longest bodies that are kept in memory.
const testMemory = 300_000

// rig runs the front with a fake core.
type rig struct {
	t    *testing.T
	core *fakeCore
	// closeListener replaces the timer that closes the listener after stop: a send closes it.
	closeListener chan time.Time
	addr          string
	lifecycle     *lifecycle.Machine
	memory        *membudget.Budget
	ended         chan error
	accepted      *peertest.AcceptedConns
}

func newRig(t *testing.T, answer func(context.Context, front.Request) (front.Answer, error)) *rig {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := &peertest.AcceptedConns{Listener: ln}
	r := &rig{t: t, accepted: accepted, core: &fakeCore{answer: answer}, closeListener: make(chan time.Time, 1), addr: ln.Addr().String(), lifecycle: lifecycle.New(), memory: membudget.New(testMemory), ended: make(chan error, 1)}
	maxDeadline := 10 * time.Second
	server := New(Settings{MemoryBudget: r.memory, Admission: admission.Config{MaxConnections: 100, Horizon: time.Second}, Tenants: []string{"acme"}, Classes: []front.Class{
		{Name: "look", Effect: front.Safe, Deadline: maxDeadline}, {Name: "book", Effect: front.Keyed, Deadline: maxDeadline}, {Name: "once", Effect: front.Unsafe, Deadline: maxDeadline},
	}}, r.core, r.lifecycle, slog.New(slog.DiscardHandler))
	server.after = func(d time.Duration) <-chan time.Time {
		if d > maxDeadline {
			return nil // the end of the shutdown window, which the tests never reach
		}
		if d < 500*time.Millisecond { // new connections arrive for up to 0.4 s
			t.Errorf("the listener stays open for %v", d)
		}
		return r.closeListener
	}
	r.lifecycle.Apply(lifecycle.ServersKnown)
	go func() { r.ended <- server.Serve(accepted) }()
	t.Cleanup(r.stop)
	return r
}

func (r *rig) stop() { r.lifecycle.Apply(lifecycle.Terminate) }

func (r *rig) send(request string) (status int, closesConnection bool) {
	r.t.Helper()
	resp, _ := peertest.SendRequest(r.t, r.addr, request)
	return resp.StatusCode, resp.Close
}

func lookRequest(trace string) string {
	return "GET /look?sid=7f HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + trace + "\r\nX-Qos: look\r\nX-Customer: acme\r\nX-Expires-In: 9000m\r\n\r\n"
}

// Invalid requests do not reach the core.
func TestBadRequests(t *testing.T) {
	r := newRig(t, served)
	head := " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: t\r\n"
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"unknown class":      {"GET /odd" + head + "X-Qos: odd\r\n\r\n", 400},
		"no class":           {"GET /look" + head + "\r\n", 400},
		"another path":       {"GET /book" + head + "X-Qos: look\r\n\r\n", 400},
		"no id":              {"GET /look HTTP/1.1\r\nHost: app.svc\r\nX-Qos: look\r\n\r\n", 400},
		"a safe POST":        {"POST /look" + head + "X-Qos: look\r\nContent-Length: 0\r\n\r\n", 400},
		"a keyed GET":        {"GET /book" + head + "X-Qos: book\r\nIdempotency-Key: k\r\n\r\n", 400},
		"no key":             {"POST /book" + head + "X-Qos: book\r\nContent-Length: 0\r\n\r\n", 400},
		"a time without end": {"GET /look" + head + "X-Qos: look\r\nX-Expires-In: 9\r\n\r\n", 400},
		"a negative time":    {"GET /look" + head + "X-Qos: look\r\nX-Expires-In: -9m\r\n\r\n", 400},
		"no number":          {"GET /look" + head + "X-Qos: look\r\nX-Expires-In: NaNm\r\n\r\n", 400},
		"a huge body":        {"POST /once" + head + "X-Qos: once\r\nContent-Length: 60000000\r\n\r\n", 413},
		"length and chunks":  {"POST /once" + head + "X-Qos: once\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 400},
		"chunks and length":  {"POST /once" + head + "X-Qos: once\r\nTransfer-Encoding: chunked\r\ncontent-length: 2\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 400},
		"chunks twice":       {"POST /once" + head + "X-Qos: once\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501},
		"another encoding":   {"POST /once" + head + "X-Qos: once\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
		"an odd chunk":       {"POST /once" + head + "X-Qos: once\r\nTransfer-Encoding: chunked\r\n\r\n2x\r\nhi\r\n0\r\n\r\n", 400},
		"a chunk too long":   {"POST /once" + head + "X-Qos: once\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhix\r\n0\r\n\r\n", 400},
		"a folded line":      {"GET /look" + head + "X-Qos: look\r\n folded\r\n\r\n", 400},
		"a bare CR":          {"GET /look" + head + "X-Qos: look\r\nX-A: b\rX-C: d\r\n\r\n", 400},
		"a GET in chunks":    {"GET /look" + head + "X-Qos: look\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 400},
		"two classes":        {"GET /look" + head + "X-Qos: look\r\nX-Qos: once\r\n\r\n", 400},
		"two ids":            {"GET /look" + head + "X-Trace-Id: u\r\nX-Qos: look\r\n\r\n", 400},
		"two lengths":        {"POST /once" + head + "X-Qos: once\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi", 400},
		"a negative length":  {"POST /once" + head + "X-Qos: once\r\nContent-Length: -1\r\n\r\n", 400},
		"a huge length":      {"POST /once" + head + "X-Qos: once\r\nContent-Length: 99999999999999999999\r\n\r\n", 400},
		"a GET with a body":  {"GET /look" + head + "X-Qos: look\r\nContent-Length: 2\r\n\r\nhi", 400},
		"a head without end": {"GET /look" + head + strings.Repeat("X: 1\r\n", 9000), 431},
		"no HTTP":            {"nonsense\r\n\r\n", 400},
	} {
		// The response closes the connection: nothing after the invalid request is read as a request.
		conn, in := peertest.Dial(t, r.addr)
		io.WriteString(conn, c.request+lookRequest("hidden"))
		if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != c.status || !resp.Close {
			t.Errorf("%s: %d, want %d; close %v", name, resp.StatusCode, c.status, resp.Close)
		}
		if more, _ := io.ReadAll(in); len(more) > 0 {
			t.Errorf("%s: unexpected data %q after the response", name, more)
		}
	}
	if n := r.core.accepted.Load(); n != 0 {
		t.Errorf("%d requests reached the core", n)
	}
	if status, _ := r.send(lookRequest("t")); status != 200 {
		t.Errorf("afterwards: %d", status)
	}
}

// A response that refuses a request has a Retry-After header if the answer has a delay; one that reports a failure has none.
func TestFinalAnswers(t *testing.T) {
	for _, c := range []struct {
		a      front.Answer
		status int
		retry  string
	}{
		{front.Answer{Verdict: front.Refused, RetryAfter: 250 * time.Millisecond}, 503, "0.250"},
		{front.Answer{Verdict: front.Refused}, 503, ""},
		{front.Answer{Verdict: front.Failed}, 502, ""},
	} {
		w := httptest.NewRecorder()
		writeAnswer(w, c.a)
		if w.Code != c.status || w.Header().Get("Retry-After") != c.retry {
			t.Errorf("%+v: %d, Retry-After %q", c.a, w.Code, w.Header().Get("Retry-After"))
		}
	}
}

// After SIGTERM the listener stays open while new connections still arrive, idle connections are closed meanwhile, and Serve
// returns only once all accepted requests are answered.
func TestGracefulShutdown(t *testing.T) {
	got, release := make(chan struct{}, 2), make(chan struct{})
	r := newRig(t, func(ctx context.Context, req front.Request) (front.Answer, error) {
		if req.TraceID == "slow" {
			got <- struct{}{}
			<-release
		}
		return served(ctx, req)
	})
	idle, idleIn := peertest.Dial(t, r.addr)
	io.WriteString(idle, lookRequest("before"))
	peertest.ReadResponse(t, idleIn)
	slow, slowIn := peertest.Dial(t, r.addr)
	io.WriteString(slow, lookRequest("slow"))
	peertest.Wait(t, got)
	r.stop()
	if _, err := idleIn.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection: %v, want io.EOF", err)
	}
	if status, closes := r.send(lookRequest("late")); status != 200 || !closes {
		t.Errorf("on a new connection: %d, close %v", status, closes)
	}
	r.closeListener <- time.Now()
	peertest.Eventually(t, "the listener closes", func() bool {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	select {
	case err := <-r.ended:
		t.Fatalf("stopped with a request unanswered: %v", err)
	default:
	}
	close(release)
	if resp, body := peertest.ReadResponse(t, slowIn); resp.StatusCode != 200 || body != "hi" || !resp.Close {
		t.Errorf("a request accepted before SIGTERM: %d %q, close %v", resp.StatusCode, body, resp.Close)
	}
	if err := peertest.Wait(t, r.ended); err != nil {
		t.Error(err)
	}
}

// The core gets each field of a request as the client sent it, and each error of the core has its own response.
func TestRequestFieldsAndErrorsOfTheCore(t *testing.T) {
	var got front.Request
	var coreErr error
	r := newRig(t, func(_ context.Context, req front.Request) (front.Answer, error) {
		got = req
		return front.Answer{}, coreErr
	})
	request := "POST /book/1?sid=7f HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t\r\nX-Qos: book\r\nX-Customer: acme\r\nX-Expires-In: 1500u\r\n" +
		"X-Second-Try: 1\r\nX-Size-Hint: 2500\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi"
	for err, want := range map[error]int{nil: 200, front.ErrInUse: 409, front.ErrInvalid: 400, front.ErrCoreEnded: 502} {
		coreErr = err
		if status, _ := r.send(request); status != want {
			t.Errorf("%v: status %d, want %d", err, status, want)
		}
	}
	if got.Class != 1 || got.Tenant != 0 || got.AffinityKey != "7f" || got.Wait != 1500*time.Microsecond || !got.ClientRetry ||
		got.WorkHint != 2500*time.Microsecond || got.Message.Target != "/book/1?sid=7f" || string(got.Message.Body) != "hi" {
		t.Errorf("%+v", got)
	}
	coreErr = context.Canceled // as after a disconnect: nothing is written
	c, in := peertest.Dial(t, r.addr)
	io.WriteString(c, request)
	if more, err := in.ReadByte(); err != io.EOF {
		t.Errorf("%q, %v", more, err)
	}
}

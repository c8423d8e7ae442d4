package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/message"
)

// disconnects are the ways in which a client may disconnect.
var disconnects = map[string]func(net.Conn){
	"closes":      func(c net.Conn) { c.Close() },
	"half-closes": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
	"resets":      func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
}

// A client that disconnects while its request is in progress is detected at once, whatever it has sent after the request.
// net/http alone reads only one byte of the next request, and would detect the disconnect only when the response is written.
func TestAClientThatDisconnectedIsNoticed(t *testing.T) {
	for sent, text := range map[string]string{
		"nothing more":       "",
		"a byte more":        "G",
		"another request":    lookRequest("next"),
		"a hundred of them":  strings.Repeat(lookRequest("next"), 100),
		"a flood of garbage": strings.Repeat("\x00garbage", 100_000),
	} {
		for disconnectName, disconnect := range disconnects {
			t.Run(sent+", "+disconnectName, func(t *testing.T) {
				accepted, noticed := make(chan front.Request, 1), make(chan struct{})
				r := newRig(t, func(ctx context.Context, req front.Request) (front.Answer, error) {
					if req.TraceID == "first" {
						accepted <- req
						<-ctx.Done()
						close(noticed)
					}
					return front.Answer{}, ctx.Err()
				})
				c, _ := peertest.Dial(t, r.addr)
				io.WriteString(c, lookRequest("first"))
				req := peertest.Wait(t, accepted)
				if req.ClientGone() {
					t.Error("ClientGone is true while the client waits")
				}
				io.WriteString(c, text)
				disconnect(c)
				peertest.Wait(t, noticed)
				peertest.Eventually(t, "ClientGone is true", req.ClientGone)
				peertest.Eventually(t, "no memory is reserved", func() bool { return r.memory.Reserved() == 0 })
			})
		}
	}
}

// Requests that a client pipelines are not lost when the limiter reads them ahead: each one is answered, in order.
func TestRequestsReadAheadAreAnsweredInOrder(t *testing.T) {
	accepted, release := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(_ context.Context, req front.Request) (front.Answer, error) {
		if req.TraceID == "1" {
			close(accepted)
			<-release
		}
		return front.Answer{Verdict: front.Served, Reply: message.Reply{Body: []byte(req.TraceID + string(req.Message.Body))}}, nil
	})
	c, in := peertest.Dial(t, r.addr)
	io.WriteString(c, lookRequest("1"))
	peertest.Wait(t, accepted)
	io.WriteString(c, lookRequest("2")+strings.Replace(lookRequest("3"), "GET", "G", 1)[:1]) // a request, and a byte of the next
	body := strings.Repeat("x", 40_000)
	io.WriteString(c, lookRequest("3")[1:]+"POST /once HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 4\r\nX-Qos: once\r\nContent-Length: 40000\r\n\r\n"+body+lookRequest("5"))
	peertest.Eventually(t, "the requests are read ahead", func() bool { return r.memory.Reserved() > 40_000 })
	close(release)
	for _, want := range []string{"1", "2", "3", "4" + body, "5"} {
		if resp, got := peertest.ReadResponse(t, in); resp.StatusCode != 200 || got != want {
			t.Fatalf("%d, %.20q, want %.20q", resp.StatusCode, got, want)
		}
	}
	peertest.Eventually(t, "no memory is reserved", func() bool { return r.memory.Reserved() == 0 })
}

// A client does not mistake a truncated response for a complete one. In HTTP/1.0, where the response has no length, only the
// reset of the connection shows the truncation.
func TestATruncatedAnswerIsNotComplete(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		for truncated, remainderErr := range map[bool]error{true: errors.New("reset"), false: io.EOF} {
			r := newRig(t, func(context.Context, front.Request) (front.Answer, error) {
				return front.Answer{Verdict: front.Served, Reply: message.Reply{Body: []byte("hi"), Remainder: &failingRemainder{remainderErr}, Size: -1}}, nil
			})
			c, in := peertest.Dial(t, r.addr)
			io.WriteString(c, strings.Replace(lookRequest("t"), "HTTP/1.1", "HTTP/"+version+"\r\nConnection: close", 1))
			got, err := io.ReadAll(in)
			complete := err == nil && (version == "1.0" || strings.HasSuffix(string(got), "0\r\n\r\n"))
			if complete == truncated || !complete && version == "1.0" && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("HTTP/%s, cut %v: %q, %v", version, truncated, got, err)
			}
		}
	}
}

// A client of HTTP/1.0 does not mistake a response for a complete one whose process was killed.
func TestAnAnswerOfAKilledProcessIsNotComplete(t *testing.T) {
	released := make(chan struct{})
	r := newRig(t, func(context.Context, front.Request) (front.Answer, error) {
		return front.Answer{Verdict: front.Served, Reply: message.Reply{Body: []byte("hi"), Remainder: heldRemainder(released), Size: -1}}, nil
	})
	defer close(released)
	c, in := peertest.Dial(t, r.addr)
	io.WriteString(c, strings.Replace(lookRequest("t"), "HTTP/1.1", "HTTP/1.0", 1))
	for got := ""; !strings.HasSuffix(got, "hi"); {
		next, err := in.ReadByte()
		if err != nil {
			t.Fatalf("%v after %q", err, got)
		}
		got += string(next)
	}
	r.accepted.CloseConns(t)
	if rest, err := io.ReadAll(in); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%q, %v", rest, err)
	}
}

// heldRemainder is a remainder of a response that does not come until the channel is closed, and then is empty.
type heldRemainder chan struct{}

func (r heldRemainder) Read([]byte) (int, error) {
	<-r
	return 0, io.EOF
}
func (r heldRemainder) Close() error { return nil }

// failingRemainder is an empty remainder of a response that ends with err.
type failingRemainder struct{ err error }

func (r *failingRemainder) Read([]byte) (int, error) { return 0, r.err }
func (r *failingRemainder) Close() error             { return nil }

package platform

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/sidecar/admission"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/lifecycle"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
)

func onceRequestHead(trace, framing string) string {
	return "POST /once HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + trace + "\r\nX-Qos: once\r\nX-Expires-In: 9000m\r\n" + framing + "\r\n\r\n"
}

// verdictOf returns the verdict for a request whose body ended with err; nil means that it is complete.
func verdictOf(err error) front.Verdict {
	if err != nil {
		return front.Failed
	}
	return front.Served
}

// echo answers a request with the request's body.
func echo(_ context.Context, r front.Request) (front.Answer, error) {
	a := front.Answer{Verdict: front.Served, Reply: message.Reply{Body: r.Message.Body}}
	if r.Message.Remainder != nil {
		rest, err := readAll(r.Message.Remainder)
		a.Verdict = verdictOf(err)
		a.Reply.Body = append(a.Reply.Body, rest...)
	}
	return a, nil
}

// uploadReader adapts an upload to io.Reader.
type uploadReader struct{ *message.Upload }

func (r uploadReader) Read(p []byte) (int, error) {
	chunk, err := r.Next(nil)
	if len(chunk) > len(p) {
		return 0, io.ErrShortBuffer
	}
	return copy(p, chunk), err
}

func readAll(u *message.Upload) ([]byte, error) {
	var all bytes.Buffer
	_, err := uploadReader{u}.WriteTo(&all)
	return all.Bytes(), err
}

// WriteTo implements io.WriterTo, so that io.Copy writes each chunk as it arrives.
func (r uploadReader) WriteTo(w io.Writer) (n int64, err error) {
	for err == nil {
		var chunk []byte
		chunk, err = r.Next(nil)
		n += int64(len(chunk))
		w.Write(chunk)
	}
	if err == io.EOF { //nolint:errorlint // the plain value, as io.Reader requires
		err = nil
	}
	return n, err
}

// Bodies of any length and framing arrive completely, whatever the sizes in which they are sent, and the connection is reused.
func TestBodiesOfAnyLengthAndFraming(t *testing.T) {
	r := newRig(t, echo)
	for _, size := range []int{0, 1, 1000, message.MaxBuffered, message.MaxBuffered + 1, 300_000, 5_000_000} {
		for _, chunked := range []bool{false, true} {
			for _, pieceSize := range []int{1, 977, 1 << 20} {
				if size/pieceSize > 10_000 {
					continue
				}
				c, in := peertest.Dial(t, r.addr)
				body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
				for i := range 2 {
					go func() {
						if !chunked {
							io.WriteString(c, onceRequestHead(fmt.Sprint(i), fmt.Sprint("Content-Length: ", size)))
						} else {
							io.WriteString(c, onceRequestHead(fmt.Sprint(i), "Transfer-Encoding: chunked"))
						}
						for remaining := body; len(remaining) > 0; {
							n := min(pieceSize, len(remaining))
							if chunked {
								fmt.Fprintf(c, "%x;ext=\"a\"\r\n%s\r\n", n, remaining[:n])
							} else {
								io.WriteString(c, remaining[:n])
							}
							remaining = remaining[n:]
						}
						if chunked {
							io.WriteString(c, "0\r\nX-Trailer: a\r\n\r\n")
						}
					}()
					resp, got := peertest.ReadResponse(t, in)
					if resp.StatusCode != 200 || got != body || resp.Close {
						t.Fatalf("%d bytes, chunked %v, pieces of %d: status %d, %d bytes, close %v", size, chunked, pieceSize, resp.StatusCode, len(got), resp.Close)
					}
				}
				c.Close() // the more connections are open, the sooner the limiter closes idle ones
			}
		}
	}
}

// A client that waits for 100 Continue before it sends its body gets one, whether the body is buffered or streamed.
func TestExpectContinue(t *testing.T) {
	r := newRig(t, echo)
	for _, size := range []int{2, 100_000} {
		c, in := peertest.Dial(t, r.addr)
		io.WriteString(c, onceRequestHead(fmt.Sprint(size), fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d", size)))
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 100 {
			t.Fatalf("%+v, %v", resp, err)
		}
		io.WriteString(c, strings.Repeat("x", size))
		if resp, got := peertest.ReadResponse(t, in); resp.StatusCode != 200 || len(got) != size {
			t.Errorf("%d, %d bytes", resp.StatusCode, len(got))
		}
	}
}

// A response may be relayed while its request is still arriving: both are transferred completely, and then the connection is
// closed.
func TestResponseDuringTheRequestBody(t *testing.T) {
	r := newRig(t, func(_ context.Context, req front.Request) (front.Answer, error) {
		rest := req.Message.Remainder
		return front.Answer{Verdict: front.Served, Reply: message.Reply{Remainder: io.NopCloser(uploadReader{rest}), Size: rest.Size}}, nil
	})
	const size = 3_000_000
	c, in := peertest.Dial(t, r.addr)
	go io.WriteString(c, onceRequestHead("t", fmt.Sprint("Content-Length: ", size))+strings.Repeat("x", size))
	if resp, body := peertest.ReadResponse(t, in); resp.StatusCode != 200 || len(body) != size || !resp.Close {
		t.Errorf("%d, %d bytes, close %v", resp.StatusCode, len(body), resp.Close)
	}
}

// An HTTP/1.0 client gets a response of unknown length that is ended by the close of the connection. A connection with HTTP/1.0
// keep-alive stays open.
func TestHTTP10(t *testing.T) {
	r := newRig(t, func(context.Context, front.Request) (front.Answer, error) {
		return front.Answer{Verdict: front.Served, Reply: message.Reply{Body: []byte("a"), Remainder: io.NopCloser(strings.NewReader("bc")), Size: -1}}, nil
	})
	old := strings.Replace(lookRequest("old"), "HTTP/1.1", "HTTP/1.0", 1)
	resp, body := peertest.SendRequest(t, r.addr, old)
	if resp.StatusCode != 200 || body != "abc" || len(resp.TransferEncoding) > 0 || !resp.Close {
		t.Errorf("%+v %q", resp, body)
	}
	r = newRig(t, served)
	c, in := peertest.Dial(t, r.addr)
	for range 2 {
		io.WriteString(c, strings.Replace(old, "Host:", "Connection: keep-alive\r\nHost:", 1))
		if resp, body := peertest.ReadResponse(t, in); resp.StatusCode != 200 || body != "hi" {
			t.Errorf("%d %q", resp.StatusCode, body)
		}
	}
}

// The memory of bodies is reserved while their requests are in progress, and released with their responses. A body for which no
// memory is left waits, and its request is rejected after a second, before the core gets it. Small bodies are served meanwhile.
func TestMemoryForBodies(t *testing.T) {
	got, release := make(chan struct{}, 9), make(chan struct{})
	r := newRig(t, func(_ context.Context, req front.Request) (front.Answer, error) {
		if len(req.Message.Body) > 1000 {
			got <- struct{}{}
			<-release
		}
		return front.Answer{Verdict: front.Served}, nil
	})
	const size = 60_000
	send := func(trace string) (net.Conn, *bufio.Reader) {
		c, in := peertest.Dial(t, r.addr)
		io.WriteString(c, onceRequestHead(trace, fmt.Sprint("Content-Length: ", size))+strings.Repeat("x", size))
		return c, in
	}
	var inProgress []*bufio.Reader
	for i := range testMemory / (message.MaxBuffered + readSize) {
		_, in := send(fmt.Sprint(i))
		peertest.Wait(t, got)
		inProgress = append(inProgress, in)
	}
	if n := r.memory.Reserved(); n < int64(len(inProgress))*size || n > testMemory {
		t.Errorf("%d bytes are reserved for %d bodies", n, len(inProgress))
	}
	_, rejected := send("refused")
	if status, _ := r.send(onceRequestHead("small", "Content-Length: 2") + "hi"); status != 200 {
		t.Errorf("a small body: %d", status)
	}
	if resp, _ := peertest.ReadResponse(t, rejected); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("without memory: %d, close %v", resp.StatusCode, resp.Close)
	}
	_, waiting := send("waits")
	close(release)
	for _, in := range append(inProgress, waiting) {
		if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 200 {
			t.Errorf("%d", resp.StatusCode)
		}
	}
	peertest.Eventually(t, "no memory is reserved", func() bool { return r.memory.Reserved() == 0 })
}

// A response that is cut short after it has begun aborts its connection, so that the client detects the truncation, with a length
// as well as in chunks.
func TestTruncatedResponsesAbortTheirConnections(t *testing.T) {
	for _, size := range []int64{10, -1} {
		r := newRig(t, func(context.Context, front.Request) (front.Answer, error) {
			rest := io.MultiReader(strings.NewReader("bc"), failingReader{})
			return front.Answer{Verdict: front.Served, Reply: message.Reply{Body: []byte("a"), Remainder: io.NopCloser(rest), Size: size}}, nil
		})
		c, in := peertest.Dial(t, r.addr)
		io.WriteString(c, lookRequest("t"))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("size %d: %q looks complete", size, body)
		}
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("broken off") }

// An answer that is available before the body is complete is written at once and closes the connection, even if the client is
// still sending.
func TestAnEarlyAnswer(t *testing.T) {
	r := newRig(t, func(_ context.Context, req front.Request) (front.Answer, error) {
		if chunk, err := req.Message.Remainder.Next(nil); string(chunk) != "half" || err != nil {
			t.Errorf("%q, %v", chunk, err)
		}
		return front.Answer{Verdict: front.Refused}, nil
	})
	c, in := peertest.Dial(t, r.addr)
	io.WriteString(c, onceRequestHead("t", "Content-Length: 1000000")+"half")
	if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("%d, close %v", resp.StatusCode, resp.Close)
	}
}

// The request of a client that cuts its body short is cancelled; a request with malformed chunks is answered with 400.
func TestTruncatedAndMalformedBodies(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"a length":  {onceRequestHead("t", "Content-Length: 1000000") + "half", 0},
		"chunks":    {onceRequestHead("t", "Transfer-Encoding: chunked") + "1e8480\r\nhalf", 0},
		"bad chunk": {onceRequestHead("t", "Transfer-Encoding: chunked") + "1e8480\r\n" + strings.Repeat("x", 2_000_000) + "\r\nzz\r\n", 400},
	} {
		ended := make(chan error, 1)
		r := newRig(t, func(ctx context.Context, req front.Request) (front.Answer, error) {
			_, err := uploadReader{req.Message.Remainder}.WriteTo(io.Discard)
			if err == nil {
				t.Errorf("%s: the body is complete", name)
			}
			<-ctx.Done()
			ended <- ctx.Err()
			return front.Answer{}, ctx.Err()
		})
		conn, in := peertest.Dial(t, r.addr)
		if c.status == 0 && name == "chunks" { // a chunked body is streamed only once it exceeds MaxBuffered
			c.text += strings.Repeat("x", 2*message.MaxBuffered)
		}
		io.WriteString(conn, c.text)
		if c.status == 0 {
			conn.(*net.TCPConn).CloseWrite()
		}
		peertest.Wait(t, ended)
		resp, err := http.ReadResponse(in, nil)
		if c.status == 0 && err == nil || c.status != 0 && (err != nil || resp.StatusCode != c.status) {
			t.Errorf("%s: %+v, %v", name, resp, err)
		}
	}
}

// Pipelined requests are answered in order, each with its own framing. A chunked request that arrived in the same read as the one
// before is rejected, because its head could not be checked.
func TestPipelining(t *testing.T) {
	r := newRig(t, echo)
	c, in := peertest.Dial(t, r.addr)
	io.WriteString(c, onceRequestHead("a", "Content-Length: 1")+"A"+onceRequestHead("b", "Content-Length: 2")+"BB"+onceRequestHead("c", "Transfer-Encoding: chunked")+"1\r\nC\r\n0\r\n\r\n")
	for _, want := range []string{"A", "BB"} {
		if resp, got := peertest.ReadResponse(t, in); resp.StatusCode != 200 || got != want {
			t.Errorf("%d %q, want %q", resp.StatusCode, got, want)
		}
	}
	if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("%d, close %v", resp.StatusCode, resp.Close)
	}
}

// Every accepted request has the same framing for net/http as for a parser that applies RFC 9112 strictly.
func FuzzFraming(f *testing.F) {
	for _, lines := range []string{
		"Content-Length: 2", "Transfer-Encoding: chunked", "Content-Length: 2\r\nTransfer-Encoding: chunked", "Content-Length: 2\r\nContent-Length: 2",
		"A: b\r\n c", "Content-Length :", "Transfer-Encoding : chunked", "A: b\rContent-Length: 9", "content-length:2\r\nTRANSFER-ENCODING:chunked", "Transfer-Encoding: chunked\nContent-Length: 2",
	} {
		f.Add(lines)
	}
	f.Fuzz(func(t *testing.T, lines string) {
		if strings.Contains(lines, "\n\r\n") || strings.Contains(lines, "\n\n") || strings.HasPrefix(lines, "\n") || strings.HasPrefix(lines, "\r\n") {
			t.Skip() // the head would end there
		}
		head := "POST /once HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n\r\n"
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		if err != nil || checkFraming([]byte(head), req) != nil {
			return
		}
		length, chunked := strictFraming(head)
		if chunked != (len(req.TransferEncoding) > 0) || !chunked && length != req.ContentLength {
			t.Errorf("%q: parsed as length %d, chunked %v; strictly it is %d, %v", head, req.ContentLength, len(req.TransferEncoding) > 0, length, chunked)
		}
	})
}

// strictFraming returns the framing of a head by RFC 9112, parsed line by line. It interprets each malformed line as a lenient
// parser would. The length is -2 if lenient parsers could disagree.
func strictFraming(head string) (length int64, chunked bool) {
	for _, line := range strings.FieldsFunc(head, func(r rune) bool { return r == '\r' || r == '\n' })[1:] {
		name, value, _ := strings.Cut(line, ":")
		switch value = strings.Trim(value, " \t"); strings.ToLower(strings.Trim(name, " \t")) {
		case "content-length":
			var n int64
			if _, err := fmt.Sscanf(value, "%d", &n); err != nil || length != 0 && n != length {
				return -2, chunked
			}
			length = n
		case "transfer-encoding":
			chunked = true
		}
	}
	if chunked && length != 0 {
		return -2, false
	}
	return length, chunked
}

// deadlines is a ResponseWriter that records the read deadlines that are set.
type deadlines struct {
	http.ResponseWriter
	set []time.Time
}

func (d *deadlines) SetReadDeadline(t time.Time) error { d.set = append(d.set, t); return nil }

// A body that was read to its end leaves no read deadline on the connection, whenever halt is called: the next request uses the
// connection.
func TestAnEndedBodyLeavesNoDeadline(t *testing.T) {
	w := &deadlines{}
	b := newBody(w, &http.Request{Body: io.NopCloser(strings.NewReader("whole"))}, time.Now())
	b.upload = message.NewUpload(-1)
	b.pump(func(error) {})
	if _, err := readAll(b.upload); err != nil {
		t.Fatal(err)
	}
	b.halt()
	if last := w.set[len(w.set)-1]; !last.IsZero() {
		t.Errorf("a deadline of %v is left", last)
	}
}

// A body that arrives at 64 kB/s for a minute is read to its end. A client that pauses while it reads a long response is served;
// one that pauses for longer than writeTimeout is disconnected. Time is virtual.
func TestSlowClients(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := memnet.New(time.Millisecond)
		ln, err := n.Listen("127.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		const size = 64_000 * 60
		machine := lifecycle.New()
		core := &fakeCore{answer: func(_ context.Context, r front.Request) (front.Answer, error) {
			a := front.Answer{Verdict: front.Served, Reply: message.Reply{Body: []byte("hi")}}
			if r.Message.Remainder != nil {
				uploadReader{r.Message.Remainder}.WriteTo(io.Discard)
			} else {
				a.Reply.Remainder, a.Reply.Size = io.NopCloser(io.LimitReader(zeroReader{}, size-2)), size
			}
			return a, nil
		}}
		server := New(Settings{MemoryBudget: membudget.New(0), Admission: admission.Config{MaxConnections: 9, Horizon: time.Second}, Classes: []front.Class{
			{Name: "look", Effect: front.Safe, Deadline: time.Second}, {Name: "book"}, {Name: "once", Effect: front.Unsafe, Deadline: time.Second},
		}}, core, machine, slog.New(slog.DiscardHandler))
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(ln) }()
		dial := func() (net.Conn, *bufio.Reader) {
			c, err := n.Dial(t.Context(), "tcp", "127.0.0.1:80")
			if err != nil {
				t.Fatal(err)
			}
			return c, bufio.NewReader(c)
		}
		c, in := dial()
		io.WriteString(c, onceRequestHead("slow", fmt.Sprint("Content-Length: ", size)))
		for range 60 {
			time.Sleep(time.Second)
			c.Write(make([]byte, 64_000))
		}
		if resp, body := peertest.ReadResponse(t, in); resp.StatusCode != 200 || body != "hi" {
			t.Errorf("a slow body: %d %q", resp.StatusCode, body)
		}
		c.Close()
		for pause, complete := range map[time.Duration]bool{writeTimeout / 2: true, 2 * writeTimeout: false} {
			c, in := dial()
			io.WriteString(c, lookRequest("t"))
			time.Sleep(pause)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got, _ := io.Copy(io.Discard, resp.Body); (got == size) != complete {
				t.Errorf("a pause of %v: %d bytes", pause, got)
			}
			c.Close()
		}
		machine.Apply(lifecycle.Terminate)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

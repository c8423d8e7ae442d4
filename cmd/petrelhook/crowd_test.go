//go:build load

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/abuse"
)

// The limits of the sidecar that the crowds meet. The bounds of all tests in this file are these.
const (
	loadedMemoryMB    = 96
	loadedSockets     = 512
	loadedHeadBytes   = 32 << 10
	loadedBodyBytes   = 40 << 20
	loadedFirstBodies = 4 << 20 // what the crowds send of bodies that stop short
)

// slowBytesPerSecond is a little more than the 16 KiB a second that a sidecar demands of a body.
const slowBytesPerSecond = 20 << 10

// Sizes of the crowds.
const (
	crowdOfSenders = 400
	crowdOfReaders = 150
	crowdOfSilent  = 1000 // more than there are sockets
)

// loadedSidecar is a sidecar with low limits, and a server behind it.
type loadedSidecar struct {
	*sidecar
	t        *testing.T
	meter    *abuse.Meter
	requests int
}

// startLoadedSidecar starts a sidecar that serves.
func startLoadedSidecar(t *testing.T) *loadedSidecar {
	t.Helper()
	f := newFleet(t, peertest.Settings)
	server := &http.Server{Handler: http.HandlerFunc(serveLoad)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	f.setServers(peertest.Instance("s-1", ln.Addr().String(), "up"))
	f.config = strings.Replace(f.config, `"memory_mb":64,"sockets":384`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, loadedMemoryMB, loadedSockets), 1)
	s := &loadedSidecar{sidecar: f.start(), t: t}
	peertest.Eventually(t, "the sidecar serves", s.serves)
	s.watch()
	return s
}

// watch begins to measure the process.
func (s *loadedSidecar) watch() {
	s.meter = abuse.Watch(s.t, s.Process.Process.Pid, s.f.listen, s.admin)
}

// serveLoad answers as the server of the tests: at once, or with a long body.
func serveLoad(w http.ResponseWriter, r *http.Request) {
	const longResponseBytes = 8 << 20
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if strings.HasPrefix(r.Header.Get("X-Trace-Id"), "long") {
		w.Write(make([]byte, longResponseBytes))
		return
	}
	io.WriteString(w, "hi")
}

// serves reports whether ordinary requests are answered: one without a body, one with a longer body, and an operator's call.
func (s *loadedSidecar) serves() bool {
	s.requests++
	return s.ask(request("GET", "look", fmt.Sprint("g", s.requests), "", 0)) == http.StatusOK &&
		s.ask(request("POST", "once", fmt.Sprint("p", s.requests), "", 256<<10)) == http.StatusOK &&
		s.call("GET /api/ready") == http.StatusOK
}

// ask sends a request and returns the status of the response; 0 without one.
func (s *loadedSidecar) ask(text string) int {
	conn, err := net.Dial("tcp", s.f.listen)
	if err != nil {
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(conn, text)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// loadedHead returns the head of a request; its body is announced by framing.
func loadedHead(framing string) string {
	return "POST /once HTTP/1.1\r\nHost: x\r\nX-Trace-Id: crowd-" + abuse.Number + "\r\nX-Qos: once\r\nX-Expires-In: 9000m\r\n" + framing
}

// loadedBehaviours returns the behaviours that the listener for clients has to bear. A body over the limit would be 40 MB.
func loadedBehaviours() abuse.Behaviours {
	behaviours := abuse.Of(loadedHead, abuse.Limits{HeadBytes: loadedHeadBytes, BodyBytes: loadedFirstBodies, SlowBytesPerSecond: slowBytesPerSecond})
	behaviours["a length over the limit"] = abuse.Behaviour{Texts: []abuse.Text{
		{Content: loadedHead(fmt.Sprintf("Content-Length: %d", 4*loadedBodyBytes)) + "\r\n\r\n", Times: 1}, {Content: strings.Repeat("x", 64<<10), Times: 256}}}
	behaviours["long responses, not read"] = abuse.Behaviour{Texts: []abuse.Text{{Content: request("GET", "look", "long-"+abuse.Number, "", 0), Times: 1}}}
	behaviours["long responses, read slowly"] = abuse.Behaviour{Texts: behaviours["long responses, not read"].Texts, ReadsSlowly: true}
	behaviours["pipelined responses, not read"] = abuse.Behaviour{Texts: []abuse.Text{{Content: request("GET", "look", "long-"+abuse.Number, "", 0), Times: 20_000}}}
	return behaviours
}

// bear checks that the sidecar bears a crowd at an address: it lives, stays within its limits, answers ordinary requests beside the crowd
// and after it, and keeps none of its connections.
func (s *loadedSidecar) bear(address string, clients int, behaviour abuse.Behaviour) {
	s.t.Helper()
	c := abuse.Start(s.t, address, clients, behaviour)
	c.WaitSent()
	besideCrowd := s.answersInTime()
	s.t.Logf("with the crowd: %v, an ordinary request is answered: %t", s.meter.Peak(), besideCrowd)
	c.Leave()
	s.check(besideCrowd)
}

// answersInTime reports whether ordinary requests are answered before the waits of tests end.
func (s *loadedSidecar) answersInTime() bool {
	for deadline := time.Now().Add(peertest.EventTimeout); time.Now().Before(deadline) && len(s.Ended) == 0; {
		if s.serves() {
			return true
		}
	}
	return false
}

// check checks the limits after a crowd has left, and that the sidecar serves.
func (s *loadedSidecar) check(besideCrowd bool) {
	s.t.Helper()
	if len(s.Ended) > 0 {
		s.t.Fatal("the sidecar has ended")
	}
	peertest.Eventually(s.t, "an ordinary request is answered after the crowd", s.serves)
	peertest.Eventually(s.t, "nothing of the crowd is kept", func() bool { return s.meter.Descriptors() < loadedSockets/4 })
	peak := s.meter.Peak()
	if peak.ResidentMb+peak.QueuedMb >= loadedMemoryMB {
		s.t.Errorf("%d MB of %d", peak.ResidentMb+peak.QueuedMb, loadedMemoryMB)
	}
	if peak.Sockets > loadedSockets {
		s.t.Errorf("%d sockets of %d", peak.Sockets, loadedSockets)
	}
	if !besideCrowd {
		s.t.Error("no ordinary request is answered beside the crowd")
	}
}

// bearFront checks that a sidecar bears clients that behave in one way.
func bearFront(t *testing.T, name string) {
	behaviour, known := loadedBehaviours()[name]
	if !known {
		t.Fatal(name)
	}
	clients := crowdOfSenders
	if len(behaviour.Texts) == 0 {
		clients = crowdOfSilent
	}
	s := startLoadedSidecar(t)
	s.bear(s.f.listen, clients, behaviour)
}

func TestSidecarCrowdLargeChunksStoppedShort(t *testing.T) {
	bearFront(t, "large chunks, stopped short")
}
func TestSidecarCrowdTinyChunksStoppedShort(t *testing.T) { bearFront(t, "tiny chunks, stopped short") }
func TestSidecarCrowdChunkExtensions(t *testing.T)        { bearFront(t, "chunk extensions") }
func TestSidecarCrowdTrailerWithoutEnd(t *testing.T)      { bearFront(t, "a trailer without end") }
func TestSidecarCrowdBodiesStoppedShort(t *testing.T)     { bearFront(t, "a length, stopped short") }
func TestSidecarCrowdMiddlingBodiesStoppedShort(t *testing.T) {
	bearFront(t, "a middling length, stopped short")
}
func TestSidecarCrowdBodiesNeverSent(t *testing.T)       { bearFront(t, "a length, never sent") }
func TestSidecarCrowdSlowBodies(t *testing.T)            { bearFront(t, "a length, a byte a second") }
func TestSidecarCrowdLongBodiesSlowly(t *testing.T)      { bearFront(t, "a length, slowly") }
func TestSidecarCrowdLengthOverTheLimit(t *testing.T)    { bearFront(t, "a length over the limit") }
func TestSidecarCrowdChunksOverTheLimit(t *testing.T)    { bearFront(t, "over the limit, in chunks") }
func TestSidecarCrowdLengthAndChunks(t *testing.T)       { bearFront(t, "a length and chunks") }
func TestSidecarCrowdExpectContinue(t *testing.T)        { bearFront(t, "an expected 100-continue") }
func TestSidecarCrowdHeadsBelowTheLimit(t *testing.T)    { bearFront(t, "a head below the limit") }
func TestSidecarCrowdFieldWithoutEnd(t *testing.T)       { bearFront(t, "one field without end") }
func TestSidecarCrowdTinyFieldsWithoutEnd(t *testing.T)  { bearFront(t, "tiny fields without end") }
func TestSidecarCrowdRequestLineWithoutEnd(t *testing.T) { bearFront(t, "a request line without end") }
func TestSidecarCrowdSlowHeads(t *testing.T)             { bearFront(t, "a head, a byte a second") }
func TestSidecarCrowdEmptyLinesBeforeARequest(t *testing.T) {
	bearFront(t, "empty lines before a request")
}
func TestSidecarCrowdEmptyLinesAfterARequest(t *testing.T) {
	bearFront(t, "empty lines after a request")
}
func TestSidecarCrowdBytesAfterARequest(t *testing.T)    { bearFront(t, "bytes after a request") }
func TestSidecarCrowdSilentConnections(t *testing.T)     { bearFront(t, "silent connections") }
func TestSidecarCrowdHalfClosedConnections(t *testing.T) { bearFront(t, "half closed connections") }
func TestSidecarCrowdResetConnections(t *testing.T)      { bearFront(t, "reset connections") }
func TestSidecarCrowdLongResponsesNotRead(t *testing.T)  { bearFront(t, "long responses, not read") }
func TestSidecarCrowdLongResponsesReadSlowly(t *testing.T) {
	bearFront(t, "long responses, read slowly")
}
func TestSidecarCrowdPipelinedResponsesNotRead(t *testing.T) {
	bearFront(t, "pipelined responses, not read")
}

func TestSidecarCrowdAtTheOperatorsPort(t *testing.T) {
	s := startLoadedSidecar(t)
	behaviours := abuse.Of(func(framing string) string { return "POST /api/ready HTTP/1.1\r\nHost: x\r\n" + framing },
		abuse.Limits{HeadBytes: loadedHeadBytes, BodyBytes: loadedFirstBodies, SlowBytesPerSecond: slowBytesPerSecond})
	for _, name := range behaviours.Names() {
		if !t.Run(name, func(t *testing.T) {
			of := *s
			of.t = t
			of.bear(s.admin, crowdOfSenders, behaviours[name])
		}) {
			return // what comes after it would fail too
		}
	}
}

// withMixedCrowd calls a function beside a crowd of all behaviours, whose clients come again when they are put out.
func (s *loadedSidecar) withMixedCrowd(call func()) {
	const clientsOfEach = 30
	behaviours := loadedBehaviours()
	var crowds []*abuse.Crowd
	for _, name := range behaviours.Names() {
		behaviour := behaviours[name]
		behaviour.Returns = true
		crowds = append(crowds, abuse.Start(s.t, s.f.listen, clientsOfEach, behaviour))
	}
	for _, c := range crowds {
		c.WaitSent()
	}
	call()
	for _, c := range crowds {
		c.Leave()
	}
}

// Crowds of several kinds at once, and a SIGTERM meanwhile.
func TestSidecarCrowdTogetherAndAShutdown(t *testing.T) {
	s := startLoadedSidecar(t)
	s.withMixedCrowd(func() {
		besideCrowd := s.answersInTime()
		t.Logf("with the crowds: %v", s.meter.Peak())
		peak := s.meter.Peak()
		if peak.ResidentMb+peak.QueuedMb >= loadedMemoryMB || peak.Sockets > loadedSockets || !besideCrowd {
			t.Errorf("%v; an ordinary request is answered: %t", peak, besideCrowd)
		}
		s.Signal(syscall.SIGTERM)
		if err := peertest.Wait(t, s.Ended); err != nil {
			t.Error(err)
		}
	})
}

// A successor takes over beside a crowd: both processes stay within their limits, and the first one ends.
func TestSidecarCrowdDuringATakeOver(t *testing.T) {
	first := startLoadedSidecar(t)
	next := &loadedSidecar{t: t, requests: 1_000_000} // whose requests have other numbers
	besideCrowd := false
	first.withMixedCrowd(func() {
		next.sidecar = first.f.start()
		next.watch()
		first.Signal(syscall.SIGTERM)
		if err := peertest.Wait(t, first.Ended); err != nil {
			t.Error(err)
		}
		peak := first.meter.Peak()
		if peak.ResidentMb+peak.QueuedMb >= loadedMemoryMB || peak.Sockets > loadedSockets {
			t.Errorf("the first process: %v", peak)
		}
		besideCrowd = next.answersInTime()
		t.Logf("with the crowds: the first process %v, the next %v", peak, next.meter.Peak())
	})
	next.check(besideCrowd)
}

//go:build load

package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/abuse"
	"petrelhook/internal/rig/process"
	"petrelhook/internal/router/node"
)

// The limits of the router that the crowds meet. The bounds of all tests in this file are these. By hand, with those of a deployment:
// go test -tags load ./cmd/petrelhook-router -run TestRouterCrowd -crowd.memory 244 -crowd.descriptors 4100
var (
	loadedMemoryMb    = flag.Int("crowd.memory", 128, "MemoryMb of the router that crowds meet")
	loadedDescriptors = flag.Int("crowd.descriptors", 800, "MaxFds of that router")
)

const (
	loadedFileReserve  = 200 // of the descriptors, for files
	loadedHeadBytes    = 16384
	loadedBodyBytes    = 4 << 20
	loadedGraceSeconds = 4 // of startFleet's settings
)

// slowBytesPerSecond is a little more than the 4 KiB a second below which a client counts as one without progress.
const slowBytesPerSecond = 6 << 10

// otherAddress is an IP address from which no crowd comes.
const otherAddress = "127.9.77.200"

// Sizes of the crowds.
const (
	crowdOfSenders = 500
	crowdOfReaders = 300
	crowdOfSilent  = 1000 // more than there are descriptors
)

// longPath is a path whose requests may take longer than the waits of tests.
const longPath = "/hold/1"

const loadedConfiguration = `{"Generation":1,"Routes":[
{"Name":"ordinary","Host":"a.example","PathPrefix":"/x/","RouteType":"unsafe","TimeoutMs":15000,"Service":"s","MaxAttempts":1},
{"Name":"held","Host":"a.example","PathPrefix":"/hold/","RouteType":"unsafe","TimeoutMs":60000,"Service":"s","MaxAttempts":1},
{"Name":"long","Host":"a.example","PathPrefix":"/long/","RouteType":"safe","TimeoutMs":15000,"Service":"s","MaxAttempts":1},
{"Name":"stream","Host":"a.example","PathPrefix":"/stream/","RouteType":"streaming","TimeoutMs":60000,"Service":"s","MaxAttempts":1}],
"Services":[{"Name":"s","MaxConnections":3000}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// loadedRouter is a router with low limits, the first machine of a fleet, and a server behind it.
type loadedRouter struct {
	*fleet
	*machine
	t     *testing.T
	meter *abuse.Meter
}

// startLoadedRouter starts a router that serves. Each test of this file has a network of its own: the third byte of its addresses.
func startLoadedRouter(t *testing.T) *loadedRouter {
	t.Helper()
	f := startFleet(t, fleetOptions{coreMembers: 3, network: "127.9.77", heartbeatInterval: time.Second, stopped: true})
	f.client.Transport = newcomers("")
	m := f.machines[0]
	text, err := os.ReadFile(m.settingsPath)
	require.NoError(t, err)
	limits := fmt.Sprintf("[Limits]\nMemoryMb = %d\nMaxFds = %d\n[Listen]", *loadedMemoryMb, *loadedDescriptors)
	require.NoError(t, os.WriteFile(m.settingsPath, []byte(strings.Replace(string(text), "[Listen]", limits, 1)), 0o600))
	r := &loadedRouter{fleet: f, machine: m, t: t}
	r.startProcess()
	for _, other := range f.machines[1:] {
		other.start()
	}
	require.Equal(t, http.StatusOK, f.sendOrder("/-/config/replace", 0, loadedConfiguration))
	r.startServer()
	f.waitReady(m)
	peertest.Eventually(t, "the router serves", r.serves)
	return r
}

// newcomers returns a transport that opens a connection for each call, which has to find room beside a crowd, from an IP address; empty: the
// address from which crowds come.
func newcomers(ip string) *http.Transport {
	dialer := &net.Dialer{}
	if ip != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(ip)}
	}
	return &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}
}

// startProcess starts the router's process and watches it.
func (r *loadedRouter) startProcess() {
	r.t.Helper()
	cmd := r.command()
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d,%d", limitsVariable, *loadedDescriptors, noLimit))
	r.process = process.Start(r.t, cmd)
	r.meter = abuse.Watch(r.t, r.process.Pid, r.address(r.ip, frontPort), r.address(r.ip, readyPort), r.address(r.ip, controlPort),
		r.address(r.ip, internalPort))
}

// startServer starts a server, which sends heartbeats until the test ends.
func (r *loadedRouter) startServer() {
	server := newRecordedServer(r.t, r.fleet, "i1")
	server.Config.Handler = http.HandlerFunc(serveLoad)
	ended := make(chan struct{})
	stopped := make(chan struct{})
	r.t.Cleanup(func() {
		close(ended)
		<-stopped
		server.CloseClientConnections()
	})
	heartbeat := func(sequence int) bool {
		status, _ := r.call(http.MethodPost, "http://"+r.address(r.machines[1].ip, controlPort)+"/-/instances/i1/heartbeat", fmt.Sprintf(
			`{"Service":"s","Address":%q,"Zone":"zone-0","Slots":3000,"State":"ready","Sequence":%d}`, server.Listener.Addr().String(), sequence))
		return status == http.StatusOK
	}
	sequence := 0
	peertest.Eventually(r.t, "the router knows the server", func() bool {
		sequence++
		return heartbeat(sequence) && r.status(r.machine).Servers["s"] == 1
	})
	go func() {
		defer close(stopped)
		for ticker := time.NewTicker(time.Second); ; {
			select {
			case <-ended:
				ticker.Stop()
				return
			case <-ticker.C:
				sequence++
				heartbeat(sequence)
			}
		}
	}()
}

// serveLoad answers as the server of the tests: at once, never, with a long body or with a stream without end.
func serveLoad(w http.ResponseWriter, r *http.Request) {
	const longResponseBytes, eventBytes = 8 << 20, 32 << 10
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	switch {
	case strings.HasPrefix(r.URL.Path, "/hold/"):
		<-r.Context().Done()
	case strings.HasPrefix(r.URL.Path, "/long/"):
		_, _ = w.Write(make([]byte, longResponseBytes))
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		w.Header().Set("Content-Type", "text/event-stream")
		event := []byte("data: " + strings.Repeat("x", eventBytes) + "\n\n")
		for err := error(nil); err == nil; {
			_, err = w.Write(event)
		}
	default:
		io.WriteString(w, "i1")
	}
}

// serves reports whether ordinary requests are answered: one with a short body and one with a longer body.
func (r *loadedRouter) serves() bool {
	for _, body := range []string{"body", strings.Repeat("b", loadedBodyBytes/16)} {
		code, text := r.call(http.MethodPost, "http://"+r.address(r.ip, frontPort)+"/x/1", body, "Host", "a.example", "X-Request-Id", "id1",
			"X-Request-Deadline", "2000")
		if code != http.StatusOK || text != "i1" {
			return false
		}
	}
	return true
}

// answers reports whether ordinary requests are answered, those at a port included.
func (r *loadedRouter) answers(port int) bool {
	paths := map[int]string{readyPort: "/-/readiness", controlPort: node.StatusPath}
	if path, ok := paths[port]; ok {
		if code, _ := r.call(http.MethodGet, "http://"+r.address(r.ip, port)+path, ""); code != http.StatusOK {
			return false
		}
	}
	return r.serves()
}

// loadedHead returns the function that makes heads of requests with a path.
func loadedHead(path string) abuse.Head {
	return func(framing string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id\r\nX-Request-Deadline: 60000\r\n" + framing
	}
}

// loadedBehaviours returns the behaviours that each HTTP listener has to bear.
func loadedBehaviours(path string) abuse.Behaviours {
	return abuse.Of(loadedHead(path), abuse.Limits{HeadBytes: loadedHeadBytes, BodyBytes: loadedBodyBytes, SlowBytesPerSecond: slowBytesPerSecond})
}

// bear checks that the router bears a crowd at one of its ports: it lives, stays within its limits, answers an ordinary request beside
// the crowd and another one after it, and keeps nothing of the crowd.
func (r *loadedRouter) bear(port, clients int, behaviour abuse.Behaviour) {
	r.t.Helper()
	c := abuse.Start(r.t, r.address(r.ip, port), clients, behaviour)
	c.WaitSent()
	besideCrowd := r.answersInTime(port)
	r.t.Logf("with the crowd: %v, an ordinary request is answered: %t", r.meter.Peak(), besideCrowd)
	c.Leave()
	r.check(besideCrowd)
}

// answersInTime reports whether ordinary requests, those at a port included, are answered before the waits of tests end.
func (r *loadedRouter) answersInTime(port int) bool {
	for deadline := time.Now().Add(peertest.EventTimeout); time.Now().Before(deadline) && len(r.process.Ended) == 0; {
		if r.answers(port) {
			return true
		}
	}
	return false
}

// check checks the limits after a crowd has left, and that the router serves and keeps nothing.
func (r *loadedRouter) check(besideCrowd bool) {
	r.t.Helper()
	require.Empty(r.t, r.process.Ended, "the router has ended")
	peertest.Eventually(r.t, "an ordinary request is answered after the crowd", r.serves)
	peertest.Eventually(r.t, "nothing of the crowd is kept", func() bool {
		usage := r.status(r.machine).Usage
		return usage != nil && usage.Goroutines > 0 && usage.BodiesMb == 0 && usage.Descriptors < *loadedDescriptors/4
	})
	peak := r.meter.Peak()
	require.Less(r.t, peak.ResidentMb+peak.QueuedMb, *loadedMemoryMb, "MB")
	require.LessOrEqual(r.t, peak.Descriptors, *loadedDescriptors-loadedFileReserve)
	require.True(r.t, besideCrowd, "an ordinary request is answered beside the crowd")
}

// bearFront checks that a router bears clients that behave in one way.
func bearFront(t *testing.T, name string) { bearFrontAt(t, "/x/1", name) }

// bearFrontAt checks that a router bears clients that send requests with a path in one way.
func bearFrontAt(t *testing.T, path, name string) {
	behaviour, known := loadedBehaviours(path)[name]
	require.True(t, known, name)
	clients := crowdOfSenders
	if len(behaviour.Texts) == 0 {
		clients = crowdOfSilent
	}
	startLoadedRouter(t).bear(frontPort, clients, behaviour)
}

func TestRouterCrowdLargeChunksStoppedShort(t *testing.T) {
	bearFront(t, "large chunks, stopped short")
}
func TestRouterCrowdTinyChunksStoppedShort(t *testing.T) { bearFront(t, "tiny chunks, stopped short") }
func TestRouterCrowdChunkExtensions(t *testing.T)        { bearFront(t, "chunk extensions") }
func TestRouterCrowdTrailerWithoutEnd(t *testing.T)      { bearFront(t, "a trailer without end") }
func TestRouterCrowdBodiesStoppedShort(t *testing.T)     { bearFront(t, "a length, stopped short") }
func TestRouterCrowdMiddlingBodiesStoppedShort(t *testing.T) {
	bearFrontAt(t, longPath, "a middling length, stopped short")
}
func TestRouterCrowdBodiesNeverSent(t *testing.T)       { bearFront(t, "a length, never sent") }
func TestRouterCrowdSlowBodies(t *testing.T)            { bearFront(t, "a length, a byte a second") }
func TestRouterCrowdLongBodiesSlowly(t *testing.T)      { bearFrontAt(t, longPath, "a length, slowly") }
func TestRouterCrowdLengthOverTheLimit(t *testing.T)    { bearFront(t, "a length over the limit") }
func TestRouterCrowdChunksOverTheLimit(t *testing.T)    { bearFront(t, "over the limit, in chunks") }
func TestRouterCrowdLengthAndChunks(t *testing.T)       { bearFront(t, "a length and chunks") }
func TestRouterCrowdExpectContinue(t *testing.T)        { bearFront(t, "an expected 100-continue") }
func TestRouterCrowdHeadsBelowTheLimit(t *testing.T)    { bearFront(t, "a head below the limit") }
func TestRouterCrowdFieldWithoutEnd(t *testing.T)       { bearFront(t, "one field without end") }
func TestRouterCrowdTinyFieldsWithoutEnd(t *testing.T)  { bearFront(t, "tiny fields without end") }
func TestRouterCrowdRequestLineWithoutEnd(t *testing.T) { bearFront(t, "a request line without end") }
func TestRouterCrowdSlowHeads(t *testing.T)             { bearFront(t, "a head, a byte a second") }
func TestRouterCrowdEmptyLinesBeforeARequest(t *testing.T) {
	bearFront(t, "empty lines before a request")
}
func TestRouterCrowdEmptyLinesAfterARequest(t *testing.T) {
	bearFront(t, "empty lines after a request")
}
func TestRouterCrowdBytesAfterARequest(t *testing.T)    { bearFront(t, "bytes after a request") }
func TestRouterCrowdSilentConnections(t *testing.T)     { bearFront(t, "silent connections") }
func TestRouterCrowdHalfClosedConnections(t *testing.T) { bearFront(t, "half closed connections") }
func TestRouterCrowdResetConnections(t *testing.T)      { bearFront(t, "reset connections") }

// A crowd whose clients make progress, and come again when they are put out, comes from one address. Callers from another one are answered.
func TestRouterCrowdOfOneAddress(t *testing.T) {
	r := startLoadedRouter(t)
	r.client.Transport = newcomers(otherAddress)
	behaviour := loadedBehaviours(longPath)["a length, slowly"]
	behaviour.Returns, behaviour.RedialDelay = true, 100*time.Millisecond
	r.bear(frontPort, crowdOfSenders, behaviour)
}

// A crowd from one address holds complete requests. Callers from another one are answered.
func TestRouterCrowdOfHeldRequests(t *testing.T) {
	r := startLoadedRouter(t)
	r.client.Transport = newcomers(otherAddress)
	r.bear(frontPort, crowdOfSenders, abuse.Behaviour{Texts: []abuse.Text{{Content: wholeRequest(longPath), Times: 1}}, Returns: true,
		RedialDelay: 100 * time.Millisecond})
}

// wholeRequest returns a whole request with a path.
func wholeRequest(path string) string {
	return loadedHead(path)("Content-Length: 4") + "\r\n\r\nbody"
}

func TestRouterCrowdLongResponsesNotRead(t *testing.T) {
	startLoadedRouter(t).bear(frontPort, crowdOfReaders, abuse.Behaviour{Texts: []abuse.Text{{Content: wholeRequest("/long/1"), Times: 1}}})
}

func TestRouterCrowdLongResponsesReadSlowly(t *testing.T) {
	startLoadedRouter(t).bear(frontPort, crowdOfReaders, abuse.Behaviour{Texts: []abuse.Text{{Content: wholeRequest("/long/1"), Times: 1}},
		ReadsSlowly: true})
}

func TestRouterCrowdPipelinedResponsesNotRead(t *testing.T) {
	startLoadedRouter(t).bear(frontPort, crowdOfReaders, abuse.Behaviour{Texts: []abuse.Text{{Content: wholeRequest("/long/1"), Times: 20_000}}})
}

func TestRouterCrowdStreamsNotRead(t *testing.T) {
	startLoadedRouter(t).bear(frontPort, crowdOfReaders, abuse.Behaviour{Texts: []abuse.Text{{Content: wholeRequest("/stream/1"), Times: 1}}})
}

func TestRouterCrowdBytesBehindAHeldRequest(t *testing.T) {
	startLoadedRouter(t).bear(frontPort, crowdOfSenders, abuse.Behaviour{Texts: []abuse.Text{{Content: wholeRequest(longPath), Times: 1},
		{Content: strings.Repeat("x", 64<<10), Times: 256}}})
}

// bearInTurn checks that a router bears all behaviours at one of its ports, one after the other.
func bearInTurn(t *testing.T, port int, behaviours abuse.Behaviours) {
	r := startLoadedRouter(t)
	for _, name := range behaviours.Names() {
		if !t.Run(name, func(t *testing.T) {
			of := *r
			of.t = t
			clients := crowdOfSenders
			if len(behaviours[name].Texts) == 0 {
				clients = crowdOfSilent
			}
			of.bear(port, clients, behaviours[name])
		}) {
			return // what comes after it would fail too
		}
	}
}

func TestRouterCrowdAtTheReadyPort(t *testing.T) {
	bearInTurn(t, readyPort, loadedBehaviours("/-/readiness"))
}

func TestRouterCrowdAtTheControlPortWithHeartbeats(t *testing.T) {
	bearInTurn(t, controlPort, loadedBehaviours("/-/instances/i2/heartbeat"))
}

func TestRouterCrowdAtTheControlPortWithOrders(t *testing.T) {
	head := func(framing string) string { return loadedHead("/-/config/replace")("X-Base-Version: 1\r\n" + framing) }
	bearInTurn(t, controlPort, abuse.Of(head, abuse.Limits{HeadBytes: loadedHeadBytes, BodyBytes: 16 << 20, SlowBytesPerSecond: slowBytesPerSecond}))
}

func TestRouterCrowdAtTheInternalPort(t *testing.T) {
	megabyte := strings.Repeat("\x00", 1<<20)
	bearInTurn(t, internalPort, abuse.Behaviours{
		"a message of 900 MB": {Texts: []abuse.Text{{Content: "\xfc\x38\x40\x00\x00", Times: 1}, {Content: megabyte, Times: 16}}},
		"silent connections":  {Returns: true},
		"bytes of no message": {Texts: []abuse.Text{{Content: strings.Repeat("x", 1<<20), Times: 16}}},
		"half a message":      {Texts: []abuse.Text{{Content: "\xfe\x0f\xff" + strings.Repeat("\x00", 1<<10), Times: 1}}, Returns: true},
	})
}

// Crowds of several kinds at once, which come again when they are put out.
func TestRouterCrowdTogether(t *testing.T) {
	r := startLoadedRouter(t)
	r.client.Transport = &http.Transport{}
	require.True(t, r.serves())
	besideCrowd := r.withMixedCrowd(func() bool {
		kept := r.answersInTime(frontPort) // on the connection from before, if there is still room for it
		r.client.Transport = newcomers(otherAddress)
		return kept && r.answersInTime(frontPort)
	})
	r.check(besideCrowd)
}

// withMixedCrowd calls a function beside a crowd of all behaviours, which leaves afterwards.
func (r *loadedRouter) withMixedCrowd(call func() bool) bool {
	const clientsOfEach = 40
	behaviours := loadedBehaviours("/x/1")
	var crowds []*abuse.Crowd
	for _, name := range behaviours.Names() {
		behaviour := behaviours[name]
		behaviour.Returns = true
		crowds = append(crowds, abuse.Start(r.t, r.address(r.ip, frontPort), clientsOfEach, behaviour))
	}
	for _, c := range crowds {
		c.WaitSent()
	}
	ok := call()
	r.t.Logf("with the crowd: %v", r.meter.Peak())
	for _, c := range crowds {
		c.Leave()
	}
	return ok
}

// An operator replaces a configuration of hundreds of routes again and again beside crowds.
func TestRouterCrowdBesideConfigurations(t *testing.T) {
	const routes, replacements = 600, 30
	r := startLoadedRouter(t)
	r.client.Transport = newcomers(otherAddress)
	besideCrowd := r.withMixedCrowd(func() bool {
		for generation := 1; generation <= replacements; generation++ {
			require.Equal(t, http.StatusOK, r.sendOrder("/-/config/replace", generation, grownConfiguration(generation+1, routes)))
		}
		return r.answersInTime(frontPort)
	})
	r.check(besideCrowd)
}

// grownConfiguration returns loadedConfiguration with a generation and more routes.
func grownConfiguration(generation, routes int) string {
	var added strings.Builder
	for i := range routes {
		fmt.Fprintf(&added, `{"Name":"added-%d","Host":"a.example","PathPrefix":"/added-%d/","RouteType":"streaming","TimeoutMs":15000,`+
			`"TargetLatencyMs":200,"Service":"s","MaxAttempts":2,"StreamResume":true,"gap_aim_ms":250},`, i, i)
	}
	text := strings.Replace(loadedConfiguration, `"Generation":1`, fmt.Sprintf(`"Generation":%d`, generation), 1)
	return strings.Replace(text, `"Routes":[`, `"Routes":[`+added.String(), 1)
}

// A router that shuts down beside a crowd ends by itself within its grace period, whatever the crowd holds.
func TestRouterCrowdDuringAShutdown(t *testing.T) {
	r := startLoadedRouter(t)
	ended := r.withMixedCrowd(func() bool {
		require.NoError(t, r.process.Signal(syscall.SIGHUP))
		require.NoError(t, r.process.Signal(syscall.SIGTERM))
		select {
		case err := <-r.process.Ended:
			require.NoError(t, err)
			return true
		case <-time.After(loadedGraceSeconds * time.Second):
			return false
		}
	})
	require.True(t, ended, "the router ends within GraceS")
}

// A router that is killed and starts again beside a crowd serves, and stays within its limits.
func TestRouterCrowdDuringAStart(t *testing.T) {
	r := startLoadedRouter(t)
	besideCrowd := r.withMixedCrowd(func() bool {
		r.process.KillAndWait()
		r.startProcess()
		r.client.Transport = newcomers(otherAddress)
		return r.answersInTime(frontPort)
	})
	r.check(besideCrowd)
}

// A single request inside the limits is served in calm, however it is sent.
func TestRouterServesTheLargestBodyAlone(t *testing.T) {
	r := startLoadedRouter(t)
	body := strings.Repeat("b", loadedBodyBytes)
	for _, length := range []int64{loadedBodyBytes, -1} {
		request, err := http.NewRequest(http.MethodPost, "http://"+r.address(r.ip, frontPort)+"/x/1", io.NopCloser(strings.NewReader(body)))
		require.NoError(t, err)
		request.Host = "a.example"
		request.Header.Set("X-Request-Id", "id")
		request.ContentLength = length
		response, err := r.client.Do(request)
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode, string(text))
	}
}

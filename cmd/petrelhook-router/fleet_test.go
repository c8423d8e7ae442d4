package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/process"
	"petrelhook/internal/router/node"
)

// roleVariable is set in the environment of the processes that run as routers.
const roleVariable = "PETRELROUTER_TEST"

// binaryVariable names the program that such a process executes; empty: none.
const binaryVariable = "PETRELROUTER_TEST_BINARY"

// TestMain runs the tests, or a router if the test binary was started as one by machine.start.
func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "":
		os.Exit(m.Run())
	case streamServerRole:
		panic(serveStreams(os.Args[1:]))
	default:
		if limits := os.Getenv(limitsVariable); limits != "" {
			if err := setLimits(limits); err != nil {
				panic(err)
			}
		}
		if binary := os.Getenv(binaryVariable); binary != "" {
			panic(syscall.Exec(binary, []string{binary, "router"}, os.Environ()))
		}
		os.Exit(runProcess([]string{"petrelhook-router", "router"}, os.Stdout, os.Stderr))
	}
}

// routerBinary is another build of the router, such as an earlier version or one with the race detector.
var routerBinary = flag.String("router.binary", "", "the absolute path of the program that runs as router; empty: this test's own code")

// machine is a machine of the fleet: one router process on a loopback address of its own.
type machine struct {
	t            *testing.T
	ip           string
	settingsPath string // of its settings file; the data directory is beside it
	process      *process.Process
}

// Indexes of the ports of a fleet's machines.
const (
	frontPort = iota
	readyPort
	controlPort
	internalPort
)

// fleet is a set of machines that use the same ports. The core members, which have a disk, come first.
type fleet struct {
	t        *testing.T
	machines []*machine
	ports    [4]int // by the indexes above
	client   *http.Client
}

// fleetOptions says what a fleet consists of.
type fleetOptions struct {
	coreMembers, others int
	network             string        // the first three bytes of the machines' loopback addresses
	heartbeatInterval   time.Duration // of servers
	stopped             bool          // the test starts the processes
}

// newFleet starts a fleet with the given numbers of core members and other routers.
func newFleet(t *testing.T, coreMembers, others int) *fleet {
	t.Helper()
	return startFleet(t, fleetOptions{coreMembers: coreMembers, others: others, network: "127.9.0", heartbeatInterval: 300 * time.Millisecond})
}

// startFleet starts a fleet.
func startFleet(t *testing.T, options fleetOptions) *fleet {
	t.Helper()
	ip := func(i int) string { return fmt.Sprintf("%s.%d", options.network, i+1) }
	f := &fleet{t: t, ports: freePorts(t, ip(0)), client: &http.Client{Timeout: 5 * time.Second}}
	var seeds []string
	for i := range min(3, options.coreMembers) {
		seeds = append(seeds, fmt.Sprintf("%q", f.address(ip(i), controlPort)))
	}
	for i := range options.coreMembers + options.others {
		m := &machine{t: t, ip: ip(i)}
		directory := process.DataDir(t)
		text := fmt.Sprintf(`NodeName = "edge-%d"
Ip = %q
Zone = "zone-%d"
Region = "here"
InternalPortRange = [%d, %d]
Seeds = [%s]
Bootstrap = true
HeartbeatMs = %d
[Listen]
Front = %q
Ready = %q
Control = %q
[FaultTolerance]
Machines = 1
[Bounds]
GraceS = 4
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 60
QuotaWindowS = 8
QuotaOvershoot = 0.1
QuotaSlack = 1000
again_s = 5
`, i+1, m.ip, i%2, f.ports[internalPort], f.ports[internalPort], strings.Join(seeds, ", "),
			options.heartbeatInterval.Milliseconds(), f.address(m.ip, frontPort), f.address(m.ip, readyPort), f.address(m.ip, controlPort))
		if i < options.coreMembers {
			text = fmt.Sprintf("CountsForQuorum = true\nDataDir = %q\n", filepath.Join(directory, "data")) + text
		}
		m.settingsPath = filepath.Join(directory, "boot.toml")
		require.NoError(t, os.WriteFile(m.settingsPath, []byte(text), 0o644))
		f.machines = append(f.machines, m)
	}
	if options.stopped {
		return f
	}
	for _, m := range f.machines {
		m.start()
	}
	return f
}

// dataDir returns the data directory of a core member.
func (m *machine) dataDir() string { return filepath.Join(filepath.Dir(m.settingsPath), "data") }

// command returns the command of the machine's router process.
func (m *machine) command() *exec.Cmd {
	cmd := process.Self(roleVariable, "router")
	cmd.Env = append(cmd.Env, "PETRELHOOK_SETTINGS="+m.settingsPath, binaryVariable+"="+*routerBinary)
	return cmd
}

// start starts the machine's router process.
func (m *machine) start() { m.process = process.Start(m.t, m.command()) }

// address returns the address of an IP and one of the fleet's ports.
func (f *fleet) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(f.ports[port]))
}

// freePorts returns ports that are free on one address of the fleet. It uses them on all its addresses.
func freePorts(t *testing.T, ip string) (ports [4]int) {
	t.Helper()
	for i := range ports {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		require.NoError(t, err)
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports
}

// call makes an HTTP call and returns its status and body. Without a response the status is 0 and the body is the error.
func (f *fleet) call(method, url string, body string, header ...string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(f.t, err)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
		if header[i] == "Host" {
			request.Host = header[i+1]
		}
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// sendOrder sends an order to one router after the other until one answers with a status of 200 to 499.
func (f *fleet) sendOrder(path string, base int, body string) (status int) {
	peertest.Eventually(f.t, "an answer to an order", func() bool {
		for _, m := range f.machines {
			status, _ = f.call(http.MethodPost, "http://"+f.address(m.ip, controlPort)+path, body, "X-Base-Version", strconv.Itoa(base))
			if status >= 200 && status < 500 {
				return true
			}
		}
		return false
	})
	return status
}

// status returns a machine's status, or an empty one if it does not answer.
func (f *fleet) status(m *machine) (s node.Status) {
	code, text := f.call(http.MethodGet, "http://"+f.address(m.ip, controlPort)+node.StatusPath, "")
	if code == http.StatusOK {
		require.NoError(f.t, json.Unmarshal([]byte(text), &s))
	}
	return s
}

// primary returns the machine that reports to be the primary, or nil.
func (f *fleet) primary() *machine {
	for _, m := range f.machines {
		if f.status(m).Primary {
			return m
		}
	}
	return nil
}

// request sends a client's request to a machine.
func (f *fleet) request(m *machine, path string) (int, string) {
	return f.call(http.MethodPost, "http://"+f.address(m.ip, frontPort)+path, "body", "Host", "a.example", "X-Request-Id", "id1",
		"X-Request-Deadline", "2000", "X-Key", "k1")
}

// waitReady waits until a machine's readiness probe succeeds.
func (f *fleet) waitReady(m *machine) {
	peertest.Eventually(f.t, m.ip+" is ready", func() bool {
		code, _ := f.call(http.MethodGet, "http://"+f.address(m.ip, readyPort)+"/-/readiness", "")
		return code == http.StatusOK
	})
}

const firstConfiguration = `{"Generation":3,"Routes":[{"Name":"r1","Host":"a.example","PathPrefix":"/x/","RouteType":"safe","TimeoutMs":2000,"Service":"s","MaxAttempts":2}],
"Services":[{"Name":"s","MaxConnections":50}],"Tenants":[{"Name":"t1","ApiKeys":["k1"],"RatePerS":1000,"Burst":1000}]}`

const secondConfigurationUpdate = `{"Generation":7,"Upsert":{"Routes":[{"Name":"r2","Host":"a.example","PathPrefix":"/y/","RouteType":"safe","TimeoutMs":2000,"Service":"s"}]}}`

// A fleet of processes forms a core, accepts a configuration and serves. The primary is killed and restarted, and an update
// is accepted meanwhile. An acknowledged drain reaches all routers.
func TestFleet(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.configureFirst()
	server := newRecordedServer(t, f, "i1")
	f.waitServing(server)
	f.updateWithoutPrimary(server)
	f.drain(server)
	f.checkStatusCommand()
	f.stop()
	f.checkStateCommand()
}

// configureFirst checks that the first configuration is accepted, also when it is repeated, and that an update with a wrong
// base version and an invalid one are rejected.
func (f *fleet) configureFirst() {
	f.t.Helper()
	require.Equal(f.t, http.StatusOK, f.sendOrder("/-/config/replace", 0, firstConfiguration))
	require.Equal(f.t, http.StatusOK, f.sendOrder("/-/config/replace", 0, firstConfiguration), "sent again")
	require.Equal(f.t, http.StatusPreconditionFailed, f.sendOrder("/-/config/update", 1, `{"Generation":9}`))
	require.Equal(f.t, http.StatusBadRequest, f.sendOrder("/-/config/update", 3, `{"Generation":`))
}

// waitServing waits until each machine routes requests of the first route to the server.
func (f *fleet) waitServing(server *recordedServer) {
	f.t.Helper()
	server.waitHeartbeat(f.machines[4], "ready", "a heartbeat is accepted")
	for _, m := range f.machines {
		f.waitReady(m)
		peertest.Eventually(f.t, m.ip+" serves", func() bool {
			server.sendHeartbeat(m, "ready")
			code, text := f.request(m, "/x/1")
			return code == http.StatusOK && text == server.id
		})
	}
}

// updateWithoutPrimary kills the primary, adds a route through the next primary, and restarts the killed machine. It waits
// until each machine has the route, and a read at one of them returns the newest configuration.
func (f *fleet) updateWithoutPrimary(server *recordedServer) {
	f.t.Helper()
	killed := f.primary()
	require.NotNil(f.t, killed)
	killed.process.KillAndWait()
	require.Equal(f.t, http.StatusOK, f.sendOrder("/-/config/update", 3, secondConfigurationUpdate))
	require.Equal(f.t, http.StatusOK, f.sendOrder("/-/config/replace", 0, firstConfiguration), "sent again to the next primary")
	require.Equal(f.t, http.StatusOK, f.sendOrder("/-/config/update", 3, secondConfigurationUpdate), "sent again")
	killed.start()
	for _, m := range f.machines {
		peertest.Eventually(f.t, m.ip+" has the new route", func() bool {
			server.sendHeartbeat(m, "ready")
			code, _ := f.request(m, "/y/1")
			return code == http.StatusOK
		})
	}
	peertest.Eventually(f.t, "the read is the newest", func() bool {
		code, text := f.call(http.MethodGet, "http://"+f.address(f.machines[4].ip, controlPort)+"/-/config/read", "")
		return code == http.StatusOK && strings.HasPrefix(text, `{"Generation":7,`)
	})
}

// drain sends the server's drain to one machine and waits until all machines have received it. The server keeps sending
// heartbeats, because without them it would become unusable even if its drain was lost.
func (f *fleet) drain(server *recordedServer) {
	f.t.Helper()
	server.waitHeartbeat(f.machines[3], "draining", "a drain is acknowledged")
	for _, m := range f.machines {
		peertest.Eventually(f.t, m.ip+" knows the drain", func() bool {
			server.sendHeartbeat(f.machines[3], "draining")
			return f.status(m).Servers["s"] == 0
		})
	}
}

// checkStatusCommand checks the output of the status command for the first machine.
func (f *fleet) checkStatusCommand() {
	f.t.Helper()
	var out bytes.Buffer
	require.Zero(f.t, run([]string{"petrelhook-router", "status", f.address(f.machines[0].ip, controlPort)}, &out, &out, nil))
	require.Contains(f.t, out.String(), `"Generation": 7`)
}

// stop interrupts all machines and waits until each process has exited successfully.
func (f *fleet) stop() {
	f.t.Helper()
	for _, m := range f.machines {
		require.NoError(f.t, m.process.Signal(os.Interrupt))
	}
	for _, m := range f.machines {
		require.NoError(f.t, <-m.process.Ended, m.ip)
	}
}

// checkStateCommand checks the output of the state command for the disk of the first machine, which has been stopped.
func (f *fleet) checkStateCommand() {
	f.t.Helper()
	var out bytes.Buffer
	require.Zero(f.t, run([]string{"petrelhook-router", "state", f.machines[0].dataDir()}, &out, &out, nil), out.String())
	require.Contains(f.t, out.String(), `"Generation": 7`)
}

func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("NodeName = \"a\"\nIp = \"no address\"\nZone = \"z\"\nInternalPortRange = [1, 2]\n"), 0o644))
	broken := filepath.Join(t.TempDir(), "broken.toml")
	require.NoError(t, os.WriteFile(broken, []byte("NodeName = \"a\"\nIp = \n"), 0o644))
	for _, test := range []struct {
		args     []string
		exitCode int
		output   string
	}{
		{[]string{"version"}, 0, "petrelhook-router"},
		{[]string{"check", bad}, exitFailure, "field Settings.Ip"},
		{[]string{"check", broken}, exitFailure, "line 2"},
		{[]string{"check", "../../deploy/system.toml"}, 0, "roles router: fit"},
		{[]string{"check"}, exitUsage, "takes one FILE"},
		{[]string{"state", filepath.Join(t.TempDir(), "none")}, exitFailure, "no such file"},
		{[]string{"status", "127.0.0.1:9"}, exitFailure, "refused"},
		{[]string{"other"}, exitUsage, "no such command"},
		{[]string{"check", "--what"}, exitUsage, "flag"},
		{[]string{"--help"}, 0, "status"},
	} {
		var printed bytes.Buffer
		require.Equal(t, test.exitCode, run(append([]string{"petrelhook-router"}, test.args...), &printed, &printed, nil), test.args)
		require.Contains(t, printed.String(), test.output, test.args)
	}
}

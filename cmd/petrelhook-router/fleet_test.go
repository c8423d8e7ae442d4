package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/process"
	"petrelhook/internal/router/node"
)

const roleVariable = "PETRELROUTER_TEST"

// The test's binary is the router as well.
func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) != "" {
		os.Exit(run([]string{"petrelhook-router", "router"}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// machine is one router on a loopback address of its own.
type machine struct {
	t        *testing.T
	ip       string
	settings string
	process  *process.Process
}

// fleet is several machines; those with a disk come first.
type fleet struct {
	t        *testing.T
	machines []*machine
	ports    [4]int // front, ready, control, internal
	client   *http.Client
}

func newFleet(t *testing.T, disks, others int) *fleet {
	t.Helper()
	f := &fleet{t: t, ports: freePorts(t), client: &http.Client{Timeout: 5 * time.Second}}
	var seeds []string
	for i := range min(3, disks) {
		seeds = append(seeds, fmt.Sprintf("%q", f.address(fmt.Sprintf("127.9.0.%d", i+1), 2)))
	}
	for i := range disks + others {
		m := &machine{t: t, ip: fmt.Sprintf("127.9.0.%d", i+1)}
		folder := process.DataDir(t)
		text := fmt.Sprintf(`NodeName = "edge-%d"
Ip = %q
Zone = "zone-%d"
Region = "here"
InternalPortRange = [%d, %d]
Seeds = [%s]
Bootstrap = true
HeartbeatMs = 300
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
`, i+1, m.ip, i%2, f.ports[3], f.ports[3], strings.Join(seeds, ", "), f.address(m.ip, 0), f.address(m.ip, 1), f.address(m.ip, 2))
		if i < disks {
			text = fmt.Sprintf("CountsForQuorum = true\nDataDir = %q\n", filepath.Join(folder, "data")) + text
		}
		m.settings = filepath.Join(folder, "boot.toml")
		require.NoError(t, os.WriteFile(m.settings, []byte(text), 0o644))
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		m.start()
	}
	return f
}

func (m *machine) start() {
	cmd := process.Self(roleVariable, "router")
	cmd.Env = append(cmd.Env, "PETRELHOOK_SETTINGS="+m.settings)
	m.process = process.Start(m.t, cmd)
}

func (f *fleet) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(f.ports[port]))
}

// freePorts finds ports that are free on all addresses of the test.
func freePorts(t *testing.T) (ports [4]int) {
	t.Helper()
	for i := range ports {
		l, err := net.Listen("tcp", "127.9.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports
}

// call makes one call and returns its status and body; 0 is no answer.
func (f *fleet) call(method, url string, body string, header ...string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(f.t, err)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
		if header[i] == "Host" {
			request.Host = header[i+1]
		}
	}
	answer, err := f.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text)
}

// order sends an order to one router after the other until it gets an answer other than 5xx.
func (f *fleet) order(path string, base int, body string) (status int) {
	peertest.Eventually(f.t, "an answer to an order", func() bool {
		for _, m := range f.machines {
			status, _ = f.call(http.MethodPost, "http://"+f.address(m.ip, 2)+path, body, "X-Base-Version", strconv.Itoa(base))
			if status >= 200 && status < 500 {
				return true
			}
		}
		return false
	})
	return status
}

func (f *fleet) status(m *machine) (s node.Status) {
	code, text := f.call(http.MethodGet, "http://"+f.address(m.ip, 2)+node.StatusPath, "")
	if code == http.StatusOK {
		require.NoError(f.t, json.Unmarshal([]byte(text), &s))
	}
	return s
}

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
	return f.call(http.MethodPost, "http://"+f.address(m.ip, 0)+path, "body", "Host", "a.example", "X-Request-Id", "id1",
		"X-Request-Deadline", "2000", "X-Key", "k1")
}

func (f *fleet) waitReady(m *machine) {
	peertest.Eventually(f.t, m.ip+" is ready", func() bool {
		code, _ := f.call(http.MethodGet, "http://"+f.address(m.ip, 1)+"/-/readiness", "")
		return code == http.StatusOK
	})
}

// sendHeartbeat is a call of the one server.
func (f *fleet) sendHeartbeat(m *machine, address, state string, sequence int) int {
	body := fmt.Sprintf(`{"Service":"s","Address":%q,"Zone":"zone-0","Slots":4,"State":%q,"Sequence":%d}`, address, state, sequence)
	code, _ := f.call(http.MethodPost, "http://"+f.address(m.ip, 2)+"/-/instances/i1/heartbeat", body)
	return code
}

// applicationServer is the one server of the service. It reports its state in heartbeats.
type applicationServer struct {
	f        *fleet
	address  string
	sequence int // of the last heartbeat
}

func newApplicationServer(t *testing.T, f *fleet) *applicationServer {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		io.WriteString(w, "answer")
	}))
	t.Cleanup(server.Close)
	return &applicationServer{f: f, address: server.Listener.Addr().String()}
}

// sendHeartbeat sends the next heartbeat to a machine, and returns its status.
func (s *applicationServer) sendHeartbeat(m *machine, state string) int {
	s.sequence++
	return s.f.sendHeartbeat(m, s.address, state, s.sequence)
}

// waitHeartbeat sends heartbeats to a machine until one is accepted.
func (s *applicationServer) waitHeartbeat(m *machine, state, what string) {
	s.f.t.Helper()
	peertest.Eventually(s.f.t, what, func() bool { return s.sendHeartbeat(m, state) == http.StatusOK })
}

const firstConfiguration = `{"Generation":3,"Routes":[{"Name":"r1","Host":"a.example","PathPrefix":"/x/","RouteType":"safe","TimeoutMs":2000,"Service":"s","MaxAttempts":2}],
"Services":[{"Name":"s","MaxConnections":50}],"Tenants":[{"Name":"t1","ApiKeys":["k1"],"RatePerS":1000,"Burst":1000}]}`

const secondConfigurationUpdate = `{"Generation":7,"Upsert":{"Routes":[{"Name":"r2","Host":"a.example","PathPrefix":"/y/","RouteType":"safe","TimeoutMs":2000,"Service":"s"}]}}`

// A fleet of processes forms a core, accepts a configuration and serves; the primary is killed and comes back; a drain
// is known everywhere once it is acknowledged.
func TestFleet(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.configureFirst()
	server := newApplicationServer(t, f)
	f.waitServing(server)
	f.updateWithoutPrimary(server)
	f.drain(server)
	f.checkStatusCommand()
	f.stop()
	f.checkStateCommand()
}

// configureFirst has the first configuration accepted, again where it is sent again, and others refused.
func (f *fleet) configureFirst() {
	f.t.Helper()
	require.Equal(f.t, http.StatusOK, f.order("/-/config/replace", 0, firstConfiguration))
	require.Equal(f.t, http.StatusOK, f.order("/-/config/replace", 0, firstConfiguration), "sent again")
	require.Equal(f.t, http.StatusPreconditionFailed, f.order("/-/config/update", 1, `{"Generation":9}`))
	require.Equal(f.t, http.StatusBadRequest, f.order("/-/config/update", 3, `{"Generation":`))
}

// waitServing waits until each machine answers requests of the first route by way of the server.
func (f *fleet) waitServing(server *applicationServer) {
	f.t.Helper()
	server.waitHeartbeat(f.machines[4], "ready", "a heartbeat is accepted")
	for _, m := range f.machines {
		f.waitReady(m)
		peertest.Eventually(f.t, m.ip+" serves", func() bool {
			server.sendHeartbeat(m, "ready")
			code, text := f.request(m, "/x/1")
			return code == http.StatusOK && text == "answer"
		})
	}
}

// updateWithoutPrimary kills the primary, adds a route by way of the next one, and starts the killed machine again. Each machine has the route
// in the end, and a read at one of them the newest configuration.
func (f *fleet) updateWithoutPrimary(server *applicationServer) {
	f.t.Helper()
	killed := f.primary()
	require.NotNil(f.t, killed)
	killed.process.KillAndWait()
	require.Equal(f.t, http.StatusOK, f.order("/-/config/update", 3, secondConfigurationUpdate))
	require.Equal(f.t, http.StatusOK, f.order("/-/config/replace", 0, firstConfiguration), "sent again to the next primary")
	require.Equal(f.t, http.StatusOK, f.order("/-/config/update", 3, secondConfigurationUpdate), "sent again")
	killed.start()
	for _, m := range f.machines {
		peertest.Eventually(f.t, m.ip+" has the new route", func() bool {
			server.sendHeartbeat(m, "ready")
			code, _ := f.request(m, "/y/1")
			return code == http.StatusOK
		})
	}
	peertest.Eventually(f.t, "the read is the newest", func() bool {
		code, text := f.call(http.MethodGet, "http://"+f.address(f.machines[4].ip, 2)+"/-/config/read", "")
		return code == http.StatusOK && strings.HasPrefix(text, `{"Generation":7,`)
	})
}

// drain has the server announce its drain to one machine, and waits until all of them know. The server sends heartbeats all the time: without
// them it would be unusable after a while even if its drain was lost.
func (f *fleet) drain(server *applicationServer) {
	f.t.Helper()
	server.waitHeartbeat(f.machines[3], "draining", "a drain is acknowledged")
	for _, m := range f.machines {
		peertest.Eventually(f.t, m.ip+" knows the drain", func() bool {
			server.sendHeartbeat(f.machines[3], "draining")
			return f.status(m).Servers["s"] == 0
		})
	}
}

// checkStatusCommand asks the first machine by the status command.
func (f *fleet) checkStatusCommand() {
	f.t.Helper()
	var out bytes.Buffer
	require.Zero(f.t, run([]string{"petrelhook-router", "status", f.address(f.machines[0].ip, 2)}, &out, &out))
	require.Contains(f.t, out.String(), `"Generation": 7`)
}

// stop interrupts all machines, and waits until each has ended with success.
func (f *fleet) stop() {
	f.t.Helper()
	for _, m := range f.machines {
		require.NoError(f.t, m.process.Signal(os.Interrupt))
	}
	for _, m := range f.machines {
		require.NoError(f.t, <-m.process.Ended, m.ip)
	}
}

// checkStateCommand reads the disk of the first machine, which has been stopped, by the state command.
func (f *fleet) checkStateCommand() {
	f.t.Helper()
	var out bytes.Buffer
	data := filepath.Join(filepath.Dir(f.machines[0].settings), "data")
	require.Zero(f.t, run([]string{"petrelhook-router", "state", data}, &out, &out), out.String())
	require.Contains(f.t, out.String(), `"Generation": 7`)
}

func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("NodeName = \"a\"\nIp = \"no address\"\nZone = \"z\"\nInternalPortRange = [1, 2]\n"), 0o644))
	broken := filepath.Join(t.TempDir(), "broken.toml")
	require.NoError(t, os.WriteFile(broken, []byte("NodeName = \"a\"\nIp = \n"), 0o644))
	for _, c := range []struct {
		args []string
		code int
		says string
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
		var out bytes.Buffer
		require.Equal(t, c.code, run(append([]string{"petrelhook-router"}, c.args...), &out, &out), c.args)
		require.Contains(t, out.String(), c.says, c.args)
	}
}

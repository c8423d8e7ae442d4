// Package routerscale measures what the control side of a router fleet costs at some sizes: real routers as the core, in
// processes of their own, and beside them hollow sidecars, which are the product's own nodes without clients and disks,
// many in one process, and hollow servers, which send heartbeats.
//
// Everything is on loopback, each member at an address of its own, and has ended when Run returns.
package routerscale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"petrelhook/internal/node"
	"petrelhook/internal/settings"
)

const (
	heartbeatMs  = 1200
	zones        = 16
	regions      = 7
	mostLost     = 2 // machines of the core that may be lost at once, where it is large enough
	seedCount    = 3
	startLimit   = 60 * time.Second
	callTimeout  = 10 * time.Second
	pollEvery    = 2 * time.Millisecond
	leastCallers = 64
	serversEach  = 13 // that one caller stands for
	sidecarClass = 21 // second byte of a hollow sidecar's address
	coreClass    = 20
)

// members are a fleet of one size.
type members struct {
	ctx      context.Context // of the run
	options  Options
	folder   string
	ports    [2]int // control, internal
	core     []*exec.Cmd
	hollow   []*node.Node
	sidecars sync.WaitGroup // of hollow
	group    sync.WaitGroup // of hollow servers
	client   *http.Client
	stopBeat context.CancelFunc
	// stopHollow ends the hollow sidecars and waits for them.
	stopHollow func()
	beats      atomic.Int64
	failed     atomic.Int64
}

func coreAddress(i int) string { return fmt.Sprintf("127.%d.0.%d", coreClass, i+1) }

func hollowAddress(i int) string {
	const inByte = 250
	return fmt.Sprintf("127.%d.%d.%d", sidecarClass, i/inByte, i%inByte+1)
}

// start brings up the core and the hollow sidecars, and a first configuration.
func start(ctx context.Context, o Options, size int) (m *members, err error) {
	m = &members{ctx: ctx, options: o, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	defer func() {
		if err != nil {
			m.end()
		}
	}()
	if m.folder, err = os.MkdirTemp("", "routerscale-"); err != nil {
		return m, err
	}
	if m.ports, err = freePorts(); err != nil {
		return m, err
	}
	for i := range o.Core {
		if err := m.startCore(i); err != nil {
			return m, err
		}
	}
	if err := m.order("/-/config/replace", 0, m.configuration(size)); err != nil {
		return m, err
	}
	if err := m.startHollow(size - o.Core); err != nil {
		return m, err
	}
	return m, m.until("all sidecars have the configuration", func() bool { return m.behind(1) == 0 })
}

// startHollow starts hollow sidecars, all at once.
func (m *members) startHollow(count int) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.stopHollow = func() {
		cancel()
		m.sidecars.Wait()
		m.hollow = nil
	}
	for i := range count {
		s, err := settings.Parse([]byte(m.settings(hollowAddress(i), i, "")))
		if err != nil {
			return err
		}
		n := node.New(s, &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}})
		m.hollow = append(m.hollow, n)
		m.sidecars.Go(func() { n.Run(ctx, nil, settings.Load) })
	}
	return nil
}

func freePorts() (ports [2]int, err error) {
	for i := range ports {
		l, err := net.Listen("tcp", coreAddress(0)+":0")
		if err != nil {
			return ports, err
		}
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

func (m *members) settings(ip string, place int, folder string) string {
	var seeds []string
	for i := range seedCount {
		seeds = append(seeds, strconv.Quote(m.control(i)))
	}
	zone := place % zones
	text := fmt.Sprintf(`NodeName = "n-%s"
Ip = %q
Zone = "zone-%d"
Region = "region-%d"
InternalPortRange = [%d, %d]
Seeds = [%s]
HeartbeatMs = %d
`, ip, ip, zone, zone%regions, m.ports[1], m.ports[1], strings.Join(seeds, ", "), heartbeatMs)
	if folder != "" {
		text += fmt.Sprintf("Bootstrap = true\nCountsForQuorum = true\nDataDir = %q\n", folder)
	}
	text += "[Zones]\n"
	for i := range zones {
		text += fmt.Sprintf("zone-%d = \"region-%d\"\n", i, i%regions)
	}
	if folder != "" {
		text += fmt.Sprintf("[Listen]\nControl = \"%s:%d\"\n", ip, m.ports[0])
	}
	return text + fmt.Sprintf("[FaultTolerance]\nMachines = %d\n[Bounds]\nGraceS = 2\nQuotaWindowS = 8\nQuotaOvershoot = 0.1\nQuotaSlack = 100000\nagain_s = 7\n", min(mostLost, (m.options.Core-1)/2))
}

func (m *members) control(i int) string { return fmt.Sprintf("%s:%d", coreAddress(i), m.ports[0]) }

func (m *members) startCore(i int) error {
	folder := filepath.Join(m.folder, strconv.Itoa(i))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	file := filepath.Join(folder, "boot.toml")
	if err := os.WriteFile(file, []byte(m.settings(coreAddress(i), i*2, filepath.Join(folder, "data"))), 0o644); err != nil {
		return err
	}
	cmd := exec.Command(m.options.Router, "router")
	cmd.Env = append(os.Environ(), settings.Variable+"="+file, "GOMAXPROCS=1")
	m.core = append(m.core, cmd)
	return cmd.Start()
}

// configuration has tenants and routes in proportion to the size.
func (m *members) configuration(size int) string {
	var routes, tenants []string
	for i := range m.options.routes(size) {
		routes = append(routes, route(i, 2000))
	}
	for i := range m.options.tenants(size) {
		tenants = append(tenants, fmt.Sprintf(`{"Name":"t%d","ApiKeys":["key-%d"],"Unit":"token_based","UncachedTokens":200,"RatePerS":500000,"Burst":500000}`, i, i))
	}
	return fmt.Sprintf(`{"Generation":1,"Routes":[%s],"Services":[{"Name":"s","MaxConnections":500}],"Tenants":[%s]}`,
		strings.Join(routes, ","), strings.Join(tenants, ","))
}

func route(i, timeout int) string {
	return fmt.Sprintf(`{"Name":"r%d","Host":"h%d.example","PathPrefix":"/p/","RouteType":"streaming","TimeoutMs":%d,"Service":"s","MaxAttempts":1}`, i, i, timeout)
}

// order sends an order until it is taken.
func (m *members) order(path string, base int, body string) error {
	return m.until("an order is taken", func() bool {
		for i := range m.options.Core {
			request, err := http.NewRequest(http.MethodPost, "http://"+m.control(i)+path, strings.NewReader(body))
			if err != nil {
				return false
			}
			request.Header.Set("X-Base-Version", strconv.Itoa(base))
			answer, err := m.client.Do(request)
			if err != nil {
				continue
			}
			io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// behind is how many hollow sidecars do not have a version yet.
func (m *members) behind(version uint64) int {
	n := 0
	for _, one := range m.hollow {
		if one.Version() < version {
			n++
		}
	}
	return n
}

func (m *members) until(what string, ok func() bool) error {
	for began := time.Now(); time.Since(began) < startLimit; time.Sleep(pollEvery) {
		if err := m.ctx.Err(); err != nil {
			return err
		}
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", startLimit, what)
}

// status asks a router of the core.
func (m *members) status(i int) (s node.Status, err error) {
	answer, err := m.client.Get("http://" + m.control(i) + node.StatusPath)
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}

// beat has hollow servers call, each every heartbeat, spread over the core.
func (m *members) beat(servers int) {
	ctx, cancel := context.WithCancel(m.ctx)
	m.stopBeat = cancel
	callers := max(leastCallers, servers/serversEach) // real servers do not wait for one another
	every := time.Duration(heartbeatMs) * time.Millisecond
	for c := range callers {
		m.group.Go(func() {
			for sequence := 1; ctx.Err() == nil; sequence++ {
				began := time.Now()
				for id := c; id < servers && ctx.Err() == nil; id += callers {
					m.beatOnce(id, sequence)
					due := began.Add(time.Duration(float64(every) * float64(id) / float64(servers)))
					time.Sleep(time.Until(due))
				}
				select {
				case <-ctx.Done():
				case <-time.After(time.Until(began.Add(every))):
				}
			}
		})
	}
}

func (m *members) beatOnce(id, sequence int) {
	body := fmt.Sprintf(`{"Service":"s","Address":"10.%d.%d.%d:80","Zone":"zone-%d","Generation":"v1","Slots":16,"State":"ready","Sequence":%d}`,
		id>>16, id>>8&255, id&255, id%zones, sequence)
	url := fmt.Sprintf("http://%s/-/instances/i-%d/heartbeat", m.control(rand.IntN(m.options.Core)), id)
	answer, err := m.client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		m.failed.Add(1)
		return
	}
	answer.Body.Close()
	m.beats.Add(1)
	if answer.StatusCode != http.StatusOK {
		m.failed.Add(1)
	}
}

// end ends everything that was started.
func (m *members) end() {
	if m.stopBeat != nil {
		m.stopBeat()
	}
	if m.stopHollow != nil {
		m.stopHollow()
	}
	for _, cmd := range m.core {
		if cmd.Process != nil {
			cmd.Process.Kill()
			cmd.Wait()
		}
	}
	m.group.Wait()
	os.RemoveAll(m.folder)
}

package rehearse

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/load"
	"petrelhook/internal/rig/loopback"
	"petrelhook/internal/rig/process"
	"petrelhook/internal/rig/standin"
)

// child is set in the processes that a benchmark starts of its own program.
const child = "REHEARSE_CHILD"

func TestMain(m *testing.M) {
	switch os.Getenv(child) {
	case "reverse-proxy":
		serveChild(reverseProxy)
	case "plain":
		serveChild(func([]string) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "hello") })
		})
	default:
		os.Exit(m.Run())
	}
}

// serveChild serves until SIGTERM, and logs its address as the sidecar does.
func serveChild(handler func(servers []string) http.Handler) {
	var c struct {
		Known struct{ Instances []peer }
	}
	text, err := os.ReadFile(os.Getenv("LB_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	ln, listenErr := net.Listen("tcp", "127.0.0.1:0")
	if err != nil || listenErr != nil {
		fmt.Fprintln(os.Stderr, err, listenErr)
		os.Exit(1)
	}
	var servers []string
	for _, m := range c.Known.Instances {
		servers = append(servers, m.HostPort)
	}
	proxy := handler(servers)
	slog.New(slog.NewTextHandler(os.Stderr, nil)).Info("serving", "listen", ln.Addr().String())
	http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/_health" {
			proxy.ServeHTTP(w, r)
		}
	}))
}

// reverseProxy is the standard library's reverse proxy, which takes the servers in rotation.
func reverseProxy(servers []string) http.Handler {
	var n atomic.Uint64
	return &httputil.ReverseProxy{
		Director: func(r *http.Request) {
			r.URL.Scheme, r.URL.Host = "http", servers[n.Add(1)%uint64(len(servers))]
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true},
	}
}

// comparedScenario is the fleet of BenchmarkProxies.
const comparedScenario = `
length 3s
sidecars 1 cores=1 memory=192 sockets=1024
fleet 4 cells=2 cores=1000
class lookup effect=safe deadline=2s
`

// proxyUnderTest starts one kind of process between clients and servers; Program "": none.
type proxyUnderTest struct {
	name, program string
	env           []string
}

// BenchmarkProxies sends the same load to the same stand-ins directly, through the standard library's reverse proxy and
// through the sidecar, each in a process of its own on one core (GOMAXPROCS=1). It reports, for 1,000 requests a second
// on schedule, p50 and p99 and the CPU time of the process per request; and for 32 clients in a closed loop, the requests a second.
//
//	go test ./internal/rig/rehearse -run - -bench Proxies -benchtime 1x
func BenchmarkProxies(b *testing.B) {
	programs := process.NewPrograms("petrelhook")
	defer programs.Remove()
	program := programs.Path(b, "petrelhook")
	for _, p := range []proxyUnderTest{
		{"direct", "", nil},
		{"reverse-proxy", os.Args[0], []string{child + "=reverse-proxy", "GOMAXPROCS=1"}},
		{"sidecar", program, []string{"GOMAXPROCS=1"}},
	} {
		b.Run(p.name, func(b *testing.B) {
			for range b.N {
				open := measure(b, p, "arrive constant 1000/s", nil)
				b.ReportMetric(open.p50, "p50-ms")
				b.ReportMetric(open.p99, "p99-ms")
				b.ReportMetric(open.lag, "lag99-ms")
				if p.program != "" {
					b.ReportMetric(open.cpu, "cpu-us/req")
				}
				closed := measure(b, p, "arrive constant 1/s", closedLoop)
				b.ReportMetric(closed.rate, "req/s")
				if p.program != "" {
					b.ReportMetric(closed.cpu, "full-cpu-us/req")
					b.ReportMetric(closed.memory, "MiB")
				}
			}
		})
	}
}

// measured is what measure has measured: times in ms, CPU time in µs per request, requests a second, and memory in MiB.
type measured struct{ p50, p99, lag, cpu, rate, memory float64 }

// closedLoop sends requests over 32 connections for 3 s, each as soon as the one before is answered, and returns the number of answers.
func closedLoop(targets []string) (answers int, err error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	var n atomic.Int64
	end := time.Now().Add(3 * time.Second)
	failed := make(chan error, 32)
	for w := range 32 {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/lookup?op=%d", targets[(w+i)%len(targets)], i), nil)
				req.Header = http.Header{"X-Trace-Id": {fmt.Sprintf("%x-%x", w, i)}, "X-Qos": {"lookup"}, "X-Expires-In": {"2000m"}}
				resp, err := client.Do(req)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				if err == nil && resp.StatusCode != 200 {
					err = fmt.Errorf("answer %v", resp)
				}
				if err != nil {
					failed <- err
					return
				}
				n.Add(1)
			}
		})
	}
	wg.Wait()
	select {
	case err = <-failed:
	default:
	}
	return int(n.Load()), err
}

// measure sends a load of a schedule, or that of a loop, through a proxy.
func measure(b *testing.B, p proxyUnderTest, arrive string, loop func([]string) (int, error)) (m measured) {
	b.Helper()
	s := parse(b, comparedScenario+arrive)
	network, rec, zero := loopback.New(), &audit.Recorder{}, time.Now()
	fleet, err := standin.Start(s, network, rec, zero)
	if err != nil {
		b.Fatal(err)
	}
	defer fleet.Close()
	processes := &Processes{Program: p.program, Env: p.env}
	r := &Rehearsal{Scenario: s, Network: network}
	if p.program != "" {
		r.Sidecars = processes
	}
	targets, err := r.start(b.Context(), fleet)
	if err != nil {
		b.Fatal(err)
	}
	requests := 0
	if loop != nil {
		if requests, err = loop(targets); err != nil {
			b.Error(err)
		}
		m.rate = float64(requests) / 3
	} else {
		result, err := (&load.Runner{Scenario: s, Targets: targets, Dial: network.Dial, Zero: zero, Wait: load.WaitPrecisely}).Run(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		all := &result.Classes[0]
		if requests = all.Counts.Served; requests != all.Counts.All() {
			b.Errorf("%+v", all.Counts)
		}
		m.p50, m.p99, m.lag = millis(all.Percentile(50)), millis(all.Percentile(99)), millis(load.Percentile(result.Lag, 99))
	}
	if p.program == "" {
		return m
	}
	if err := processes.Stop(); err != nil && p.program != os.Args[0] { // the test program ends by the signal itself
		b.Error(err)
	}
	u := processes.Usage()[0]
	m.cpu, m.memory = u.CPU*1e6/float64(requests), float64(u.MaxMemory)/(1<<20)
	return m
}

// BenchmarkGenerator finds the highest constant rate that is sent on schedule, with a lag of under 1 ms at the 99th percentile
// over 2 s, to a plain server in a process of its own, and the CPU time of the generator per request. For comparison,
// net/http's client sends over 32 connections in a closed loop.
//
//	go test ./internal/rig/rehearse -run - -bench Generator -benchtime 1x
func BenchmarkGenerator(b *testing.B) {
	p := proxyUnderTest{"plain", os.Args[0], []string{child + "=plain"}}
	start := func(b *testing.B) (addr string, stop func()) {
		processes := &Processes{Program: p.program, Env: p.env}
		addr, err := processes.Start(0, []byte(`{}`))
		if err != nil {
			b.Fatal(err)
		}
		return addr, func() { processes.Stop() }
	}
	b.Run("open-loop", func(b *testing.B) {
		addr, stop := start(b)
		defer stop()
		var highestRate, cpuPerRequest float64
		for rate := 1000; rate <= 64000; rate += max(1000, rate/4) {
			s := parse(b, fmt.Sprintf("length 2s\nfleet 1\nclass lookup deadline=2s\narrive constant %d/s", rate))
			before := selfCPU()
			result, err := (&load.Runner{Scenario: s, Targets: []string{addr}, Dial: (&net.Dialer{}).DialContext, Zero: time.Now(), Wait: load.WaitPrecisely}).Run(context.Background())
			if err != nil {
				b.Fatal(err)
			}
			if lag := load.Percentile(result.Lag, 99); lag > time.Millisecond || result.Classes[0].Counts.Served < 2*rate {
				break
			}
			highestRate, cpuPerRequest = float64(rate), (selfCPU()-before).Seconds()*1e6/float64(2*rate)
		}
		b.ReportMetric(highestRate, "req/s")
		b.ReportMetric(cpuPerRequest, "cpu-us/req")
	})
	b.Run("net-http-loop", func(b *testing.B) {
		addr, stop := start(b)
		defer stop()
		before := selfCPU()
		n, err := closedLoop([]string{addr})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(n)/3, "req/s")
		b.ReportMetric((selfCPU()-before).Seconds()*1e6/float64(n), "cpu-us/req")
	})
}

// selfCPU is the CPU time that this process has used.
func selfCPU() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

package capacity

import (
	"math"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/fleet"
)

// committedFile returns the path and the text of the committed file of assumptions.
func committedFile(t *testing.T) (path, text string) {
	t.Helper()
	path = filepath.Join("..", "..", "..", "deploy", "capacity.yaml")
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, string(raw)
}

// committedAssumptions returns the parsed assumptions of the committed file.
func committedAssumptions(t *testing.T) *Assumptions {
	t.Helper()
	path, text := committedFile(t)
	a, err := Parse(path, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Each mistake in the file gives an error of one line that names the file, line, column and field, and says what to write.
func TestMistakesAreReportedWithTheirPosition(t *testing.T) {
	_, good := committedFile(t)
	line := func(part string) string {
		at := strings.Index(good, part)
		if at < 0 {
			t.Fatalf("%q is not in the file", part)
		}
		return strconv.Itoa(1 + strings.Count(good[:at], "\n"))
	}
	for _, c := range []struct{ from, to, want string }{
		{"  servers: 12000 ", "  servers: many ", "f:" + line("servers: 12000") +
			`:12: target.servers: "many"; write a number from 1 to 1e+06`},
		{"  servers: 12000 ", "  servers: -1 ", "f:" + line("servers: 12000") +
			`:12: target.servers: "-1"; write a number`},
		{"  servers: 12000 ", "  servers: NaN ", "f:" + line("servers: 12000") +
			`:12: target.servers: "NaN"; write a number`},
		{"  servers: 12000 ", "  servers: [12000] ", "f:" + line("servers: 12000") +
			`:12: target.servers: ""; write a number`},
		{"  servers: 12000 ", "  severs: 12000 ", "f:" + line("servers: 12000") +
			":3: target.severs: unknown field; known are added_latency, calls"},
		{"  services: 1100 ", "  servers: 1100 ", "f:" + line("services: 1100") + ":3: target.servers: comes twice"},
		{"  in_force: 14s ", "  in_force: 14 ", "f:" + line("in_force: 14s") +
			`:13: target.in_force: "14"; write a time from 100ms to 24h0m0s, such as 30s`},
		{"  depth: 15               # target: calls in a row, at most\n", "  depth: 15\n",
			"f:" + line("depth: 15") + ":10: target.depth: 15 without a reason; write a comment behind it"},
		{"  depth: 15               # target: calls in a row, at most\n", "",
			"f:" + line("  servers: 12000") +
				":3: target.depth: missing; write a number from 1 to 100, as depth: ... # why"},
		{"  control_bytes: 9000 ", "  control_bytes: 0 ", "f:" + line("control_bytes: 9000") +
			`:18: target.control_bytes: "0"; write a number of bytes/s from 1`},
		{"lists: #", "listen: #", "f:" + line("lists: #") + ":1: listen: unknown field; known are changes, earlier"},
		{"  largest: 600 ", "  largest: 10 ", "f:" + line("largest: 600") +
			":12: shape.largest: 10, below the mean; write 11 or more"},
		{"  largest: 600 ", "  largest: 11000 ", "f:" + line("largest: 600") +
			":12: shape.largest: 11000, which leaves some services no server; write 10901 or less"},
		{"  services: 1100 ", "  services: 13000 ", "f:" + line("services: 1100") +
			":13: target.services: 13000, more than the 12000 servers"},
		{"  regions: 7 ", "  regions: 28 ", "f:" + line("regions: 7") + ":12: target.regions: more than zones"},
		{"  zone_share: 0.08 ", "  zone_share: 0.3 ", "f:" + line("zone_share: 0.08") +
			":15: topology.zone_share: more than the region's"},
		{"  replicas: 3 ", "  replicas: 9 ", "f:" + line("replicas: 3") +
			":13: machines.replicas: as many as there are machines set aside"},
		{good, "", "f:1:1: write sections such as target"},
		{good, "target: 5\n", `f:1:9: target: "5"; write fields, each on a line of its own`},
		{good[strings.Index(good, "\nearlier:"):], "\n", "f:3:1: earlier: missing; write this section"},
	} {
		bad := strings.Replace(good, c.from, c.to, 1)
		_, err := Parse("f", []byte(bad))
		if bad == good || err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40q -> %.40q:\n got %v\nwant %s", c.from, c.to, err, c.want)
		}
	}
}

// The limits and periods in the file have the same values as the constants in the code.
func TestLimitsAreThoseOfTheCode(t *testing.T) {
	a := committedAssumptions(t)
	for name, want := range map[string]float64{
		"limits.max_message": fleet.MaxMessage, "limits.max_content": distribute.MaxContent,
		"limits.max_total":          distribute.MaxTotalContent,
		"limits.max_services":       distribute.MaxServices,
		"limits.max_reports":        distribute.MaxReports,
		"limits.max_request":        constant(t, "../fleet/rpc.go", "maxRequestBytes"),
		"limits.max_waiting":        constant(t, "../replica/request.go", "maxPendingRequests"),
		"limits.max_list":           constant(t, "../../sidecar/member/discovery/discovery.go", "maxMessage"),
		"limits.retry_ratio":        constant(t, "../../../balance/parameters.go", "retryRatio"),
		"periods.idle_poll_divisor": constant(t, "../driver/driver.go", "idlePollDivisor"),
	} {
		if got := a.Get(name); got != want {
			t.Errorf("%s: %v in the file, %v in the code", name, got, want)
		}
	}
	o := distribute.DefaultSubscriberOptions("s", "m", 3, func(n int64) int64 { return n / 2 })
	// a wait is drawn from 3/4 of MaxWait to all of it; the file has the mean
	if got, want := a.Get("periods.watch_timeout"), o.MaxWait.Seconds()*7/8; got != want {
		t.Errorf("periods.watch_timeout: %v in the file, %v in the code", got, want)
	}
	if got, want := a.Get("periods.reconnect_window"), o.ReconnectWindow.Seconds(); got != want {
		t.Errorf("periods.reconnect_window: %v in the file, %v in the code", got, want)
	}
}

// constant returns the value of a constant that a source file declares as a literal such as 20_000 or 4 << 20.
func constant(t *testing.T, path, name string) float64 {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^\s+` + name + `\s+= ([0-9_.]+)(?: << ([0-9]+))?`).FindStringSubmatch(string(text))
	if m == nil {
		t.Fatalf("%s: no constant %s", path, name)
	}
	v, err := strconv.ParseFloat(strings.ReplaceAll(m[1], "_", ""), 64)
	if err != nil {
		t.Fatal(err)
	}
	shift, _ := strconv.Atoi(m[2])
	return v * math.Pow(2, float64(shift))
}

// The sizes of services add up to the fleet within 1%, are sorted from the largest, and are at least 1.
func TestSizes(t *testing.T) {
	for _, c := range []struct{ servers, services, largest float64 }{
		{12000, 1100, 600}, {12000, 1100, 11}, {12000, 1100, 10901}, {100, 100, 1}, {30, 1, 30}, {24000, 1100, 600},
	} {
		all := Sizes(c.servers, c.services, c.largest)
		sum := 0.0
		for i, n := range all {
			sum += n
			if n < 1 || n > c.largest || i > 0 && n > all[i-1] {
				t.Fatalf("%v: the %dth has %v", c, i, n)
			}
		}
		if len(all) != int(c.services) || math.Abs(sum-c.servers) > 0.01*c.servers {
			t.Errorf("%v: %d services, %v servers", c, len(all), sum)
		}
	}
	if got := sizeWeightedMean([]float64{3, 1}); got != 2.5 {
		t.Errorf("services of 3 servers and 1 server: mean size %v, want 2.5", got)
	}
}

// A field or section under a deprecated name is read like one under its current name, with one warning that gives the current
// name. A file with both names is an error.
func TestDeprecatedAssumptions(t *testing.T) {
	path, good := committedFile(t)
	want := committedAssumptions(t)
	if len(want.Warnings) != 0 {
		t.Fatal(want.Warnings)
	}
	check := func(text, warning string) {
		t.Helper()
		got, err := Parse(path, []byte(text))
		if err != nil || text == good {
			t.Errorf("%s: %v", warning, err)
			return
		}
		if len(got.Warnings) != 1 || !strings.HasSuffix(got.Warnings[0], warning) {
			t.Errorf("warnings %q, want one that ends with %q", got.Warnings, warning)
		}
		if !reflect.DeepEqual(got.All(), want.All()) {
			t.Errorf("%s: %v, want %v", warning, got.All(), want.All())
		}
	}
	for section, fields := range renamedFields {
		for deprecated, current := range fields {
			re := regexp.MustCompile(`(?ms)(^` + section + `:.*?^  )` + current + `:`)
			check(re.ReplaceAllString(good, "${1}"+deprecated+":"), ": "+section+"."+deprecated+": this is called "+current+" now; write that")
		}
	}
	for deprecated, current := range renamedSections {
		check(strings.Replace(good, "\n"+current+":", "\n"+deprecated+":", 1), ": "+deprecated+": this is called "+current+" now; write that")
	}
	both := strings.Replace(good, "  max_request: ", "  max_ask: 1 # a test\n  max_request: ", 1)
	const problem = ": limits.max_ask: the file has max_request as well; write max_request alone"
	if _, err := Parse(path, []byte(both)); err == nil || !strings.HasSuffix(err.Error(), problem) {
		t.Errorf("%v, want %q", err, problem)
	}
}

package balance

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestConversations plays the conversations in testdata: each event is followed by the expected actions of the balancer. They
// are meant to be read; go test ./balance -run TestConversations -rewrite replaces the expected actions by the current ones.
//
//	begin [attempts=N] [peers=N] [cancel=no] [retry-after=MS] [probes] [warm-keys] [waste=PRICE] [cold=PART,MS] [fall=MULTIPLE,MS] ...
//	      with a line for each class: NAME safe|keyed|unsafe [group=all|zone|cell] [window=MS] aim=MS deadline=MS ...
//	list  [full|cached|changes|failed], with a line for each server: NAME [draining|gone] [cell=N] [age=MS] [size=X]
//	ask   ID CLASS [left=MS] [again] [key=N]
//	end   ID.ATTEMPT served|error|full|timed-out|no-connection|reset|cancelled|moot
//	hangup ID
//	wait  MS: time passes, and timers are handed in as they come due
//	busy  N CLASS every=MS took=MS [key=N]: N requests arrive evenly, each answered by the server that gets it; prints the counts
//	probed NAME served|no-connection [holds=N]
//	show  prints the balancer's state of each server
func TestConversations(t *testing.T) {
	conversations := 0
	datadriven.Walk(t, "testdata/conversations", func(t *testing.T, path string) {
		conversations++
		c := &conversation{t: t}
		datadriven.RunTest(t, path, c.line)
	})
	if conversations < 15 {
		t.Errorf("%d conversations", conversations)
	}
}

var (
	effectsByName = map[string]Effect{"safe": Safe, "keyed": Keyed, "unsafe": Unsafe}
	groupsByName  = map[string]Group{"all": GroupAll, "zone": GroupZone, "cell": GroupCell}
	resultsByName = map[string]Result{
		"served": OK, "error": Failed, "full": Rejected, "timed-out": TimedOut, "no-connection": ConnectFailed,
		"reset": Reset, "cancelled": Cancelled, "moot": NotSent,
	}
	statesByName = map[string]ServerState{"up": Ready, "draining": Draining, "gone": Removed}
)

// conversation is one balancer with its simulated surroundings. Times are printed relative to the start of a command.
type conversation struct {
	t          *testing.T
	b          *Balancer
	now        float64
	classes    []string
	names      []string // of servers, by ID less 1
	timers     []timer
	sent       map[RequestID][]ServerID // servers of each request's attempts
	sentAt     map[string]float64       // by REQUEST.ATTEMPT
	finished   map[RequestID]bool
	lastBusyID RequestID          // last ID that busy gave to a request
	tallied    map[RequestID]bool // requests of busy that are finished and counted
}

type timer struct {
	at    float64
	token uint64
}

const conversationStart = 1_000_000 // ms

func (c *conversation) name(id ServerID) string { return c.names[id-1] }

func (c *conversation) id(name string) ServerID {
	for i, n := range c.names {
		if n == name {
			return ServerID(i + 1)
		}
	}
	c.names = append(c.names, name)
	return ServerID(len(c.names))
}

// argumentNumber returns an argument's value, or byDefault if it is not given.
func argumentNumber(d *datadriven.TestData, key string, byDefault float64) float64 {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			return parseNumber(d, a.Vals[0])
		}
	}
	return byDefault
}

func parseNumber(d *datadriven.TestData, text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(fmt.Sprintf("%s: %v", d.Pos, err))
	}
	return v
}

// splitWords splits a line into its plain words and its key=value options.
func splitWords(line string) (plain []string, options map[string]string) {
	options = map[string]string{}
	for _, w := range strings.Fields(line) {
		if key, v, ok := strings.Cut(w, "="); ok {
			options[key] = v
		} else {
			plain = append(plain, w)
		}
	}
	return plain, options
}

func optionNumber(options map[string]string, key string, byDefault float64) float64 {
	if v, err := strconv.ParseFloat(options[key], 64); err == nil {
		return v
	}
	return byDefault
}

func (c *conversation) line(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	arg := func(i int) string { return d.CmdArgs[i].Key }
	switch d.Cmd {
	case "begin":
		c.begin(d, &out)
	case "list":
		c.list(d, &out)
	case "ask":
		class := c.class(arg(1))
		ev := Request{ID: RequestID(parseNumber(d, arg(0))), Class: class, Tenant: -1, Remaining: argumentNumber(d, "left", c.b.cfg.Classes[class].Deadline)}
		ev.Key = uint64(argumentNumber(d, "key", 0))
		for _, a := range d.CmdArgs {
			ev.ClientRetry = ev.ClientRetry || a.Key == "again"
		}
		c.handle(ev, &out)
	case "end":
		request, attempt, _ := strings.Cut(arg(0), ".")
		c.end(RequestID(parseNumber(d, request)), int(parseNumber(d, attempt)), resultsByName[arg(1)], &out)
	case "hangup":
		c.finished[RequestID(parseNumber(d, arg(0)))] = true
		c.handle(ClientGone{RequestID(parseNumber(d, arg(0)))}, &out)
	case "wait":
		c.wait(parseNumber(d, arg(0)), &out)
	case "busy":
		c.busy(d, &out)
	case "probed":
		ev := ProbeResult{Server: c.id(arg(0)), Result: resultsByName[arg(1)]}
		if holds := argumentNumber(d, "holds", -1); holds >= 0 {
			ev.LoadReport = []float32{float32(holds)}
		}
		c.handle(ev, &out)
	case "show":
		c.show(&out)
	default:
		d.Fatalf(t, "unknown word %q", d.Cmd)
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

func (c *conversation) list(d *datadriven.TestData, out *strings.Builder) {
	kind := ListFull
	if len(d.CmdArgs) > 0 {
		kind = map[string]ListKind{"full": ListFull, "cached": ListCached, "changes": ListDelta, "failed": ListFailed}[d.CmdArgs[0].Key]
	}
	ev := ServerList{Kind: kind}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		plain, options := splitWords(line)
		if len(plain) == 0 {
			continue
		}
		s := Server{ID: c.id(plain[0]), Capacity: optionNumber(options, "size", 1), Cell: int(optionNumber(options, "cell", 0))}
		if len(plain) > 1 {
			s.State = statesByName[plain[1]]
		}
		if age, ok := options["age"]; ok {
			s.StartedAt = c.now - parseNumber(d, age)
		}
		ev.Servers = append(ev.Servers, s)
	}
	c.handle(ev, out)
}

func (c *conversation) begin(d *datadriven.TestData, out *strings.Builder) {
	cfg := Config{Seed: 1, SidecarCount: int(argumentNumber(d, "peers", 1)), MaxAttempts: int(argumentNumber(d, "attempts", 4)), Cancel: true, DrainGrace: 250, Subscribe: true}
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "cold":
			cfg.SlowStartFraction, cfg.SlowStartTime = parseNumber(d, a.Vals[0]), parseNumber(d, a.Vals[1])
		case "fall":
			cfg.OverloadMultiple, cfg.OverloadTime = parseNumber(d, a.Vals[0]), parseNumber(d, a.Vals[1])
		case "retry-after":
			cfg.RetryAfter, cfg.MaxRetryAfter = true, parseNumber(d, a.Vals[0])
		case "cancel":
			cfg.Cancel = a.Vals[0] != "no"
		case "warm-keys":
			cfg.KeyAffinity = true
		case "waste":
			cfg.Penalties.Waste = parseNumber(d, a.Vals[0])
		case "number":
			cfg.SidecarNumber = int(parseNumber(d, a.Vals[0]))
		case "probes":
			cfg.Probes, cfg.Reports, cfg.Fields = true, ReportProbe, []ReportField{FieldInFlight}
		}
	}
	c.classes = nil
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		plain, options := splitWords(line)
		c.classes = append(c.classes, plain[0])
		cfg.Classes = append(cfg.Classes, Class{
			Effect: effectsByName[plain[1]], Group: groupsByName[options["group"]], Window: optionNumber(options, "window", math.Inf(1)),
			LatencyTarget: optionNumber(options, "aim", 0), Deadline: optionNumber(options, "deadline", 0), Value: optionNumber(options, "worth", 1),
			LateValue: optionNumber(options, "late", 0),
		})
	}
	c.b, c.now, c.lastBusyID = New(cfg), conversationStart, 1000
	c.sent, c.sentAt, c.finished = map[RequestID][]ServerID{}, map[string]float64{}, map[RequestID]bool{}
	c.tallied = map[RequestID]bool{}
	c.carryOut(c.b.Start(c.now), out)
}

func (c *conversation) class(name string) int {
	for i, n := range c.classes {
		if n == name {
			return i
		}
	}
	panic("no class " + name)
}

func (c *conversation) handle(ev Event, out *strings.Builder) {
	actions, err := c.b.Handle(c.now, ev)
	if err != nil {
		fmt.Fprintf(out, "error: %v\n", err)
	}
	c.carryOut(actions, out)
}

// carryOut records the actions of the balancer, and prints all but the timers of requests.
func (c *conversation) carryOut(actions []Action, out *strings.Builder) {
	for _, a := range actions {
		switch a.Kind {
		case Send:
			n := len(c.sent[a.Request])
			c.sent[a.Request] = append(c.sent[a.Request], a.Server)
			c.sentAt[fmt.Sprint(a.Request, ".", n)] = c.now
			fmt.Fprintf(out, "send %d.%d to %s\n", a.Request, n, c.name(a.Server))
		case Reject:
			c.finished[a.Request] = true
			if a.After > 0 {
				fmt.Fprintf(out, "refuse %d, back in %.0f ms\n", a.Request, a.After)
			} else {
				fmt.Fprintf(out, "refuse %d\n", a.Request)
			}
		case Fail:
			c.finished[a.Request] = true
			fmt.Fprintf(out, "fail %d\n", a.Request)
		case Cancel:
			fmt.Fprintf(out, "cancel %d.%d\n", a.Request, a.Attempt)
		case SetTimer:
			c.timers = append(c.timers, timer{c.now + a.After, a.Token})
			if a.Token == listTimer {
				fmt.Fprintf(out, "ask again in %.0f ms\n", a.After)
			}
		case Probe:
			fmt.Fprintf(out, "probe %s\n", c.name(a.Server))
		case WatchList:
			fmt.Fprintln(out, "watch the list")
		default:
			fmt.Fprintf(out, "%+v\n", a)
		}
	}
}

func (c *conversation) end(request RequestID, attempt int, result Result, out *strings.Builder) {
	if attempt >= len(c.sent[request]) {
		fmt.Fprintf(out, "error: %d.%d was not sent\n", request, attempt)
		return
	}
	c.finished[request] = c.finished[request] || result == OK
	c.handle(Outcome{
		Request: request, Attempt: attempt, Server: c.sent[request][attempt], Result: result,
		Latency: c.now - c.sentAt[fmt.Sprint(request, ".", attempt)], Finished: c.finished[request],
	}, out)
}

// wait lets time pass; actions meanwhile are printed with the time since its start.
func (c *conversation) wait(ms float64, out *strings.Builder) {
	start, until := c.now, c.now+ms
	for {
		sort.SliceStable(c.timers, func(i, j int) bool { return c.timers[i].at < c.timers[j].at })
		if len(c.timers) == 0 || c.timers[0].at > until {
			break
		}
		t := c.timers[0]
		c.timers = c.timers[1:]
		c.now = math.Max(c.now, t.at)
		var output strings.Builder
		c.handle(Timer{Token: t.token}, &output)
		for _, line := range strings.Split(strings.TrimSpace(output.String()), "\n") {
			if line != "" {
				fmt.Fprintf(out, "after %.0f ms: %s\n", c.now-start, line)
			}
		}
	}
	c.now = until
}

// answerTimeFactors vary how long answers take by up to a fifth.
var answerTimeFactors = [...]float64{0.8, 1.1, 0.9, 1.2, 1}

// busy hands in requests at an even pace, each answered some time after it was sent. It prints how many each server
// answered and how many were not served.
func (c *conversation) busy(d *datadriven.TestData, out *strings.Builder) {
	class, every, took := c.class(d.CmdArgs[1].Key), argumentNumber(d, "every", 100), argumentNumber(d, "took", 20)
	n, start := int(parseNumber(d, d.CmdArgs[0].Key)), c.now
	first := c.lastBusyID + 1
	ends := map[string]float64{} // when the attempts in flight end
	tally := map[string]int{}
	for i, left := 0, n; left > 0 || len(ends) > 0; {
		at, ending := math.Inf(1), ""
		for attempt, end := range ends {
			if end < at || end == at && attempt < ending {
				at, ending = end, attempt
			}
		}
		arrival := i < n && start+float64(i)*every <= at
		if arrival {
			at = start + float64(i)*every
		}
		var output strings.Builder
		c.wait(math.Min(at, c.now+every)-c.now, &output)
		switch {
		case c.now < at: // a request that waited may have been sent meanwhile
		case arrival:
			i++
			c.lastBusyID++
			c.handle(Request{ID: c.lastBusyID, Class: class, Tenant: -1, Remaining: c.b.cfg.Classes[class].Deadline, Key: uint64(argumentNumber(d, "key", 0))}, &output)
		default:
			var request RequestID
			var attempt int
			fmt.Sscanf(ending, "%d.%d", &request, &attempt)
			tally["by "+c.name(c.sent[request][attempt])]++
			c.end(request, attempt, OK, &output)
			left--
		}
		for id := first; id <= c.lastBusyID; id++ {
			for k := range c.sent[id] {
				name := fmt.Sprint(id, ".", k)
				if c.finished[id] {
					delete(ends, name)
				} else {
					ends[name] = c.sentAt[name] + took*answerTimeFactors[int(id)%len(answerTimeFactors)]
				}
			}
			if _, tallied := c.tallied[id]; c.finished[id] && !tallied {
				c.tallied[id] = true
				if k := len(c.sent[id]); k == 0 || !strings.Contains(ending, fmt.Sprint(id, ".")) {
					tally["not served"]++
					left--
				}
			}
		}
	}
	var keys []string
	for k := range tally {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		fmt.Fprintf(out, "%s: %d\n", k, tally[k])
	}
}

func (c *conversation) show(out *strings.Builder) {
	c.handle(Timer{Token: 0}, out) // a timer without a request only advances the time
	for _, s := range c.b.servers.all {
		fmt.Fprintf(out, "%s: m %.2f", c.name(s.ID), c.b.health(s))
		if s.State != Ready {
			fmt.Fprint(out, ", draining")
		}
		if s.Errors > 0 {
			fmt.Fprintf(out, ", %.0f errors in a row", s.Errors)
		}
		if c.b.coolingDown(s) {
			fmt.Fprintf(out, ", rests for %.0f ms", s.CooldownUntil-c.now)
		}
		if c.b.warmingUp(s) {
			fmt.Fprintf(out, ", cold at %.0f%%", 100*c.b.warmupFraction(s))
		}
		if s.inFlight > 0 {
			fmt.Fprintf(out, ", holds %d", s.inFlight)
		}
		fmt.Fprintln(out)
	}
	if c.b.shedding.integral > 0.005 {
		fmt.Fprintf(out, "sheds %.0f%% lastingly\n", 100*c.b.shedding.integral)
	}
}

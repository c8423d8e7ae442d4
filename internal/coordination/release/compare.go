package release

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Kind is whether a field may differ while old and new sidecars run side by side.
type Kind uint8

// The kinds, from harmless to refused.
const (
	SideBySide Kind = iota
	TwoSteps        // in the order that Why says
	Refused
)

func (k Kind) String() string { return [...]string{"side by side", "two steps", "refused"}[k] }

// Finding is one field that differs.
type Finding struct {
	Field   string `json:"field"` // as settings.classes[plate-reserve].window_ms
	Old     string `json:"Old"`
	New     string `json:"New"`
	Kind    Kind   `json:"-"`
	Verdict string `json:"verdict"`
	Reason  string `json:"why"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s, was %s: %v: %s", f.Field, f.New, f.Old, f.Kind, f.Reason)
}

// Worst is the kind of a change as a whole.
func Worst(all []Finding) (k Kind) {
	for _, f := range all {
		k = max(k, f.Kind)
	}
	return k
}

const absent = "none" // how a field that is not there is shown

// rule says what a change of a field means. Patterns have a star for what stands in brackets.
type rule struct {
	field    string
	classify func(old, new any) (Kind, string)
}

func alwaysKind(k Kind, why string) func(any, any) (Kind, string) {
	return func(any, any) (Kind, string) { return k, why }
}

// number is a setting as a number; otherwise stands for one that is not there.
func number(v any, otherwise float64) float64 {
	if n, ok := v.(json.Number); ok {
		if f, err := strconv.ParseFloat(n.String(), 64); err == nil {
			return f
		}
	}
	return otherwise
}

// byGrowth judges by whether a number becomes larger.
func byGrowth(otherwise float64, more Kind, whyMore string, less Kind, whyLess string) func(any, any) (Kind, string) {
	return func(old, new any) (Kind, string) {
		if number(new, otherwise) > number(old, otherwise) {
			return more, whyMore
		}
		return less, whyLess
	}
}

const noWindow = 1e300 // a window that is not there

var groupReach = map[any]int{nil: 2, "": 2, "all": 2, "zone": 1, "cell": 0}

// rules are all fields that the program reads; a field without one that it does not read may differ.
var rules = []rule{
	{"name", alwaysKind(Refused, "processes of a sidecar meet by their name: the next would not find the one in service")},
	{"listen", alwaysKind(Refused, "clients, and the next process, find the sidecar there; move clients to a sidecar of its own")},
	{"discovery", alwaysKind(SideBySide, "each process asks its own; both must tell of the same servers")},
	{"admin_addr", alwaysKind(SideBySide, "each process has its own")},
	{"seed", alwaysKind(SideBySide, "it only draws")},
	{"limits.*", alwaysKind(SideBySide, "each process keeps to its own; while there are two they share what the first has")},
	{"settings.classes", appendedOnly},
	{"settings.classes[*]", func(old, new any) (Kind, string) {
		if old == nil {
			return TwoSteps, "old sidecars refuse the class as unknown: first change all sidecars, then let clients send it"
		}
		return TwoSteps, "new sidecars refuse the class as unknown: first have clients stop to send it"
	}},
	{"settings.classes[*].effect", func(old, new any) (Kind, string) {
		free := map[any]int{"read_like": 2, "idempotency_key": 1, "non_idempotent": 0}
		if free[new] > free[old] {
			return Refused, "it becomes freely repeatable: what runs under the old effect would run twice; add a class of another name"
		}
		return TwoSteps, "method and key of a request fit one effect only: add a class of another name, move clients to it, then remove this one"
	}},
	{"settings.classes[*].group", func(old, new any) (Kind, string) {
		if groupReach[new] > groupReach[old] {
			return TwoSteps, "repeats go to more servers: first all of the wider group must drop them, then the sidecars"
		}
		return SideBySide, "repeats go to fewer servers; change the servers after the sidecars"
	}},
	{"settings.classes[*].window_ms", byGrowth(noWindow,
		TwoSteps, "repeats come later: first servers must remember keys for longer, then the sidecars",
		Refused, "old sidecars repeat within the longer window until all are changed: keep servers at it, and shrink theirs last")},
	{"settings.classes[*].hard_limit_ms", byGrowth(0,
		Refused, "clients wait no longer than the old one: what is sent after that runs for nobody; have clients wait longer, under a class of another name",
		SideBySide, "new sidecars give up sooner")},
	{"settings.classes[*].stream", alwaysKind(TwoSteps, "a stream is another exchange: add a class of another name, move clients to it")},
	{"settings.classes[*].on_time_ms", alwaysKind(SideBySide, "it is an aim of each sidecar")},
	{"settings.classes[*].aim_stretch", alwaysKind(SideBySide, "it is an aim of each sidecar")},
	{"settings.classes[*].worth", alwaysKind(SideBySide, "each sidecar sheds by its own; shares of classes differ until all are changed")},
	{"settings.classes[*].late_worth", alwaysKind(SideBySide, "each sidecar sheds by its own")},
	{"settings.tenants", appendedOnly},
	{"settings.tenants[*]", alwaysKind(SideBySide, "one that a sidecar does not know has no allowance there")},
	{"settings.tenants[*].allowance_per_s", alwaysKind(SideBySide, "each sidecar keeps to its own part")},
	{"settings.tenants[*].share", alwaysKind(SideBySide, "each sidecar keeps to its own part")},
	{"settings.zones*", alwaysKind(Refused, "what was learned of zones is handed over by place: keep the list, or restart from nothing")},
	{"settings.kinds*", alwaysKind(Refused, "what was learned of kinds of servers is handed over by place: keep the list, or restart from nothing")},
	{"settings.zone", alwaysKind(Refused, "a sidecar does not move: start it elsewhere")},
	{"settings.discovery", alwaysKind(TwoSteps, "lists are asked for or pushed: first discovery must do both, then change the sidecars, then end the old way")},
	{"settings.my_number", alwaysKind(Refused, "it is one sidecar's own")},
	{"settings.peers_total", byGrowth(1,
		SideBySide, "each takes a smaller part",
		TwoSteps, "each takes a larger part of the servers: first end the sidecars that are too many, then change the others")},
	{"settings.report.*", alwaysKind(TwoSteps, "reports are read as the settings say: servers must send both forms until all sidecars are changed")},
	{"settings.limits.max_attempts", alwaysKind(SideBySide, "each sidecar repeats by its own; attempts a request may grow: watch them")},
	{"settings.limits.conn_idle_ms", byGrowth(0,
		TwoSteps, "connections are used for longer: first servers must keep them, then the sidecars",
		SideBySide, "new sidecars close sooner; change the servers after them")},
	{"settings.limits.probes", permission("probes: servers must answer them first")},
	{"settings.limits.may_tell", permission("messages between sidecars: old ones must take them first")},
	{"settings.limits.parallel_tries", permission("two tries at once: servers must allow them first")},
	{"settings.limits.cancel", alwaysKind(SideBySide, localLimit)},
	{"settings.limits.connect_timeout_ms", alwaysKind(SideBySide, localLimit)},
	{"settings.limits.max_retry_after_ms", alwaysKind(SideBySide, localLimit)},
	{"settings.limits.retry_after", alwaysKind(SideBySide, localLimit)},
	{"settings.rules.drain_grace_ms", byGrowth(0,
		TwoSteps, "work is sent to draining servers for longer: first they must take it, then the sidecars",
		Refused, "old sidecars send for the longer grace until all are changed: servers must keep it until then; change the servers last, and then the sidecars")},
	{"settings.rules.cold_from", alwaysKind(SideBySide, "how large a cold server is taken to be; see the budget")},
	{"settings.rules.cold_ms", byGrowth(0, SideBySide, "servers are taken to be cold for longer",
		Refused, "new sidecars take servers for warm that old ones, and perhaps the servers, take for cold")},
	{"settings.rules.fall_multiple", alwaysKind(SideBySide, "see the budget")},
	{"settings.rules.answer_slack_ms", alwaysKind(SideBySide, localLimit)},
	{"settings.rules.ask_within_ms", alwaysKind(SideBySide, localLimit)},
	{"settings.rules.fall_ms", alwaysKind(SideBySide, "see the budget")},
	{"settings.over_share_worth", alwaysKind(SideBySide, localWeight)},
	{"settings.quantum_ms", alwaysKind(SideBySide, localWeight)},
	{"settings.result_mix.*", alwaysKind(SideBySide, localWeight)},
	{"settings.penalties.*", alwaysKind(SideBySide, localWeight)},
	{"settings.family_info.warm_keys", alwaysKind(SideBySide, "keys move to other servers until all are changed")},
}

const (
	localWeight = "it weighs what each sidecar does by itself"
	localLimit  = "each sidecar keeps to its own"
)

// appendedOnly judges an order of names: what was learned is handed over by place.
func appendedOnly(old, new any) (Kind, string) {
	a, b := fmt.Sprint(old)+", ", fmt.Sprint(new)+", "
	if strings.HasPrefix(a, b) || strings.HasPrefix(b, a) {
		return SideBySide, "the others keep their places"
	}
	return Refused, "what was learned is handed over by place: keep the order, add at the end and remove from the end"
}

// permission is a permission: to give one is for others first.
func permission(first string) func(any, any) (Kind, string) {
	return func(_, new any) (Kind, string) {
		if new == true {
			return TwoSteps, first
		}
		return SideBySide, "new sidecars do it no more"
	}
}

// Compare says what differs between two configurations, field by field, and what that means while both are in use.
func Compare(old, new []byte) ([]Finding, error) {
	a, err := flattenSettings(old)
	if err != nil {
		return nil, fmt.Errorf("the old settings: %w", err)
	}
	b, err := flattenSettings(new)
	if err != nil {
		return nil, fmt.Errorf("the new settings: %w", err)
	}
	fields := maps.Clone(a)
	maps.Copy(fields, b)
	var all []Finding
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		before, was := a[field]
		now, is := b[field]
		if was == is && before == now || coveredByEntry(field, a, b) {
			continue
		}
		f := Finding{Field: field, Old: display(before, was), New: display(now, is), Kind: SideBySide, Reason: "the program does not read it"}
		if r := ruleFor(field); r != nil {
			f.Kind, f.Reason = r.classify(before, now)
		}
		all = append(all, f)
	}
	if f, bad := warmUpBudget(a, b); bad {
		all = append(all, f)
	}
	for i := range all {
		all[i].Verdict = all[i].Kind.String()
	}
	return all, nil
}

// coveredByEntry reports whether a field is part of a class or tenant that is there on one side only: that is one finding.
func coveredByEntry(field string, a, b map[string]any) bool {
	at := strings.LastIndex(field, "].")
	if at < 0 {
		return false
	}
	_, before := a[field[:at+1]]
	_, now := b[field[:at+1]]
	return before != now
}

// ruleFor is the rule of a field: the first pattern that fits.
func ruleFor(field string) *rule {
	for i := range rules {
		if matches(rules[i].field, field) {
			return &rules[i]
		}
	}
	return nil
}

// matches reports whether a field is that of a pattern, whose stars stand for any text.
func matches(pattern, field string) bool {
	parts := strings.Split(pattern, "*")
	if !strings.HasPrefix(field, parts[0]) {
		return false
	}
	field = field[len(parts[0]):]
	for i, p := range parts[1:] {
		if i == len(parts)-2 {
			return strings.HasSuffix(field, p) && (p == "" || strings.Count(field, "].") == strings.Count(p, "]."))
		}
		at := strings.Index(field, p)
		if at < 0 {
			return false
		}
		field = field[at+len(p):]
	}
	return field == ""
}

// warmUpBudget is whether cold servers bear a mixed fleet: a sidecar gives a server that takes part s of its full work while cold, and falls
// over at f times that, s x f / 2 of its own part. The settings with the smaller s x f may be the true ones.
func warmUpBudget(a, b map[string]any) (f Finding, bad bool) {
	part := func(m map[string]any) (fall, used float64) {
		size, multiple := number(m["settings.rules.cold_from"], 1), number(m["settings.rules.fall_multiple"], 0)
		return size * multiple, size * max(1, multiple/2)
	}
	oldFall, oldUsed := part(a)
	newFall, newUsed := part(b)
	falls, used := min(oldFall, newFall), max(oldUsed, newUsed)
	if oldFall == newFall || falls == 0 || used <= falls {
		return f, false
	}
	return Finding{Field: "settings.rules (cold budgets)", Old: fmt.Sprintf("falls at %.3g", oldFall), New: fmt.Sprintf("falls at %.3g", newFall), Kind: Refused,
		Reason: fmt.Sprintf("while both are in use cold servers may be given %.3g of their full work, and by the stricter of both settings fall over at %.3g: change by smaller steps", used, falls)}, true
}

// flattenSettings is a configuration as fields; members of lists that have a name go by it.
func flattenSettings(text []byte) (map[string]any, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v map[string]any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	delete(v, "known") // what discovery told at some time: not a setting
	all := map[string]any{}
	for k, v := range v {
		flatten(all, k, v)
	}
	return all, nil
}

func flatten(all map[string]any, at string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, v := range v {
			flatten(all, at+"."+k, v)
		}
	case []any:
		var names []string
		for i, v := range v {
			m, _ := v.(map[string]any)
			name, named := m["name"].(string)
			if !named {
				flatten(all, fmt.Sprintf("%s[%d]", at, i), v)
				continue
			}
			names = append(names, name)
			all[at+"["+name+"]"] = "there"
			for k, v := range m {
				if k != "name" {
					flatten(all, at+"["+name+"]."+k, v)
				}
			}
		}
		if names != nil {
			all[at] = strings.Join(names, ", ")
		}
	default:
		all[at] = v
	}
}

func display(v any, is bool) string {
	if !is {
		return absent
	}
	return fmt.Sprint(v)
}

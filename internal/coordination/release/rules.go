package release

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// rule classifies changes of the fields whose paths match a pattern. In a pattern a star stands for any text, such as the name of
// an entry in brackets. classify gets the old and the new value, nil for a side without the field, and returns the kind and its
// reason.
type rule struct {
	pattern  string
	classify func(old, new any) (Kind, string)
}

// Reasons for settings that affect only the sidecar that has them.
const (
	localWeight = "it weighs what each sidecar does by itself"
	localLimit  = "each sidecar keeps to its own"
	localShare  = "each sidecar keeps to its own share"
	localTarget = "it is a latency target of each sidecar"
)

// rules covers all fields that the sidecar reads; the first rule whose pattern matches applies. Fields without a rule are not
// read by the sidecar and may differ. TestEveryFieldHasARule compares the table with the sidecar's source.
var rules = []rule{
	{"name", alwaysKind(Refused, "the processes of a sidecar find each other by its name: the next one would not find the one in service")},
	{"listen", alwaysKind(Refused, "clients, and the next process, find the sidecar there; move clients to a sidecar of its own")},
	{"discovery", alwaysKind(SideBySide, "each process asks its own; both must list the same servers")},
	{"admin_addr", alwaysKind(SideBySide, "each process has its own")},
	{"seed", alwaysKind(SideBySide, "it seeds random choices alone")},
	{"limits.*", alwaysKind(SideBySide, "each process keeps to its own; while there are two they share what the first has")},
	{"settings.classes", appendedOnly},
	{"settings.classes[*]", func(old, new any) (Kind, string) {
		if old == nil {
			return TwoSteps, "old sidecars refuse the class as unknown: first change all sidecars, then let clients send it"
		}
		return TwoSteps, "new sidecars refuse the class as unknown: first have clients stop to send it"
	}},
	{"settings.classes[*].effect", func(old, new any) (Kind, string) {
		repeatability := map[any]int{"read_like": 2, "idempotency_key": 1, "non_idempotent": 0}
		if repeatability[new] > repeatability[old] {
			return Refused, "it becomes freely repeatable: what runs under the old effect would run twice; add a class of another name"
		}
		return TwoSteps, "method and key of a request fit one effect only: add a class of another name, move clients to it, then remove this one"
	}},
	{"settings.classes[*].group", func(old, new any) (Kind, string) {
		if groupReach[new] > groupReach[old] {
			return TwoSteps, "retries go to more servers: first all of the wider group must drop duplicates, then change the sidecars"
		}
		return SideBySide, "retries go to fewer servers; change the servers after the sidecars"
	}},
	{"settings.classes[*].window_ms", byGrowth(noWindow,
		TwoSteps, "retries come later: first servers must remember keys for longer, then change the sidecars",
		Refused, "old sidecars retry within the longer window until all are changed: keep servers at it, and shrink theirs last")},
	{"settings.classes[*].hard_limit_ms", byGrowth(0,
		Refused, "clients wait no longer than the old one: what is sent after that runs for nobody; have clients wait longer, under a class of another name",
		SideBySide, "new sidecars give up sooner")},
	{"settings.classes[*].stream", alwaysKind(TwoSteps, "a stream is another exchange: add a class of another name, move clients to it")},
	{"settings.classes[*].on_time_ms", alwaysKind(SideBySide, localTarget)},
	{"settings.classes[*].aim_stretch", alwaysKind(SideBySide, localTarget)},
	{"settings.classes[*].worth", alwaysKind(SideBySide, "each sidecar sheds load by its own; shares of classes differ until all are changed")},
	{"settings.classes[*].late_worth", alwaysKind(SideBySide, "each sidecar sheds load by its own")},
	{"settings.tenants", appendedOnly},
	{"settings.tenants[*]", alwaysKind(SideBySide, "one that a sidecar does not know has no allowance there")},
	{"settings.tenants[*].allowance_per_s", alwaysKind(SideBySide, localShare)},
	{"settings.tenants[*].share", alwaysKind(SideBySide, localShare)},
	{"settings.zones*", immutableList("zones")},
	{"settings.kinds*", immutableList("kinds of servers")},
	{"settings.zone", alwaysKind(Refused, "a sidecar does not move: start it elsewhere")},
	{"settings.discovery", alwaysKind(TwoSteps, "lists are polled or pushed: first discovery must do both, then change the sidecars, then end the old way")},
	{"settings.my_number", alwaysKind(Refused, "it is one sidecar's own")},
	{"settings.peers_total", byGrowth(1,
		SideBySide, "each takes a smaller share",
		TwoSteps, "each takes a larger part of the servers: first end the sidecars that are too many, then change the others")},
	{"settings.report.*", alwaysKind(TwoSteps, "reports are read as the settings say: servers must send both forms until all sidecars are changed")},
	{"settings.limits.max_attempts", alwaysKind(SideBySide, "each sidecar retries by its own; attempts per request may grow: watch them")},
	{"settings.limits.conn_idle_ms", byGrowth(0,
		TwoSteps, "connections are used for longer: first servers must keep them, then change the sidecars",
		SideBySide, "new sidecars close sooner; change the servers after them")},
	{"settings.limits.probes", permission("health checks: servers must answer them first")},
	{"settings.limits.may_tell", permission("messages between sidecars: old ones must take them first")},
	{"settings.limits.parallel_tries", permission("hedged requests: servers must allow them first")},
	{"settings.limits.cancel", alwaysKind(SideBySide, localLimit)},
	{"settings.limits.connect_timeout_ms", alwaysKind(SideBySide, localLimit)},
	{"settings.limits.max_retry_after_ms", alwaysKind(SideBySide, localLimit)},
	{"settings.limits.retry_after", alwaysKind(SideBySide, localLimit)},
	{"settings.rules.drain_grace_ms", byGrowth(0,
		TwoSteps, "work is sent to draining servers for longer: first they must accept it, then change the sidecars",
		Refused, "old sidecars send for the longer grace until all are changed: servers must keep it until then; change the servers last, and then the sidecars")},
	{"settings.rules.cold_from", alwaysKind(SideBySide, "how much work a server that is warming up is given; see the cold budgets")},
	{"settings.rules.cold_ms", byGrowth(0, SideBySide, "servers are taken to be warming up for longer",
		Refused, "new sidecars take servers for warm that are still warming up for old ones, and perhaps in fact")},
	{"settings.rules.fall_multiple", alwaysKind(SideBySide, "see the cold budgets")},
	{"settings.rules.answer_slack_ms", alwaysKind(SideBySide, localLimit)},
	{"settings.rules.ask_within_ms", alwaysKind(SideBySide, localLimit)},
	{"settings.rules.fall_ms", alwaysKind(SideBySide, "see the cold budgets")},
	{"settings.over_share_worth", alwaysKind(SideBySide, localWeight)},
	{"settings.quantum_ms", alwaysKind(SideBySide, localWeight)},
	{"settings.result_mix.*", alwaysKind(SideBySide, localWeight)},
	{"settings.penalties.*", alwaysKind(SideBySide, localWeight)},
	{"settings.family_info.warm_keys", alwaysKind(SideBySide, "keys move to other servers until all are changed")},
}

// appendedOnly classifies a change of an ordered list of names. Learned state is handed over by position, so names may be added
// and removed only at the end.
func appendedOnly(old, new any) (Kind, string) {
	a, b := fmt.Sprint(old)+", ", fmt.Sprint(new)+", "
	if strings.HasPrefix(a, b) || strings.HasPrefix(b, a) {
		return SideBySide, "the others keep their positions"
	}
	return Refused, "what was learned is handed over by position: keep the order, add at the end and remove from the end"
}

// immutableList classifies a change of an ordered list whose learned state is handed over by position, so that the list must not
// change.
func immutableList(what string) func(any, any) (Kind, string) {
	return alwaysKind(Refused, "what was learned of "+what+" is handed over by position: keep the list, or restart from nothing")
}

// permission classifies a change of a boolean permission. first says what has to be done before it is granted.
func permission(first string) func(any, any) (Kind, string) {
	return func(_, new any) (Kind, string) {
		if new == true {
			return TwoSteps, first
		}
		return SideBySide, "new sidecars no longer do it"
	}
}

// alwaysKind classifies every change alike.
func alwaysKind(kind Kind, reason string) func(any, any) (Kind, string) {
	return func(any, any) (Kind, string) { return kind, reason }
}

// number returns a setting as a number, absent if it is missing or not a number.
func number(value any, absent float64) float64 {
	if n, ok := value.(json.Number); ok {
		if f, err := strconv.ParseFloat(n.String(), 64); err == nil {
			return f
		}
	}
	return absent
}

// byGrowth classifies a change of a number by whether it increases. absent is the value that stands for a missing field.
func byGrowth(absent float64, larger Kind, largerReason string, smaller Kind, smallerReason string) func(any, any) (Kind, string) {
	return func(old, new any) (Kind, string) {
		if number(new, absent) > number(old, absent) {
			return larger, largerReason
		}
		return smaller, smallerReason
	}
}

// noWindow is the value for an absent window, which is unlimited and therefore larger than any other.
const noWindow = 1e300

// groupReach orders groups of servers by how many servers the retries of a request may reach.
var groupReach = map[any]int{nil: 2, "": 2, "all": 2, "zone": 1, "cell": 0}

// ruleFor returns the rule for a field, nil if there is none.
func ruleFor(field string) *rule {
	for i := range rules {
		if matches(rules[i].pattern, field) {
			return &rules[i]
		}
	}
	return nil
}

// matches reports whether a field path matches a pattern. The last star does not match paths into the fields of a list entry.
func matches(pattern, field string) bool {
	literals := strings.Split(pattern, "*")
	if !strings.HasPrefix(field, literals[0]) {
		return false
	}
	field = field[len(literals[0]):]
	for i, literal := range literals[1:] {
		if i == len(literals)-2 {
			return strings.HasSuffix(field, literal) && (literal == "" || strings.Count(field, "].") == strings.Count(literal, "]."))
		}
		at := strings.Index(field, literal)
		if at < 0 {
			return false
		}
		field = field[at+len(literal):]
	}
	return field == ""
}

package latency

import "time"

// Phase is a part of a request's time until the first part of its answer.
type Phase int

// The phases, in the order in which a request goes through them.
const (
	Start    Phase = iota // waiting until the router has a configuration and servers
	Quota                 // waiting until units of the tenant's limit are granted
	Rerouted              // attempts at servers that did not answer
	Connect               // waiting for a connection to the server that answered
	Server                // from the connection to the first part of the answer: queueing at the server, earlier prompts, this prompt
	phaseCount
)

var phaseNames = [phaseCount]string{"start", "quota", "rerouted", "connect", "server"}

// String returns the phase's name in reports and logs.
func (p Phase) String() string { return phaseNames[p] }

// Reason is the outcome of a request and its cause. Its text appears in reports and logs.
type Reason string

// The reasons. If the first part of the answer is late, the reason is latePrefix followed by the name of the longest
// phase; if only a later part is late, it is LateGap. A request with one of the Refused reasons was not run by any
// server; a request with one of the Lost reasons may have been run.
const (
	InTime        Reason = "in_time"
	LateGap       Reason = "late_pause" // too much time between two parts of the answer
	RefusedLimit  Reason = "refused_limit"
	RefusedEnding Reason = "refused_ending"
	RefusedServer Reason = "refused_no_server"
	RefusedStart  Reason = "refused_start"
	LostTimeout   Reason = "lost_out_of_time"
	LostBroken    Reason = "lost_broken_off"
	ClientGone    Reason = "client_gone"

	latePrefix = "late_"
)

// Trace records the times of one request and its outcome. Package gateway fills it while it serves the request.
type Trace struct {
	PhaseTimes      [phaseCount]time.Duration
	TimeToFirstByte time.Duration // from the request's receipt to the first part of its answer; 0: there was none
	MaxGap          time.Duration // the longest time between two parts of the answer
	FailureReason   Reason        // why the request was not served; "": it was served
	Server          string        // ID of the server that answered, or of the last attempt
	Attempts        int           // number of servers that were tried
}

// Reason returns the outcome of a request and, if it was late, the cause. The argument target is the route's latency
// target for the first part of the answer, and gapTarget that for the time between two parts; 0 means no target.
func (t *Trace) Reason(target, gapTarget time.Duration) Reason {
	switch {
	case t.FailureReason != "":
		return t.FailureReason
	case target > 0 && t.TimeToFirstByte > target:
		return Reason(latePrefix + t.longestPhase().String())
	case gapTarget > 0 && t.MaxGap > gapTarget:
		return LateGap
	}
	return InTime
}

func (t *Trace) longestPhase() Phase {
	longest := Server
	for p := range phaseCount {
		if t.PhaseTimes[p] > t.PhaseTimes[longest] {
			longest = p
		}
	}
	return longest
}

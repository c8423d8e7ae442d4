package latency

import "time"

// Phase is a part of a request's time until the first part of its answer.
type Phase int

// The phases, in the order in which a request goes through them.
const (
	Start    Phase = iota // until the router had a configuration and servers
	Quota                 // until units of the tenant's limit were granted
	Rerouted              // at servers that did not answer
	Connect               // until there was a connection to the server that answered
	Server                // from then to the first part of the answer: the server's queue, the prompts before this one, the prompt itself
	phases
)

var phaseNames = [phases]string{"start", "quota", "rerouted", "connect", "server"}

// String is the phase's name in reports.
func (p Phase) String() string { return phaseNames[p] }

// Reason is what became of a request, and why. Its text is in reports and logs.
type Reason string

// The reasons. A late request has latePrefix with the phase that took longest, or LateGap. Refused requests were not sent to any server, or none has run them; lost ones may have run.
const (
	InTime        Reason = "in_time"
	LateGap       Reason = "late_pause" // between two parts of a stream
	RefusedLimit  Reason = "refused_limit"
	RefusedEnding Reason = "refused_ending"
	RefusedServer Reason = "refused_no_server"
	RefusedStart  Reason = "refused_start"
	LostTime      Reason = "lost_out_of_time"
	LostBroken    Reason = "lost_broken_off"
	ClientGone    Reason = "client_gone"

	latePrefix = "late_"
)

// Trace is the time of one request.
type Trace struct {
	PhaseTimes      [phases]time.Duration
	TimeToFirstByte time.Duration // from the request's receipt to the first part of its answer; 0: there was none
	MaxGap          time.Duration // the longest between two parts of the answer
	FailureReason   Reason        // why it was not served; "": it was
	Server          string        // that answered, or of the last attempt
	Attempts        int           // servers that were tried
}

// Reason is what became of a request with a latency target for the first part of its answer, and one for gaps; 0: it has none.
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
	for p := range phases {
		if t.PhaseTimes[p] > t.PhaseTimes[longest] {
			longest = p
		}
	}
	return longest
}

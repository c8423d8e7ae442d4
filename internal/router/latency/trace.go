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

// String returns the phase's name in reports and logs.
func (p Phase) String() string { return phaseNames[p] }

// Reason is what became of a request, and why. Its text is in reports and logs.
type Reason string

// The reasons. A request that was late with the first part of its answer has latePrefix and the name of the phase that
// took longest, one that was late between two parts LateGap. No server has run a request with one of the Refused
// reasons; one with one of the Lost reasons may have run.
const (
	InTime        Reason = "in_time"
	LateGap       Reason = "late_pause" // between two parts of a stream
	RefusedLimit  Reason = "refused_limit"
	RefusedEnding Reason = "refused_ending"
	RefusedServer Reason = "refused_no_server"
	RefusedStart  Reason = "refused_start"
	LostTimeout   Reason = "lost_out_of_time"
	LostBroken    Reason = "lost_broken_off"
	ClientGone    Reason = "client_gone"

	latePrefix = "late_"
)

// Trace is the time of one request, and how it ended. Package gateway fills it while it serves the request.
type Trace struct {
	PhaseTimes      [phases]time.Duration
	TimeToFirstByte time.Duration // from the request's receipt to the first part of its answer; 0: there was none
	MaxGap          time.Duration // the longest between two parts of the answer
	FailureReason   Reason        // why it was not served; "": it was
	Server          string        // that answered, or of the last attempt
	Attempts        int           // servers that were tried
}

// Reason returns what became of a request, and why it was late where it was. Target is the route's latency target for
// the first part of the answer, gapTarget that for the time between two parts; 0 is none.
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

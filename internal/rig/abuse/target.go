package abuse

import (
	"testing"
	"time"

	"petrelhook/internal/common/await"
)

// Target is a process with one listener that crowds come to.
type Target struct {
	Address  string
	PID      int
	Ended    chan error  // gets a value when the process ends
	MemoryMb int         // the limit in its settings
	Answers  func() bool // reports whether an ordinary call is answered
}

// BearInTurn checks that the process bears crowds of all behaviours, one after the other: it lives, stays within its memory, answers beside
// each crowd and after it, and keeps none of its connections.
func (target Target) BearInTurn(t *testing.T, clients int, behaviours Behaviours) {
	t.Helper()
	meter := Watch(t, target.PID, target.Address)
	atRest := meter.Descriptors()
	for _, name := range behaviours.Names() {
		if !t.Run(name, func(t *testing.T) { target.bear(t, meter, atRest, Start(t, target.Address, clients, behaviours[name])) }) {
			return // what comes after it would fail too
		}
	}
}

// bear checks that the process bears a crowd.
func (target Target) bear(t *testing.T, meter *Meter, atRest int, c *Crowd) {
	t.Helper()
	const keptByCalls = 16 // descriptors of connections for ordinary calls
	c.WaitSent()
	besideCrowd := false
	for deadline := time.Now().Add(await.Timeout); !besideCrowd && time.Now().Before(deadline); {
		besideCrowd = target.Answers()
	}
	peak := meter.Peak()
	t.Logf("with the crowd: %v, a call is answered: %t", peak, besideCrowd)
	c.Leave()
	if len(target.Ended) > 0 {
		t.Fatal("the process has ended")
	}
	await.Eventually(t, "a call is answered after the crowd", target.Answers)
	await.Eventually(t, "nothing of the crowd is kept", func() bool { return meter.Descriptors() < atRest+keptByCalls })
	if peak.ResidentMb+peak.QueuedMb >= target.MemoryMb || !besideCrowd {
		t.Errorf("%v; a call is answered beside the crowd: %t", peak, besideCrowd)
	}
}

// Call returns the function that makes heads of calls to a path, whose bodies are JSON.
func Call(path string) Head {
	return func(framing string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n" + framing
	}
}

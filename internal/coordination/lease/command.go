package lease

import (
	"fmt"
	"strings"
	"time"
)

// SessionID names a session; no two of a group ever have the same one.
type SessionID uint64

// Token is of one grant, and larger than that of every grant before it, of whichever lease.
type Token uint64

// Kind is what a command does.
type Kind uint8

// The commands. Those of clients carry their session and a number in it, so that one that is asked again, or comes late, acts once.
const (
	Open       Kind = iota + 1 // begins a session; a second one with the same nonce gives the same session
	Acquire                    // grants the lease if it is free; else the session waits for it, if Wait
	Cancel                     // waits no more, or lets go of what it was granted meanwhile
	Release                    // lets go of a grant
	Transfer                   // hands a grant to a session that waits for it
	Close                      // ends the session, and all that it holds
	Break                      // operators: a grant is renewed no more, and free after a TTL
	Expire                     // the leader: a session's time is up
	Free                       // the leader: the time of a broken grant is up
	EndEmbargo                 // the leader: all that lived before a restore is over
)

var kinds = [...]string{Open: "open", Acquire: "acquire", Cancel: "cancel", Release: "release", Transfer: "transfer", Close: "close",
	Break: "break", Expire: "expire", Free: "free", EndEmbargo: "end embargo"}

// String names the kind.
func (k Kind) String() string {
	if int(k) < len(kinds) && kinds[k] != "" {
		return kinds[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Command is one entry of the log.
type Command struct {
	Kind       Kind          `json:"k"`
	Session    SessionID     `json:"s,omitempty"`
	Seq        uint64        `json:"n,omitempty"` // 1, 2, ... in the session; only commands of clients have one
	Name       string        `json:"l,omitempty"` // of the lease
	Token      Token         `json:"t,omitempty"` // Release, Transfer, Break, Free: of which grant
	Wait       bool          `json:"w,omitempty"`
	TransferTo SessionID     `json:"o,omitempty"` // Transfer
	Nonce      string        `json:"c,omitempty"` // Open: drawn by the client
	Owner      string        `json:"u,omitempty"` // Open: a name for people; two sessions may have the same
	TTL        time.Duration `json:"d,omitempty"` // Open
}

// OfClient reports whether a command is one of a session's own.
func (c *Command) OfClient() bool { return c.Kind >= Acquire && c.Kind <= Close }

// Check says what is wrong with a command from outside, before it gets into the log.
func (c *Command) Check() error {
	switch c.Kind {
	case Open:
		switch {
		case c.TTL < MinTTL || c.TTL > MaxTTL:
			return fmt.Errorf("ttl: %v is out of bounds; write one from %v to %v", c.TTL, MinTTL, MaxTTL)
		case len(c.Nonce) < 8 || len(c.Nonce) > MaxNameBytes:
			return fmt.Errorf("nonce: %d bytes; draw 8 to %d at random", len(c.Nonce), MaxNameBytes)
		}
		return checkName("owner", c.Owner)
	case Acquire, Cancel, Release, Transfer, Break:
		if err := checkName("lease", c.Name); err != nil {
			return err
		}
		if c.Token == 0 && (c.Kind == Release || c.Kind == Transfer) {
			return fmt.Errorf("token: missing; %s needs that of the grant", c.Kind)
		}
		if c.TransferTo == 0 && c.Kind == Transfer {
			return fmt.Errorf("to: missing; write the session that is to have the lease")
		}
	case Close:
	default:
		return fmt.Errorf("%s: not for clients", c.Kind)
	}
	if c.OfClient() && (c.Session == 0 || c.Seq == 0) {
		return fmt.Errorf("%s: session and number must be above 0", c.Kind)
	}
	return nil
}

// checkName keeps names to what can be printed and typed.
func checkName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Errorf("%s: %d bytes; write 1 to %d", field, len(name), MaxNameBytes)
	}
	if i := strings.IndexFunc(name, func(r rune) bool { return r <= ' ' || r > '~' }); i >= 0 {
		return fmt.Errorf("%s: %q has a character at %d that is not plain; write letters, digits and signs without spaces", field, name, i+1)
	}
	return nil
}

// Status is what became of a command.
type Status uint8

// The statuses.
const (
	OK          Status = iota + 1
	Waiting            // somebody else has it; the session is in the queue
	HeldByOther        // somebody else has it
	NoSession          // there is no such session, any more
	NotHeld            // the session does not hold that grant
	Stale              // a command with a larger number came before it; nothing was done
	Full               // a bound is reached
	Embargoed          // nothing is granted yet
)

// String names the status.
func (s Status) String() string {
	return [...]string{"none", "ok", "waiting", "taken", "gone", "not held", "late", "full", "embargoed"}[min(int(s), 8)]
}

// Answer is what a command is answered.
type Answer struct {
	Status       Status    `json:"status"`
	Session      SessionID `json:"session,omitempty"`
	Token        Token     `json:"token,omitempty"`
	Holder       string    `json:"holder,omitempty"` // Taken and Waiting: the owner of the session that has it
	WaitersAhead int       `json:"ahead,omitempty"`  // Waiting: how many come before, the holder not counted
}

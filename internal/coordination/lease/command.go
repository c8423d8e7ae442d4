package lease

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// SessionID identifies a session; no two of a group ever have the same one.
type SessionID uint64

// Token is the fencing token of one grant: larger than that of every grant before it, of whichever lease.
type Token uint64

// Kind is what a command does. It is stored as its number.
type Kind uint8

// The kinds of commands. Those of clients carry their session and a sequence number in it, so that one that is repeated, or arrives late,
// acts once.
const (
	Open       Kind = iota + 1 // begins a session; a second one with the same nonce gives the same session
	Acquire                    // grants the lease if it is free; else the session waits for it, if Wait
	Cancel                     // ends the wait for a lease, or releases what was granted meanwhile
	Release                    // ends a grant
	Transfer                   // hands a lease to a session that waits for it, before all others
	Close                      // ends the session, and its grants
	Break                      // from operators: a grant is not renewed any more, and free after a TTL
	Expire                     // from the leader: the TTL of a session has passed
	Free                       // from the leader: the TTL of a broken grant has passed
	EndEmbargo                 // from the leader: everything from before a restore has expired
)

var kindNames = [...]string{Open: "open", Acquire: "acquire", Cancel: "cancel", Release: "release", Transfer: "transfer", Close: "close",
	Break: "break", Expire: "expire", Free: "free", EndEmbargo: "end embargo"}

// String names the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Command is one command of the log. Which fields it needs depends on its kind.
type Command struct {
	Kind       Kind          `json:"k"`
	Session    SessionID     `json:"s,omitempty"`
	Seq        uint64        `json:"n,omitempty"` // 1, 2, ... in the session; commands of clients alone have one
	Name       string        `json:"l,omitempty"` // of the lease
	Token      Token         `json:"t,omitempty"` // Release, Transfer, Break, Free: of the grant
	Wait       bool          `json:"w,omitempty"` // Acquire: wait in the queue where another session holds the lease
	TransferTo SessionID     `json:"o,omitempty"` // Transfer: who gets the lease
	Nonce      string        `json:"c,omitempty"` // Open: drawn by the client at random
	Owner      string        `json:"u,omitempty"` // Open: a name for operators; two sessions may have the same
	TTL        time.Duration `json:"d,omitempty"` // Open
}

// OfClient reports whether a command comes from the client of a session.
func (c *Command) OfClient() bool { return c.Kind >= Acquire && c.Kind <= Close }

// errNoTransferTarget is the error of a Transfer that names no session.
var errNoTransferTarget = errors.New("to: missing; write the session that is to have the lease")

// Check returns what is wrong with a command of a client, before it gets into the log. The error names the field and says what to write.
func (c *Command) Check() error {
	switch c.Kind {
	case Open:
		return c.checkOpen()
	case Acquire, Cancel, Release, Transfer, Break:
		if err := checkName("lease", c.Name); err != nil {
			return err
		}
		if c.Token == 0 && (c.Kind == Release || c.Kind == Transfer) {
			return fmt.Errorf("token: missing; %s needs that of the grant", c.Kind)
		}
		if c.TransferTo == 0 && c.Kind == Transfer {
			return errNoTransferTarget
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

// minNonceBytes is the shortest nonce: two clients must not draw the same one.
const minNonceBytes = 8

// checkOpen is Check for a command that opens a session.
func (c *Command) checkOpen() error {
	switch {
	case c.TTL < MinTTL || c.TTL > MaxTTL:
		return fmt.Errorf("ttl: %v is out of bounds; write one from %v to %v", c.TTL, MinTTL, MaxTTL)
	case len(c.Nonce) < minNonceBytes || len(c.Nonce) > MaxNameBytes:
		return fmt.Errorf("nonce: %d bytes; draw %d to %d at random", len(c.Nonce), minNonceBytes, MaxNameBytes)
	}
	return checkName("owner", c.Owner)
}

// checkName restricts names to printable ASCII without spaces.
func checkName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Errorf("%s: %d bytes; write 1 to %d", field, len(name), MaxNameBytes)
	}
	if i := strings.IndexFunc(name, func(r rune) bool { return r <= ' ' || r > '~' }); i >= 0 {
		return fmt.Errorf("%s: %q has a character at %d that is not plain; write letters, digits and signs without spaces", field, name, i+1)
	}
	return nil
}

// Status is the outcome of a command. It is sent and stored as its number.
type Status uint8

// The statuses.
const (
	OK          Status = iota + 1
	Waiting            // another session holds the lease; this one is in the queue
	HeldByOther        // another session holds the lease
	NoSession          // the session does not exist, or does not exist any more
	NotHeld            // the session does not hold that grant
	Stale              // a command with a larger number came before it; nothing was done
	Full               // a bound is reached
	Embargoed          // nothing is granted yet after a restore
)

// String returns the status as it is shown to people.
func (s Status) String() string {
	return [...]string{"none", "ok", "waiting", "held by another session", "no such session", "not held", "stale", "full", "embargoed"}[min(int(s), 8)]
}

// Answer is the outcome of a command.
type Answer struct {
	Status       Status    `json:"status"`
	Session      SessionID `json:"session,omitempty"`
	Token        Token     `json:"token,omitempty"`
	Holder       string    `json:"holder,omitempty"` // HeldByOther and Waiting: the owner of the session that holds the lease
	WaitersAhead int       `json:"ahead,omitempty"`  // Waiting: how many are before it in the queue
}

package lease

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// SessionID identifies a session. A group of coordinators never uses an id twice.
type SessionID uint64

// Token is the fencing token of one grant. It is larger than the token of every earlier grant of any lease.
type Token uint64

// Kind is what a command does. It is stored as its number.
type Kind uint8

// The kinds of commands. A client's command carries its session and a sequence number within the session, so that a command that is
// repeated or arrives late is applied only once.
const (
	Open       Kind = iota + 1 // opens a session; a second Open with the same nonce returns the same session
	Acquire                    // grants the lease if it is free; otherwise the session waits for it if Wait is set
	Cancel                     // ends the wait for a lease, or releases the lease if it was granted in the meantime
	Release                    // ends a grant
	Transfer                   // passes a lease to a session that waits for it, ahead of all other waiters
	Close                      // ends the session and its grants
	Break                      // from operators: the grant is not renewed any more, and the lease is free after a TTL
	Expire                     // from the leader: the TTL of a session has passed
	Free                       // from the leader: the TTL of a broken grant has passed
	EndEmbargo                 // from the leader: everything granted before a restore has expired
)

var kindNames = [...]string{Open: "open", Acquire: "acquire", Cancel: "cancel", Release: "release", Transfer: "transfer", Close: "close",
	Break: "break", Expire: "expire", Free: "free", EndEmbargo: "end embargo"}

// String returns the name of the kind, for logs and error messages.
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Command is one entry of the replicated log. Which fields are used depends on its kind.
type Command struct {
	Kind       Kind          `json:"k"`
	Session    SessionID     `json:"s,omitempty"`
	Seq        uint64        `json:"n,omitempty"` // 1, 2, ... in the session; 0 unless OfClient is true
	Name       string        `json:"l,omitempty"` // name of the lease
	Token      Token         `json:"t,omitempty"` // Release, Transfer, Break, Free: token of the grant
	Wait       bool          `json:"w,omitempty"` // Acquire: wait in the queue if another session holds the lease
	TransferTo SessionID     `json:"o,omitempty"` // Transfer: the session that gets the lease
	Nonce      string        `json:"c,omitempty"` // Open: chosen by the client at random
	Owner      string        `json:"u,omitempty"` // Open: a name for operators; several sessions may share it
	TTL        time.Duration `json:"d,omitempty"` // Open: how long the session lives without a renewal
}

// OfClient reports whether the command is sent by the client of an open session.
func (c *Command) OfClient() bool { return c.Kind >= Acquire && c.Kind <= Close }

// errNoTransferTarget is the error of a Transfer that names no session.
var errNoTransferTarget = errors.New("to: missing; write the session that is to have the lease")

// Check validates a command of a client or an operator before it is proposed to the log. The error names the field and states what it must
// contain.
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

// minNonceBytes is the minimum length of a nonce. Random nonces of this length are unlikely to be equal.
const minNonceBytes = 8

// checkOpen validates an Open command.
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
	Waiting            // another session holds the lease; this session is in the queue
	HeldByOther        // another session holds the lease, and the command did not ask to wait
	NoSession          // the session never existed or has ended
	NotHeld            // the session does not hold the grant with this token
	Stale              // a command of the session with a larger sequence number was applied before; nothing was done
	Full               // a limit on sessions, leases or waiters is reached
	Embargoed          // the state was restored from a back-up and grants nothing yet
)

// String returns the status for output to operators.
func (s Status) String() string {
	return [...]string{"none", "ok", "waiting", "held by another session", "no such session", "not held", "stale", "full", "embargoed"}[min(int(s), 8)]
}

// Answer is the outcome of a command.
type Answer struct {
	Status       Status    `json:"status"`
	Session      SessionID `json:"session,omitempty"`
	Token        Token     `json:"token,omitempty"`
	Holder       string    `json:"holder,omitempty"` // HeldByOther and Waiting: the owner of the session that holds the lease
	WaitersAhead int       `json:"ahead,omitempty"`  // Waiting: sessions ahead of this session in the queue
}

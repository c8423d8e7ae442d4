package distribute

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Bounds of a register.
const (
	// MaxTotalContent bounds the total size of the contents of all newest versions, in bytes, because a snapshot of the
	// coordinators' whole state has to stay below 64 MiB.
	MaxTotalContent = 24 << 20
	// MaxRevisionSkip bounds how far a command's Above may exceed the last revision, so that a typing error cannot exhaust the
	// numbers.
	MaxRevisionSkip = 1 << 32
)

// Register holds the newest version of each service. It is a deterministic function of the log: equal logs result in equal
// registers.
type Register struct {
	newest map[string]Version // by service
	last   Revision           // the last assigned revision of all services
	size   int                // total bytes of the contents
}

// NewRegister returns a register without versions.
func NewRegister() *Register { return &Register{newest: map[string]Version{}} }

// Apply applies a checked command of the log. A refused command changes nothing.
func (r *Register) Apply(c Command) Answer {
	current, known := r.newest[c.Service]
	refuse := func(format string, a ...any) Answer {
		return Answer{current.Revision, fmt.Sprintf(format, a...)}
	}
	content, err := Canonical(c.Content)
	if err != nil {
		return refuse("content: %v; write a JSON object", err)
	}
	digest := Digest(content)
	if known && current.Digest == digest && current.StepsDone == c.StepsDone && current.Revision > c.Above {
		return Answer{Revision: current.Revision} // a repeated command, or an unchanged content
	}
	size := r.size - len(current.Content) + len(content)
	switch {
	case c.After != current.Revision:
		return refuse("after: the newest of service %s is revision %d, not %d: another was published meanwhile; "+
			"look at it and write after: %d", c.Service, current.Revision, c.After, current.Revision)
	case c.Above > r.last && c.Above-r.last > MaxRevisionSkip:
		return refuse("above: %d is more than %d over the last revision, %d; write the largest one that a sidecar holds",
			c.Above, uint64(MaxRevisionSkip), r.last)
	case !known && len(r.newest) >= MaxServices:
		return refuse("service: there are %d services already, which is the most", MaxServices)
	case size > MaxTotalContent:
		return refuse("content: all contents would be %d bytes together; at most %d are held", size, MaxTotalContent)
	}
	r.last, r.size = max(r.last, c.Above)+1, size
	r.newest[c.Service] = Version{c.Service, r.last, digest, content, c.StepsDone}
	return Answer{Revision: r.last}
}

// Newest returns the newest version of a service; ok is false if it has none. The content is shared and must not be modified.
func (r *Register) Newest(service string) (v Version, ok bool) {
	v, ok = r.newest[service]
	return v, ok
}

// Last returns the last assigned revision of all services.
func (r *Register) Last() Revision { return r.last }

// Bytes returns the total size of the contents.
func (r *Register) Bytes() int { return r.size }

// Services returns the newest versions, sorted by service, without their contents.
func (r *Register) Services() []Version {
	all := r.sorted()
	for i := range all {
		all[i].Content = nil
	}
	return all
}

// sorted returns the newest versions, sorted by service.
func (r *Register) sorted() []Version {
	all := make([]Version, 0, len(r.newest))
	for _, name := range slices.Sorted(maps.Keys(r.newest)) {
		all = append(all, r.newest[name])
	}
	return all
}

// snapshot is the encoded form of a register.
type snapshot struct {
	Last Revision  `json:"last"`
	All  []Version `json:"all"`
}

// Snapshot encodes the register for RestoreRegister. It returns nil if there are no versions.
func (r *Register) Snapshot() json.RawMessage {
	if len(r.newest) == 0 {
		return nil
	}
	text, err := json.Marshal(snapshot{r.last, r.sorted()})
	if err != nil {
		panic(err) // not reached: Apply and RestoreRegister only accept valid JSON
	}
	return text
}

// errNoRevision is the error of a snapshot with a version whose revision is 0.
var errNoRevision = errors.New("revision: 0; the first one is 1")

// RestoreRegister decodes a snapshot. An empty text stands for a register without versions.
func RestoreRegister(text []byte) (*Register, error) {
	r, s, serviceOf := NewRegister(), snapshot{}, map[Revision]string{}
	if len(text) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("versions: %w", err)
	}
	if len(s.All) > MaxServices {
		return nil, fmt.Errorf("versions: %d services; %d are the most", len(s.All), MaxServices)
	}
	for _, v := range s.All {
		if err := v.check(); err != nil {
			return nil, fmt.Errorf("versions: service %q: %w", v.Service, err)
		}
		if _, twice := r.newest[v.Service]; twice {
			return nil, fmt.Errorf("versions: service %q is there twice", v.Service)
		}
		if other, twice := serviceOf[v.Revision]; twice {
			return nil, fmt.Errorf("versions: services %q and %q have the one revision %d", other, v.Service, v.Revision)
		}
		if v.Revision > s.Last {
			return nil, fmt.Errorf("versions: service %q has revision %d, above the last one, %d",
				v.Service, v.Revision, s.Last)
		}
		serviceOf[v.Revision], r.newest[v.Service] = v.Service, v
		r.size += len(v.Content)
	}
	if r.size > MaxTotalContent {
		return nil, fmt.Errorf("versions: contents of %d bytes together; %d are the most", r.size, MaxTotalContent)
	}
	r.last = s.Last
	return r, nil
}

// check returns an error if a field of the version is out of bounds or the content does not match the digest.
func (v *Version) check() error {
	if err := checkName("service", v.Service); err != nil {
		return err
	}
	switch {
	case v.Revision == 0:
		return errNoRevision
	case len(v.Content) == 0 || len(v.Content) > MaxContent:
		return fmt.Errorf("content: %d bytes; 1 to %d are held", len(v.Content), MaxContent)
	case v.Digest != Digest(v.Content):
		return fmt.Errorf("content: %w", ErrDigestMismatch)
	}
	return nil
}

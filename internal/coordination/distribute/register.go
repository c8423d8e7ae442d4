package distribute

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// The bounds of a register.
const (
	// MaxTotalContent bounds the contents of all newest versions together, in bytes: a snapshot, with everything else that is in it, has to
	// stay below 64 MiB.
	MaxTotalContent = 24 << 20
	// MaxRevisionSkip bounds how far a command's Above may be over the last revision: one typing error must not use up the numbers.
	MaxRevisionSkip = 1 << 32
)

// Register is the newest version of each service, as the log makes it. Equal logs make equal registers.
type Register struct {
	newest map[string]Version // by service
	last   Revision           // that was given, of all services
	size   int                // bytes of all contents
}

// NewRegister returns a register without versions.
func NewRegister() *Register { return &Register{newest: map[string]Version{}} }

// Apply carries out a command that was checked. A command that it refuses changes nothing.
func (r *Register) Apply(c Command) Answer {
	present, known := r.newest[c.Service]
	refuse := func(format string, a ...any) Answer {
		return Answer{present.Revision, fmt.Sprintf(format, a...)}
	}
	content, err := Canonical(c.Content)
	if err != nil {
		return refuse("content: %v; write a JSON object", err)
	}
	digest := Digest(content)
	if known && present.Digest == digest && present.StepsDone == c.StepsDone && present.Revision > c.Above {
		return Answer{Revision: present.Revision} // repeated, or nothing new
	}
	size := r.size - len(present.Content) + len(content)
	switch {
	case c.After != present.Revision:
		return refuse("after: the newest of service %s is revision %d, not %d: another was published meanwhile; "+
			"look at it and write after: %d", c.Service, present.Revision, c.After, present.Revision)
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

// Newest returns the newest version of a service; ok is false where it never got one. The content is shared: it is only to be read.
func (r *Register) Newest(service string) (v Version, ok bool) {
	v, ok = r.newest[service]
	return v, ok
}

// Last returns the last revision that was given, of all services.
func (r *Register) Last() Revision { return r.last }

// Bytes returns the size of all contents.
func (r *Register) Bytes() int { return r.size }

// Services returns the newest versions by service, without their contents.
func (r *Register) Services() []Version {
	all := r.sorted()
	for i := range all {
		all[i].Content = nil
	}
	return all
}

func (r *Register) sorted() []Version {
	all := make([]Version, 0, len(r.newest))
	for _, name := range slices.Sorted(maps.Keys(r.newest)) {
		all = append(all, r.newest[name])
	}
	return all
}

// snapshot is the form of a register in a snapshot.
type snapshot struct {
	Last Revision  `json:"last"`
	All  []Version `json:"all"`
}

// Snapshot returns the register as bytes, for RestoreRegister; nil: there are no versions.
func (r *Register) Snapshot() json.RawMessage {
	if len(r.newest) == 0 {
		return nil
	}
	text, err := json.Marshal(snapshot{r.last, r.sorted()})
	if err != nil {
		panic(err) // contents are valid JSON: Apply and RestoreRegister accept no others
	}
	return text
}

// errNoRevision is the error of a version in a snapshot whose revision is 0.
var errNoRevision = errors.New("revision: 0; the first one is 1")

// RestoreRegister returns the register of a snapshot; an empty one has no versions.
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

// check returns what is wrong with a version: a field that is out of bounds, or a content that does not match its digest.
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

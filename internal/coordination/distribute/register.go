package distribute

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// More bounds.
const (
	// MaxTotalContent bounds the contents of all newest versions together, in bytes: a snapshot, with the rest of what it
	// holds, has to stay below 64 MiB.
	MaxTotalContent = 24 << 20
	// MaxRevisionSkip bounds how far a command's Above may be over the last revision: one slip of the hand must not use up
	// the numbers.
	MaxRevisionSkip = 1 << 32
)

// Register is the newest version of each service, as the log makes it. Equal logs make equal registers.
type Register struct {
	all  map[string]Version
	last Revision // that was given, of all services
	size int      // bytes of all contents
}

// NewRegister is one without any.
func NewRegister() *Register { return &Register{all: map[string]Version{}} }

// Apply carries out a command that was checked. What it refuses leaves the register as it was.
func (r *Register) Apply(c Command) Answer {
	newest, known := r.all[c.Service]
	refuse := func(format string, a ...any) Answer {
		return Answer{newest.Revision, fmt.Sprintf(format, a...)}
	}
	content, err := Canonical(c.Content)
	if err != nil {
		return refuse("content: %v; write a JSON object", err)
	}
	digest := Digest(content)
	if known && newest.Digest == digest && newest.StepsDone == c.StepsDone && newest.Revision > c.Above {
		return Answer{Revision: newest.Revision} // asked again, or nothing new
	}
	size := r.size - len(newest.Content) + len(content)
	switch {
	case c.After != newest.Revision:
		return refuse("after: the newest of service %s is revision %d, not %d: another was published meanwhile; "+
			"look at it and write after: %d", c.Service, newest.Revision, c.After, newest.Revision)
	case c.Above > r.last && c.Above-r.last > MaxRevisionSkip:
		return refuse("above: %d is more than %d over the last revision, %d; write the largest one that a sidecar holds",
			c.Above, uint64(MaxRevisionSkip), r.last)
	case !known && len(r.all) >= MaxServices:
		return refuse("service: there are %d services already, which is the most", MaxServices)
	case size > MaxTotalContent:
		return refuse("content: all contents would be %d bytes together; at most %d are held", size, MaxTotalContent)
	}
	r.last, r.size = max(r.last, c.Above)+1, size
	r.all[c.Service] = Version{c.Service, r.last, digest, content, c.StepsDone}
	return Answer{Revision: r.last}
}

// Newest is a service's newest version; false: it never got one.
func (r *Register) Newest(service string) (Version, bool) {
	v, ok := r.all[service]
	return v, ok
}

// Last is the last revision that was given, of all services.
func (r *Register) Last() Revision { return r.last }

// Bytes is the size of all contents.
func (r *Register) Bytes() int { return r.size }

// Services are the newest versions by name, without their contents.
func (r *Register) Services() []Version {
	all := r.sorted()
	for i := range all {
		all[i].Content = nil
	}
	return all
}

func (r *Register) sorted() []Version {
	all := make([]Version, 0, len(r.all))
	for _, name := range slices.Sorted(maps.Keys(r.all)) {
		all = append(all, r.all[name])
	}
	return all
}

// snapshot is what a register is kept as.
type snapshot struct {
	Last Revision  `json:"last"`
	All  []Version `json:"all"`
}

// Snapshot is the register as bytes; nil: there is nothing in it.
func (r *Register) Snapshot() json.RawMessage {
	if len(r.all) == 0 {
		return nil
	}
	text, err := json.Marshal(snapshot{r.last, r.sorted()})
	if err != nil {
		panic(err) // contents are valid JSON: Apply and RestoreRegister take no others
	}
	return text
}

// RestoreRegister is the register of a snapshot; an empty one makes a new register.
func RestoreRegister(text []byte) (*Register, error) {
	r, s, given := NewRegister(), snapshot{}, map[Revision]string{}
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
		if _, twice := r.all[v.Service]; twice {
			return nil, fmt.Errorf("versions: service %q is there twice", v.Service)
		}
		if other, twice := given[v.Revision]; twice {
			return nil, fmt.Errorf("versions: services %q and %q have the one revision %d", other, v.Service, v.Revision)
		}
		if v.Revision > s.Last {
			return nil, fmt.Errorf("versions: service %q has revision %d, above the last one, %d",
				v.Service, v.Revision, s.Last)
		}
		given[v.Revision], r.all[v.Service] = v.Service, v
		r.size += len(v.Content)
	}
	if r.size > MaxTotalContent {
		return nil, fmt.Errorf("versions: contents of %d bytes together; %d are the most", r.size, MaxTotalContent)
	}
	r.last = s.Last
	return r, nil
}

// check tells whether a version is whole and within bounds.
func (v *Version) check() error {
	if err := checkName("service", v.Service); err != nil {
		return err
	}
	switch {
	case v.Revision == 0:
		return fmt.Errorf("revision: 0; the first one is 1")
	case len(v.Content) == 0 || len(v.Content) > MaxContent:
		return fmt.Errorf("content: %d bytes; 1 to %d are held", len(v.Content), MaxContent)
	case v.Digest != Digest(v.Content):
		return fmt.Errorf("content: %w", ErrDigestMismatch)
	}
	return nil
}

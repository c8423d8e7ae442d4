package routetable

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	mapset "github.com/deckarep/golang-set/v2"
)

// Update is an operator's change of a configuration: items that are added, or that replace those with the same name,
// and names of items that are removed. Limits, where there are any, replace those before.
type Update struct {
	Generation int64
	Upsert     struct {
		Routes   []Item[Route]
		Services []Item[Service]
		Tenants  []Item[Tenant]
	}
	Remove struct {
		Routes   []string
		Services []string
		Tenants  []string
	}
	Limits json.RawMessage `json:",omitempty"`
}

// ParseUpdate reads an update, without validating it. Its error is an ErrInvalid.
func ParseUpdate(body []byte) (*Update, error) {
	u := &Update{}
	if err := json.Unmarshal(body, u); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "update"), ErrInvalid)
	}
	return u, nil
}

// Apply returns the configuration that an update makes of c, which stays as it is. It is not validated, and shares
// items and lists with c that the update does not name.
func (c *Config) Apply(u *Update) *Config {
	next := &Config{Generation: u.Generation, Limits: c.Limits}
	next.Routes = merge(c.Routes, u.Upsert.Routes, u.Remove.Routes)
	next.Services = merge(c.Services, u.Upsert.Services, u.Remove.Services)
	next.Tenants = merge(c.Tenants, u.Upsert.Tenants, u.Remove.Tenants)
	if len(u.Limits) > 0 {
		next.Limits = u.Limits
	}
	return next
}

// merge returns a list with an update applied: items keep their positions, and added ones follow in the order of the
// update. An item that is both in upsert and in remove stays.
func merge[T Named](old, upsert []Item[T], remove []string) []Item[T] {
	if len(upsert) == 0 && len(remove) == 0 {
		return old
	}
	removed := mapset.NewThreadUnsafeSet(remove...)
	changed := make(map[string]Item[T], len(upsert))
	for _, item := range upsert {
		changed[item.name()] = item
	}
	merged := make([]Item[T], 0, len(old)+len(upsert))
	present := mapset.NewThreadUnsafeSet[string]()
	for _, item := range old {
		name := item.name()
		if replacement, ok := changed[name]; ok {
			item = replacement
		} else if removed.Contains(name) {
			continue
		}
		present.Add(name)
		merged = append(merged, item)
	}
	for _, item := range upsert {
		if present.Add(item.name()) {
			merged = append(merged, changed[item.name()])
		}
	}
	return merged
}

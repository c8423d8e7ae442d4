package routetable

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	mapset "github.com/deckarep/golang-set/v2"
)

// Update is an operator's change of a configuration. Items in Upsert are added, or replace those with the same name.
// Remove names items to be removed. Limits replaces the previous limits unless it is empty.
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

// ParseUpdate parses an update without validating it. Its errors are marked with ErrInvalid.
func ParseUpdate(body []byte) (*Update, error) {
	u := &Update{}
	if err := json.Unmarshal(body, u); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "update"), ErrInvalid)
	}
	return u, nil
}

// Apply returns the configuration that results from applying an update to c. It does not change c, and does not validate
// the result, which shares with c the items and lists that the update does not name.
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

// merge returns a list with an update applied. Existing items keep their order, and added ones follow in the order of the
// update. An item that is in both upsert and remove is not removed.
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

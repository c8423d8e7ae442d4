package machine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"petrelhook/internal/coordination/release"
)

// agentFields are the fields of the settings that an agent writes for each sidecar.
var agentFields = []string{"name", "listen", "admin_addr"}

// releaseSettings returns the settings that a process of a release is started with; see settings.
func (s *SidecarConfig) releaseSettings(r release.Release, version []byte) ([]byte, error) {
	text, err := os.ReadFile(r.Settings)
	if err != nil {
		return nil, err
	}
	return s.settings(text, version)
}

// settings merges the settings of a release, a version of the configuration over them (nil: none), and the sidecar's own over both. A
// name in Overrides may lead into fields by dots, as settings.my_number.
func (s *SidecarConfig) settings(release, version []byte) ([]byte, error) {
	fields, versionFields := map[string]any{}, map[string]any{}
	if err := decodeFields(release, &fields); err != nil {
		return nil, fmt.Errorf("the settings of the release: %w", err)
	}
	if version != nil {
		if err := decodeFields(version, &versionFields); err != nil {
			return nil, fmt.Errorf("the version of the configuration: %w", err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(versionFields)) {
		setField(fields, name, versionFields[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Overrides)) {
		if err := override(fields, name, s.Overrides[name]); err != nil {
			return nil, err
		}
	}
	maps.DeleteFunc(fields, func(name string, _ any) bool {
		return slices.ContainsFunc(agentFields, func(own string) bool { return strings.EqualFold(own, name) })
	})
	fields["name"], fields["listen"] = s.Name, s.Listen
	return json.Marshal(fields)
}

// override sets the field that a dotted name leads to.
func override(fields map[string]any, name string, value json.RawMessage) error {
	path := strings.Split(name, ".")
	for _, outer := range path[:len(path)-1] {
		inner, ok := fields[outer].(map[string]any)
		if !ok {
			return fmt.Errorf("set.%s: the settings of the release have no fields in %s", name, outer)
		}
		fields = inner
	}
	setField(fields, path[len(path)-1], value)
	return nil
}

// decodeFields reads an object and keeps its numbers as they are written.
func decodeFields(text []byte, to *map[string]any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	return d.Decode(to)
}

// setField sets a field, under the name in another case if there is one: a reader that uses encoding/json takes them for the same.
func setField(fields map[string]any, name string, value any) {
	same := slices.Sorted(func(yield func(string) bool) {
		for other := range fields {
			if strings.EqualFold(other, name) && !yield(other) {
				return
			}
		}
	})
	for _, other := range same {
		name = other
		delete(fields, other)
	}
	fields[name] = value
}

// differingFields returns the top fields in which two settings of one sidecar differ. Both were written by SidecarConfig.settings, so
// that equal values have equal texts.
func differingFields(a, b []byte) (names []string, err error) {
	var fields, others map[string]json.RawMessage
	if err := errors.Join(json.Unmarshal(a, &fields), json.Unmarshal(b, &others)); err != nil {
		return nil, err
	}
	for name, value := range fields {
		if !bytes.Equal(value, others[name]) {
			names = append(names, name)
		}
		delete(others, name)
	}
	return append(names, slices.Collect(maps.Keys(others))...), nil
}

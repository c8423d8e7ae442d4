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

// agentFields are the settings that the agent itself sets for each sidecar.
var agentFields = []string{"name", "listen", "admin_addr"}

// releaseSettings returns the settings with which a process of a release is started: the merge of the settings method, with the
// release's settings read from its file.
func (s *SidecarConfig) releaseSettings(r release.Release, version []byte) ([]byte, error) {
	text, err := os.ReadFile(r.Settings)
	if err != nil {
		return nil, err
	}
	return s.settings(text, version)
}

// settings returns the settings of a release, overridden by a version of the configuration (nil: none), then by the sidecar's
// Overrides, and finally by the fields that the agent sets. A dotted name in Overrides, such as settings.my_number, addresses a
// nested field.
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

// override sets the field that a dotted name addresses. It returns an error if an outer field of the name is not an object.
func override(fields map[string]any, name string, value json.RawMessage) error {
	path := strings.Split(name, ".")
	for _, field := range path[:len(path)-1] {
		inner, ok := fields[field].(map[string]any)
		if !ok {
			return fmt.Errorf("set.%s: the settings of the release have no fields in %s", name, field)
		}
		fields = inner
	}
	setField(fields, path[len(path)-1], value)
	return nil
}

// decodeFields decodes a JSON object and keeps the text of its numbers, so that large ones lose no digits.
func decodeFields(text []byte, to *map[string]any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	return d.Decode(to)
}

// setField sets a field. If fields has the name in another case, the value replaces that field under its existing name, because
// encoding/json matches names without regard to case.
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

// differingFields returns the names of the top-level fields in which two settings of one sidecar differ. Both must come from
// SidecarConfig.settings, so that equal values have equal texts.
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

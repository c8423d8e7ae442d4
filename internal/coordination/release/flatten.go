package release

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// flattenSettings returns settings as a map from field paths to values. List entries with a name are addressed by their name, as
// in settings.classes[book].group, and others by their index. The path of a list of named entries maps to the names in their
// order.
func flattenSettings(text []byte) (map[string]any, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var settings map[string]any
	if err := d.Decode(&settings); err != nil {
		return nil, err
	}
	delete(settings, "known") // the last response of discovery, which is not a setting
	fields := map[string]any{}
	for name, value := range settings {
		flatten(fields, name, value)
	}
	return fields, nil
}

// flatten adds the fields of a value at a path.
func flatten(fields map[string]any, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, inner := range value {
			flatten(fields, path+"."+name, inner)
		}
	case []any:
		flattenList(fields, path, value)
	default:
		fields[path] = value
	}
}

func flattenList(fields map[string]any, path string, list []any) {
	var names []string
	for i, value := range list {
		entry, _ := value.(map[string]any)
		name, named := entry["name"].(string)
		if !named {
			flatten(fields, fmt.Sprintf("%s[%d]", path, i), value)
			continue
		}
		names = append(names, name)
		entryPath := path + "[" + name + "]"
		fields[entryPath] = "there"
		for field, inner := range entry {
			if field != "name" {
				flatten(fields, entryPath+"."+field, inner)
			}
		}
	}
	if names != nil {
		fields[path] = strings.Join(names, ", ")
	}
}

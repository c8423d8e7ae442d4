package release

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// flattenSettings returns settings as a map from paths of fields to their values. Entries of lists that have a name are addressed by it, as
// in settings.classes[book].group, others by their index. A list of named entries has a value of its own, the order of the names.
func flattenSettings(text []byte) (map[string]any, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var settings map[string]any
	if err := d.Decode(&settings); err != nil {
		return nil, err
	}
	delete(settings, "known") // the last answer of discovery is not a setting
	fields := map[string]any{}
	for name, value := range settings {
		flatten(fields, name, value)
	}
	return fields, nil
}

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

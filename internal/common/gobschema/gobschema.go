// Package gobschema describes the form in which encoding/gob transmits a type: the names and kinds of its exported fields, in
// order, without the Go names of types. Tests compare the description with a recorded one, because gob reports no error for a
// difference: it drops a field that the reader does not have, and leaves a field that the writer did not send at its zero value.
package gobschema

import (
	"fmt"
	"reflect"
	"strings"
)

// Describe returns the description of a type. Recursive types are not supported.
func Describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "{" + strings.Join(describeFields(t), "; ") + "}"
	case reflect.Pointer:
		return Describe(t.Elem()) // gob transmits the value that the pointer points to
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return "bytes"
		}
		return "[]" + Describe(t.Elem())
	case reflect.Array:
		return fmt.Sprintf("[%d]%s", t.Len(), Describe(t.Elem()))
	case reflect.Map:
		return "map[" + Describe(t.Key()) + "]" + Describe(t.Elem())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "int"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "uint"
	case reflect.Float32, reflect.Float64:
		return "float"
	default:
		return t.Kind().String()
	}
}

// describeFields returns the name and description of each exported field of a struct.
func describeFields(t reflect.Type) []string {
	var described []string
	for i := range t.NumField() {
		field := t.Field(i)
		if field.IsExported() {
			described = append(described, field.Name+" "+Describe(field.Type))
		}
	}
	return described
}

// Package jsonform compares stored and transmitted JSON with recorded examples: an example that an earlier version wrote must be
// read, and written again as the same bytes. Only tests use it.
//
// An example has a non-zero value for every field of its type, because by default encoding/json ignores a key that the type does
// not have, and leaves out an empty field with omitempty, both without an error.
package jsonform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"
)

// CheckRecorded unmarshals the recorded example in path into v, a pointer to a zero value. It fails the test unless every key has
// a field, every exported field has a non-zero value, and marshalling v returns the recorded bytes.
func CheckRecorded(t testing.TB, path string, v any) {
	t.Helper()
	recorded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(recorded, v); err != nil {
		t.Errorf("%s: %v", path, err)
	}
}

// Check does the same as CheckRecorded for an example in memory, and returns the first mismatch as an error.
func Check(recorded []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(recorded))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return fmt.Errorf("the recorded example is not read: %w", err)
	}
	if path := unset(reflect.ValueOf(v), "value"); path != "" {
		return fmt.Errorf("the recorded example says nothing of %s: record one that does", path)
	}
	written, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if !bytes.Equal(written, bytes.TrimSpace(recorded)) {
		return fmt.Errorf("the form has changed\nwritten  %s\nrecorded %s", written, recorded)
	}
	return nil
}

// unset returns the path of an exported field that has the zero value, or "" if there is none. Of a list or map it checks one
// element. It skips fields that are excluded from JSON.
func unset(v reflect.Value, path string) string {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return path
		}
		return unset(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if !field.IsExported() || field.Tag.Get("json") == "-" {
				continue
			}
			if found := unset(v.Field(i), path+"."+field.Name); found != "" {
				return found
			}
		}
		return ""
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			return path
		}
		return unset(v.Index(0), path+"[0]")
	case reflect.Map:
		for _, key := range v.MapKeys() {
			return unset(v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key))
		}
		return path
	default:
		if v.IsZero() {
			return path
		}
		return ""
	}
}

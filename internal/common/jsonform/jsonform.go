// Package jsonform holds tests of stored and transmitted JSON to recorded examples: what an earlier version wrote is read, and the same
// bytes are written again. It is used by tests alone.
//
// An example gives every field of its type a value that is not the zero one, because encoding/json ignores a key that the reader
// does not know and leaves out an empty field, both without an error.
package jsonform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"
)

// CheckRecorded reads the recorded example in path into v, a pointer to a zero value, and reports an error unless every key was known,
// every exported field has got a value, and marshalling v gives the recorded bytes.
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

// Check is CheckRecorded for an example in memory.
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

// unset returns the path of an exported field that has the zero value, "" if there is none. Fields that JSON leaves out are skipped.
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

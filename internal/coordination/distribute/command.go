package distribute

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"
)

// reserved are the top fields that an agent writes itself: a machine's own name and addresses are no matter of a
// whole service. Case does not make another field of them, as it makes none in package json.
var reserved = []string{"name", "listen", "admin_addr"}

// Canonical is a content in the bytes that it is kept, counted, digested and told in: those that package json
// writes, so that no message or snapshot on the way changes them. It fails on what is no JSON in UTF-8.
func Canonical(content []byte) (json.RawMessage, error) {
	if !utf8.Valid(content) {
		return nil, fmt.Errorf("it is no UTF-8")
	}
	text, err := json.Marshal(json.RawMessage(content))
	if err != nil || content == nil {
		return nil, fmt.Errorf("it is no JSON")
	}
	return text, nil
}

// Check tells whether a command may go into the log. The error names the field and says what to write.
func (c *Command) Check() error {
	if err := checkName("service", c.Service); err != nil {
		return err
	}
	content, err := Canonical(c.Content)
	if err != nil {
		return fmt.Errorf("content: %w; write a JSON object", err)
	}
	if len(content) > MaxContent {
		return fmt.Errorf("content: %d bytes; write at most %d", len(content), MaxContent)
	}
	return checkObject(content)
}

// checkName is the rule for names of services, members and sidecars.
func checkName(field, name string) error {
	if len(name) < 1 || len(name) > MaxNameBytes {
		return fmt.Errorf("%s: %d bytes; write 1 to %d", field, len(name), MaxNameBytes)
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return fmt.Errorf("%s: %q; write printable ASCII without spaces", field, name)
		}
	}
	return nil
}

// checkObject is the rule for the top fields of a content, which is valid JSON.
func checkObject(content []byte) error {
	d := json.NewDecoder(bytes.NewReader(content))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return fmt.Errorf("content: it is no object; write a JSON object")
	}
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return fmt.Errorf("content: %w; write a JSON object", err)
		}
		field, _ := t.(string) // a key of an object is nothing else
		if seen[field] {
			return fmt.Errorf("content: field %q is there twice; write it once", field)
		}
		seen[field] = true
		for _, r := range reserved {
			if strings.EqualFold(field, r) {
				return fmt.Errorf("content: field %q is each machine's own, its agent writes it; leave it out", field)
			}
		}
		var skipped json.RawMessage
		if err := d.Decode(&skipped); err != nil {
			return fmt.Errorf("content: field %q: %w; write a JSON value", field, err)
		}
	}
	return nil
}

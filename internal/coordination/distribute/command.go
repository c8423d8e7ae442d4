package distribute

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// reservedFields are the top fields that an agent writes itself: a machine's own name and addresses are not those of a service. They are
// compared without case, as package json does.
var reservedFields = []string{"name", "listen", "admin_addr"}

// What is wrong with a content.
var (
	errNotUTF8   = errors.New("it is no UTF-8")
	errNotJSON   = errors.New("it is no JSON")
	errNotObject = errors.New("content: it is no object; write a JSON object")
)

// Canonical returns a content in the bytes in which it is stored, counted, digested and sent: those that package json writes, so that no
// message or snapshot changes them. A content that is not JSON in UTF-8 is an error.
func Canonical(content []byte) (json.RawMessage, error) {
	if !utf8.Valid(content) {
		return nil, errNotUTF8
	}
	text, err := json.Marshal(json.RawMessage(content))
	if err != nil || content == nil {
		return nil, errNotJSON
	}
	return text, nil
}

// Check returns why a command may not go into the log. The error names the field and says what to write.
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

// checkName returns what is wrong with the name of a service, member or sidecar.
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

// checkObject returns what is wrong with the top fields of a content, which is valid JSON.
func checkObject(content []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return errNotObject
	}
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return fmt.Errorf("content: %w; write a JSON object", err)
		}
		field, _ := token.(string) // the key of an object is always a string
		if seen[field] {
			return fmt.Errorf("content: field %q is there twice; write it once", field)
		}
		seen[field] = true
		for _, r := range reservedFields {
			if strings.EqualFold(field, r) {
				return fmt.Errorf("content: field %q is each machine's own, its agent writes it; leave it out", field)
			}
		}
		var skipped json.RawMessage
		if err := decoder.Decode(&skipped); err != nil {
			return fmt.Errorf("content: field %q: %w; write a JSON value", field, err)
		}
	}
	return nil
}

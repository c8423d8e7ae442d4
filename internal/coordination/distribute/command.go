package distribute

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// reservedFields are the top-level fields that an agent writes itself, because a machine's name and addresses are not part of a
// service's configuration. They are compared case-insensitively, as package json does.
var reservedFields = []string{"name", "listen", "admin_addr"}

// Errors of a content.
var (
	errNotUTF8   = errors.New("it is no UTF-8")
	errNotJSON   = errors.New("it is no JSON")
	errNotObject = errors.New("content: it is no object; write a JSON object")
)

// Canonical returns the encoding of a content in which it is stored, counted, digested and sent. It is the one that package json
// writes, so that encoding a message or a snapshot does not change the bytes. A content that is not JSON in UTF-8 is an error.
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

// Check returns an error if the command must not enter the log. The error names the field and says what to write.
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

// checkName checks the name of a service, member or sidecar. field names the field in the error.
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

// checkObject checks that a content, which is valid JSON, is an object without duplicate or reserved top-level fields.
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

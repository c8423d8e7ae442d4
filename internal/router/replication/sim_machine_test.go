package replication

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/http"
	"strings"
)

// versionMachine accepts an entry only on top of the version that the entry names.
type versionMachine struct {
	Version int
	Value   string
	Bulk    string // the last value that begins with largeValuePrefix; it makes snapshots large
}

const largeValuePrefix = "bulk"

type versionEntry struct {
	Base  int
	Value string
}

func encodeEntry(e versionEntry) []byte { return []byte(fmt.Sprintf("%d %s", e.Base, e.Value)) }

func decodeEntry(data []byte) (e versionEntry) {
	fmt.Sscanf(string(data), "%d %s", &e.Base, &e.Value)
	return e
}

func (m *versionMachine) Decide(data []byte) Decision {
	if decodeEntry(data).Base != m.Version {
		return Decision{Status: http.StatusPreconditionFailed}
	}
	return Decision{Accept: true, Status: http.StatusOK}
}

func (m *versionMachine) Apply(data []byte) {
	m.Version++
	value := decodeEntry(data).Value
	if strings.HasPrefix(value, largeValuePrefix) {
		m.Bulk, value = value, largeValuePrefix
	}
	m.Value = value
}

func (m *versionMachine) Snapshot() []byte {
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(m)
	return b.Bytes()
}

func (m *versionMachine) Restore(data []byte) error {
	*m = versionMachine{}
	return gob.NewDecoder(bytes.NewReader(data)).Decode(m)
}

func (m *versionMachine) value() versionMachine { return *m }

// machineAdapter makes a versionMachine a StateMachine. versionMachine has a field Value and so cannot have a method of that
// name.
type machineAdapter struct{ *versionMachine }

func (a machineAdapter) Value() any { return a.value() }

package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const validSettings = `NodeName = "edge-1"
Ip = "10.1.0.14"
Zone = "z1"
InternalPortRange = [7680, 7695]
Seeds = ["10.1.0.14:8665", "10.2.0.32:8665"]
SomethingNew = { a = 1 }
[Listen]
Control = "10.1.0.14:8665"
[Bounds]
pass_ms = 120
GraceS = 8
`

func TestGoodSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "10.1.0.14:7680", s.InternalAddress())
	require.Equal(t, []string{"10.1.0.14:7680", "10.2.0.32:7680"}, s.SeedAddresses())
	require.Equal(t, "10.2.0.32:8665", s.ControlAddressOf("10.2.0.32:7680"))
	require.Equal(t, 8*time.Second, Seconds(s.Bounds.GraceS))
	require.Equal(t, 120.0, s.Bounds.PassMs)
	require.False(t, s.CanJoinCore())
}

func TestBadSettings(t *testing.T) {
	for name, c := range map[string]struct{ text, wantError string }{
		"no address":     {`Ip = "x"`, "Settings.Ip"},
		"a bad seed":     {`Seeds = ["nowhere"]`, "Settings.Seeds[0]"},
		"a bad port":     {`InternalPortRange = [0, 7]`, "Settings.InternalPortRange[0]"},
		"ports reversed": {`InternalPortRange = [9, 7]`, "the first port, 9, is above the last one, 7"},
		"an address that comes twice": {"Ip = \"10.0.0.1\"\nListen = { Front = \"10.0.0.1:80\", Control = \"10.0.0.1:80\" }",
			"field Listen.Control: 10.0.0.1:80 is the address of Listen.Front already"},
		"the internal address twice": {"Ip = \"10.0.0.1\"\nInternalPortRange = [80, 81]\nListen = { Ready = \"10.0.0.1:80\" }",
			"field Listen.Ready: 10.0.0.1:80 is the address of InternalPortRange already"},
		"a bad type": {`HeartbeatMs = "often"`, "line 1"},
		"no TOML":    {`NodeName =`, "line 1"},
	} {
		_, err := Parse([]byte(withRequiredFields(c.text)))
		require.ErrorContains(t, err, c.wantError, name)
		require.True(t, errors.Is(err, ErrInvalid), name)
	}
	missing := filepath.Join(t.TempDir(), "none.toml")
	_, err := Load(missing)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.False(t, errors.Is(err, ErrInvalid), "a missing file is not an invalid one")
}

// withRequiredFields returns settings that consist of the line and the required fields that the line does not set.
func withRequiredFields(line string) string {
	text := line + "\n"
	for field, value := range map[string]string{"NodeName": `"a"`, "Ip": `"10.0.0.1"`, "Zone": `"z"`, "InternalPortRange": "[1, 2]"} {
		if !strings.Contains("\n"+line, "\n"+field) {
			text += field + " = " + value + "\n"
		}
	}
	return text
}

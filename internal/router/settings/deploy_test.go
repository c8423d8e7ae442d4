package settings

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestTheDeployFile(t *testing.T) {
	d, err := LoadDeploy("../../../deploy/system.toml")
	require.NoError(t, err)
	require.Equal(t, []string{"router"}, d.RoleNames())
	require.True(t, IsDeploy("../../../deploy/system.toml"))
	require.False(t, IsDeploy("../../../deploy/none.toml"))
}

func TestBadDeployFiles(t *testing.T) {
	const role = "build = \"b\"\n[roles.a]\nrun = \"p\"\non = \"edge\"\n"
	for name, c := range map[string]struct{ text, wantError string }{
		"no build":         {"[roles.a]\nrun = \"p\"\non = \"edge\"\nshare = 1.0\n", "Deploy.Build"},
		"no role":          {"build = \"b\"\n", "Deploy.Roles"},
		"no place":         {"build = \"b\"\n[roles.a]\nrun = \"p\"\nshare = 1.0\n", "Deploy.Roles[a].On"},
		"neither":          {role, "role a: exactly one of share and count must be above 0"},
		"both":             {role + "share = 1.0\ncount = 1\n", "role a: exactly one of share and count must be above 0"},
		"too large":        {role + "share = 1.5\n", "Deploy.Roles[a].Share"},
		"unknown callers":  {role + "share = 1.0\nserves = [\"all\"]\n", "Deploy.Roles[a].Serves[0]"},
		"the same callers": {role + "share = 1.0\nserves = [\"edge\"]\n[roles.b]\nrun = \"p\"\non = \"edge\"\ncount = 1\nserves = [\"edge\"]\n", "roles a and b both serve edge"},
		"three roles": {role + "share = 1.0\n[roles.b]\nrun = \"p\"\non = \"edge\"\nshare = 1.0\n[roles.c]\nrun = \"p\"\non = \"edge\"\nshare = 1.0\n",
			"role c: a machine of class edge can run at most 2 roles"},
		"no TOML": {"build =", "line 1"},
	} {
		_, err := ParseDeploy([]byte(c.text))
		require.ErrorContains(t, err, c.wantError, name)
		require.True(t, errors.Is(err, ErrInvalid), name)
	}
}

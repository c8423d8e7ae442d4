package routetable

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func config(t require.TestingT, text string) *Config {
	c, err := ParseConfig([]byte(text))
	require.NoError(t, err)
	require.NoError(t, c.Validate(nil))
	return c
}

const three = `{"Generation":1,"Routes":[
{"Name":"a","Host":"A.example","PathPrefix":"/","RouteType":"safe","TimeoutMs":100,"Service":"s"},
{"Name":"b","Host":"a.example","PathPrefix":"/x/","RouteType":"streaming","TimeoutMs":100,"Service":"s","StreamResume":true,"gap_aim_ms":200},
{"Name":"c","Host":"a.example","PathPrefix":"/x/y/","TimeoutMs":100,"WeightedBackends":[{"Service":"s","Weight":1},{"Service":"u","Weight":0}]}],
"Services":[{"Name":"s"},{"Name":"u"}],"Tenants":[{"Name":"t","ApiKeys":["k"]}]}`

func TestLongestPrefix(t *testing.T) {
	table := Compile(config(t, three), nil)
	for path, want := range map[string]string{"/": "a", "/x": "a", "/x/": "b", "/x/z/q": "b", "/x/y/": "c", "/x/y/z": "c", "/xy/": "a"} {
		require.Equal(t, want, table.Route("a.example:80", path).Name, path)
	}
	require.Nil(t, table.Route("b.example", "/x/"))
	require.True(t, table.Route("a.example", "/x/").Idempotent())
	require.False(t, table.Route("a.example", "/x/y/").Idempotent())
	require.Equal(t, "t", table.TenantOf("k").Name)
	require.Nil(t, table.TenantOf(""))
}

// A lookup finds what a search through all routes finds.
func TestLookupsAreRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfNDistinct(rapid.StringMatching(`/([ab]/){0,4}`), 1, 12, rapid.ID[string]).Draw(t, "prefixes")
		var routes []string
		for i, p := range prefixes {
			routes = append(routes, fmt.Sprintf(`{"Name":"r%d","Host":"h","PathPrefix":%q,"TimeoutMs":1,"Service":"s"}`, i, p))
		}
		table := Compile(config(t, `{"Generation":1,"Routes":[`+strings.Join(routes, ",")+`],"Services":[{"Name":"s"}]}`), nil)
		path := rapid.StringMatching(`/([ab]/){0,5}[ab]?`).Draw(t, "path")
		best := ""
		for _, p := range prefixes {
			if strings.HasPrefix(path, p) && len(p) > len(best) {
				best = p
			}
		}
		got := table.Route("h", path)
		if best == "" {
			require.Nil(t, got)
		} else {
			require.Equal(t, best, got.PathPrefix)
		}
	})
}

// What did not change is shared, and what a next version was compiled to is what it would be alone.
func TestCompileShares(t *testing.T) {
	first := config(t, three)
	u, err := ParseUpdate([]byte(`{"Generation":2,"Upsert":{"Routes":[{"Name":"b","Host":"a.example","PathPrefix":"/z/","TimeoutMs":5,"Service":"u"}]},"Remove":{"Routes":["a"]}}`))
	require.NoError(t, err)
	second := first.Apply(u)
	require.NoError(t, second.Validate(first))
	before := Compile(first, nil)
	after := Compile(second, before)
	require.Same(t, before.Route("a.example", "/x/y/"), after.Route("a.example", "/x/y/"))
	require.Nil(t, after.Route("a.example", "/x/q/"))
	require.Equal(t, "u", after.Route("a.example", "/z/").Backends[0].Service)
	require.Equal(t, "a", before.Route("a.example", "/q").Name, "the version before is as it was")
}

// Judging a configuration grows with its size, and no faster: 20,000 tenants took minutes where each was compared by a new
// set of all keys.
func TestManyTenants(t *testing.T) {
	var tenants []string
	for i := range 20_000 {
		tenants = append(tenants, fmt.Sprintf(`{"Name":"t%d","ApiKeys":["k%d","l%d"]}`, i, i, i))
	}
	c := config(t, `{"Generation":1,"Routes":[],"Services":[],"Tenants":[`+strings.Join(tenants, ",")+`]}`)
	require.Equal(t, "t7", Compile(c, nil).TenantOf("l7").Name)
}

func FuzzParse(f *testing.F) {
	f.Add(three)
	f.Fuzz(func(t *testing.T, text string) {
		c, err := ParseConfig([]byte(text))
		if err != nil || c.Validate(nil) != nil {
			return
		}
		again, err := ParseConfig(c.Encode())
		require.NoError(t, err)
		require.NoError(t, again.Validate(nil))
		require.Equal(t, c.Generation, again.Generation)
	})
}

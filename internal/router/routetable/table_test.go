package routetable

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func mustParseConfig(t require.TestingT, text string) *Config {
	if helper, ok := t.(interface{ Helper() }); ok {
		helper.Helper()
	}
	c, err := ParseConfig([]byte(text))
	require.NoError(t, err)
	require.NoError(t, c.Validate(nil))
	return c
}

const threeRoutes = `{"Generation":1,"Routes":[
{"Name":"a","Host":"A.example","PathPrefix":"/","RouteType":"safe","TimeoutMs":100,"Service":"s"},
{"Name":"b","Host":"a.example","PathPrefix":"/x/","RouteType":"streaming","TimeoutMs":100,"Service":"s","StreamResume":true,"gap_aim_ms":200},
{"Name":"c","Host":"a.example","PathPrefix":"/x/y/","TimeoutMs":100,"WeightedBackends":[{"Service":"s","Weight":1},{"Service":"u","Weight":0}]}],
"Services":[{"Name":"s"},{"Name":"u"}],"Tenants":[{"Name":"t","ApiKeys":["k"]}]}`

func TestLongestPrefix(t *testing.T) {
	table := Compile(mustParseConfig(t, threeRoutes), nil)
	for path, want := range map[string]string{"/": "a", "/x": "a", "/x/": "b", "/x/z/q": "b", "/x/y/": "c", "/x/y/z": "c", "/xy/": "a"} {
		require.Equal(t, want, table.Route("a.example:80", path).Name, path)
	}
	require.Nil(t, table.Route("b.example", "/x/"))
	require.True(t, table.Route("a.example", "/x/").Idempotent())
	require.False(t, table.Route("a.example", "/x/y/").Idempotent())
	require.Equal(t, "t", table.TenantOf("k").Name)
	require.Nil(t, table.TenantOf(""))
}

// A lookup finds the same route as a linear search for the longest prefix.
func TestLookupsFindTheLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfNDistinct(rapid.StringMatching(`/([ab]/){0,4}`), 1, 12, rapid.ID[string]).Draw(t, "prefixes")
		var routes []string
		for i, p := range prefixes {
			routes = append(routes, fmt.Sprintf(`{"Name":"r%d","Host":"h","PathPrefix":%q,"TimeoutMs":1,"Service":"s"}`, i, p))
		}
		table := Compile(mustParseConfig(t, `{"Generation":1,"Routes":[`+strings.Join(routes, ",")+`],"Services":[{"Name":"s"}]}`), nil)
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

// A table shares unchanged routes with the previous table, finds the changed ones, and leaves the previous table
// unchanged.
func TestCompileShares(t *testing.T) {
	first := mustParseConfig(t, threeRoutes)
	u, err := ParseUpdate([]byte(`{"Generation":2,"Upsert":{"Routes":[{"Name":"b","Host":"a.example","PathPrefix":"/z/","TimeoutMs":5,"Service":"u"}]},"Remove":{"Routes":["a"]}}`))
	require.NoError(t, err)
	second := first.Apply(u)
	require.NoError(t, second.Validate(first))
	before := Compile(first, nil)
	after := Compile(second, before)
	require.Same(t, before.Route("a.example", "/x/y/"), after.Route("a.example", "/x/y/"))
	require.Nil(t, after.Route("a.example", "/x/q/"))
	require.Equal(t, "u", after.Route("a.example", "/z/").Backends[0].Service)
	require.Equal(t, "a", before.Route("a.example", "/q").Name, "the previous table is unchanged")
}

// The time for validation is proportional to the size of a configuration. Validating 20,000 tenants took minutes when
// each of them was compared with a newly built set of all keys.
func TestValidationOfManyTenants(t *testing.T) {
	var tenants []string
	for i := range 20_000 {
		tenants = append(tenants, fmt.Sprintf(`{"Name":"t%d","ApiKeys":["k%d","l%d"]}`, i, i, i))
	}
	c := mustParseConfig(t, `{"Generation":1,"Routes":[],"Services":[],"Tenants":[`+strings.Join(tenants, ",")+`]}`)
	require.Equal(t, "t7", Compile(c, nil).TenantOf("l7").Name)
}

// After a change of a route the table shares the tenants with the previous table; after a change of a tenant it does not.
func TestAChangeOfARouteSharesTheTenants(t *testing.T) {
	first := mustParseConfig(t, threeRoutes)
	update := func(text string) *Config {
		u, err := ParseUpdate([]byte(text))
		require.NoError(t, err)
		next := first.Apply(u)
		require.NoError(t, next.Validate(first))
		return next
	}
	before := Compile(first, nil)
	route := update(`{"Generation":2,"Remove":{"Routes":["a"]}}`)
	require.True(t, Compile(route, before).SharesTenants(before))
	require.Equal(t, "t", Compile(route, before).TenantOf("k").Name)
	require.False(t, Compile(route, nil).SharesTenants(before))
	tenant := update(`{"Generation":2,"Upsert":{"Tenants":[{"Name":"u","ApiKeys":["l"]}]}}`)
	after := Compile(tenant, before)
	require.False(t, after.SharesTenants(before))
	require.Equal(t, "u", after.TenantOf("l").Name)
	require.Nil(t, before.TenantOf("l"))
	u, err := ParseUpdate([]byte(`{"Generation":3,"Upsert":{"Tenants":[{"Name":"v","ApiKeys":["k"]}]}}`))
	require.NoError(t, err)
	require.Error(t, tenant.Apply(u).Validate(tenant), "a key that another tenant has")
}

// BenchmarkOneRoute measures applying and compiling a change of one route, in a configuration of 1,260 routes and 7,700
// tenants.
func BenchmarkOneRoute(b *testing.B) {
	var routes, tenants []string
	for i := range 1260 {
		routes = append(routes, fmt.Sprintf(`{"Name":"r%d","Host":"h%d","PathPrefix":"/","TimeoutMs":1,"Service":"s"}`, i, i))
	}
	for i := range 7700 {
		tenants = append(tenants, fmt.Sprintf(`{"Name":"t%d","ApiKeys":["k%d","l%d"]}`, i, i, i))
	}
	c := mustParseConfig(b, `{"Generation":1,"Routes":[`+strings.Join(routes, ",")+`],"Services":[{"Name":"s"}],"Tenants":[`+strings.Join(tenants, ",")+`]}`)
	table := Compile(c, nil)
	u, err := ParseUpdate([]byte(`{"Generation":2,"Upsert":{"Routes":[{"Name":"r7","Host":"h7","PathPrefix":"/","TimeoutMs":2,"Service":"s"}]}}`))
	require.NoError(b, err)
	for b.Loop() {
		Compile(c.Apply(u), table)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(threeRoutes)
	f.Fuzz(func(t *testing.T, text string) {
		c, err := ParseConfig([]byte(text))
		if err != nil || c.Validate(nil) != nil {
			return
		}
		reparsed, err := ParseConfig(c.Encode())
		require.NoError(t, err)
		require.NoError(t, reparsed.Validate(nil))
		require.Equal(t, c.Generation, reparsed.Generation)
	})
}

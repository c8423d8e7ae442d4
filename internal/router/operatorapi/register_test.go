package operatorapi

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

const completeConfig = `{"Generation":3,"Routes":[{"Name":"r1","Host":"a.example","PathPrefix":"/x/","RouteType":"safe","TimeoutMs":1000,
"TargetLatencyMs":100,"Priority":0,"Service":"s1","MaxAttempts":2,"Unknown":{"kept":true}}],
"Services":[{"Name":"s1","HealthPath":"/health","MaxConnections":10}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"t1","ApiKeys":["k1"],"Unit":"token_based","RatePerS":10,"Burst":5}]}`

func secondRoute(prefix string) string {
	return fmt.Sprintf(`{"Name":"r2","Host":"a.example","PathPrefix":%q,"RouteType":"unsafe","TimeoutMs":500,"Service":"s1"}`, prefix)
}

func order(kind OrderKind, base int64, body string) []byte {
	o := Order{Kind: kind, Base: base, Body: []byte(body)}
	return o.Encode()
}

// decideAndApply decides on an order, applies it if it is accepted, and returns the status.
func decideAndApply(g *Register, entry []byte) int {
	d := g.Decide(entry)
	if d.Accept {
		g.Apply(entry)
	}
	return d.Status
}

func TestOrders(t *testing.T) {
	g := NewRegister()
	first := order(Replace, 0, completeConfig)
	require.Equal(t, http.StatusOK, decideAndApply(g, first))
	update := order(Update, 3, `{"Generation":5,"Upsert":{"Routes":[`+secondRoute("/y/")+`]}}`)
	require.Equal(t, http.StatusOK, decideAndApply(g, update))
	require.Equal(t, int64(5), g.Generation())
	require.Equal(t, http.StatusOK, decideAndApply(g, first), "an order that was accepted is acknowledged again")
	require.Equal(t, http.StatusOK, decideAndApply(g, update))
	require.Equal(t, int64(5), g.Generation())
	require.Equal(t, http.StatusPreconditionFailed, decideAndApply(g, order(Update, 3, `{"Generation":6}`)))
	require.Equal(t, http.StatusOK, decideAndApply(g, order(Update, 5, `{"Generation":9,"Remove":{"Routes":["r1"]}}`)))
	require.Len(t, g.Config().Routes, 1)
	require.Equal(t, "r2", g.Config().Routes[0].Value.Name)
}

func TestInvalidOrders(t *testing.T) {
	g := NewRegister()
	require.Equal(t, http.StatusOK, decideAndApply(g, order(Replace, 0, completeConfig)))
	for name, body := range map[string]string{
		"cut short":       `{"Generation":5,"Upsert":{"Routes":[`,
		"old number":      `{"Generation":3}`,
		"unknown service": `{"Generation":5,"Upsert":{"Routes":[{"Name":"r2","Host":"a.example","PathPrefix":"/y/","TimeoutMs":5,"Service":"s9"}]}}`,
		"same prefix":     `{"Generation":5,"Upsert":{"Routes":[` + secondRoute("/x/") + `]}}`,
		"no weight":       `{"Generation":5,"Upsert":{"Routes":[{"Name":"r2","Host":"a.example","PathPrefix":"/y/","TimeoutMs":5,"WeightedBackends":[{"Service":"s1","Weight":0}]}]}}`,
		"no time-out":     `{"Generation":5,"Upsert":{"Routes":[{"Name":"r2","Host":"a.example","PathPrefix":"/y/","TimeoutMs":0,"Service":"s1"}]}}`,
		"shared key":      `{"Generation":5,"Upsert":{"Tenants":[{"Name":"t2","ApiKeys":["k1"]}]}}`,
		"null route":      `{"Generation":5,"Upsert":{"Routes":[null]}}`,
		"service in use":  `{"Generation":5,"Remove":{"Services":["s1"]}}`,
	} {
		require.Equal(t, http.StatusBadRequest, decideAndApply(g, order(Update, 3, body)), name)
	}
	require.Equal(t, int64(3), g.Generation())
}

// A snapshot restores the configuration, including fields that this version does not know, and the accepted orders.
func TestSnapshot(t *testing.T) {
	g := NewRegister()
	first := order(Replace, 0, completeConfig)
	require.Equal(t, http.StatusOK, decideAndApply(g, first))
	require.Equal(t, http.StatusOK, decideAndApply(g, order(Update, 3, `{"Generation":5,"Upsert":{"Routes":[`+secondRoute("/y/")+`]}}`)))
	restored := NewRegister()
	require.NoError(t, restored.Restore(g.Snapshot()))
	require.Equal(t, string(g.Config().Encode()), string(restored.Config().Encode()))
	require.Contains(t, string(restored.Config().Encode()), `"Unknown":{"kept":true}`)
	require.Equal(t, http.StatusOK, decideAndApply(restored, first))
	require.Equal(t, int64(5), restored.Generation())
	g.accepted.bases = nil // snapshots of an earlier version lack the bases
	require.NoError(t, restored.Restore(g.Snapshot()))
	require.Equal(t, http.StatusOK, decideAndApply(restored, first))
	empty := NewRegister()
	require.NoError(t, restored.Restore(empty.Snapshot()))
	require.Zero(t, restored.Generation())
}

// orderNumber returns the n-th order of a series in which each order is based on the previous one.
func orderNumber(n int64) []byte {
	return order(Replace, n-1, fmt.Sprintf(`{"Generation":%d,"Routes":[],"Services":[{"Name":"s%d"}]}`, n, n))
}

// While the register remembers an accepted order, it acknowledges an order with the same content again. Once the
// register has forgotten the order, the status is 503: an accepted order is never reported as rejected. The same holds for a register that
// was restored from a snapshot.
func TestAnOrderIsNeverRejectedLater(t *testing.T) {
	g := NewRegister()
	const orders = maxRememberedOrders + 10
	for n := int64(1); n <= orders; n++ {
		require.Equal(t, http.StatusOK, decideAndApply(g, orderNumber(n)))
	}
	restored := NewRegister()
	require.NoError(t, restored.Restore(g.Snapshot()))
	for name, register := range map[string]*Register{"the register": g, "a snapshot of it": restored} {
		t.Run(name, func(t *testing.T) {
			for n := int64(1); n <= orders; n++ {
				want := http.StatusOK
				if n <= orders-maxRememberedOrders {
					want = http.StatusServiceUnavailable
				}
				require.Equal(t, want, decideAndApply(register, orderNumber(n)), "order %d", n)
			}
			require.Equal(t, http.StatusPreconditionFailed, decideAndApply(register, order(Update, orders-1, `{"Generation":9000}`)))
			require.Equal(t, int64(orders), register.Generation())
		})
	}
	t.Logf("a snapshot has %d bytes", len(g.Snapshot()))
}

// Two operators choose the same new version number on top of the same version: only one of two different
// contents is accepted under that number. If both send the same bytes, both get status 200.
func TestOneNumberNamesOneContent(t *testing.T) {
	g := NewRegister()
	require.Equal(t, http.StatusOK, decideAndApply(g, order(Replace, 0, completeConfig)))
	one, other := order(Update, 3, `{"Generation":5,"Upsert":{"Routes":[`+secondRoute("/y/")+`]}}`), order(Update, 3, `{"Generation":5}`)
	require.Equal(t, http.StatusOK, decideAndApply(g, one))
	require.Equal(t, http.StatusOK, decideAndApply(g, one), "the same bytes from another operator are acknowledged")
	require.Equal(t, http.StatusPreconditionFailed, decideAndApply(g, other))
	require.Equal(t, http.StatusPreconditionFailed, decideAndApply(g, other), "a rejected order is rejected again")
	require.Len(t, g.Config().Routes, 2)
}

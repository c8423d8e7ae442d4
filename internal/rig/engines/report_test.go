package engines

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The keys of the JSON output, which programs read, are these.
func TestJSONKeys(t *testing.T) {
	var data strings.Builder
	require.NoError(t, WriteJSON(&data, []Report{{Routers: 1, Servers: 2, Seeds: 3,
		Outcomes: []Outcome{{Policy: "now", Metrics: map[string]Estimate{"goal": {Mean: 0.5, HalfInterval: 0.25}}}}}}))
	require.JSONEq(t, `[{"Routers":1,"Servers":2,"Seeds":3,"Outcomes":[{"Policy":"now","Figures":{"goal":{"Mean":0.5,"Half":0.25}}}]}]`, data.String())
}

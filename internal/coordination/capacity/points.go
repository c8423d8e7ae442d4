package capacity

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// ParseMeasured reads the result of a scale run from JSON. An error names the file and, if one is invalid, the point.
func ParseMeasured(file string, text []byte) (*Measured, error) {
	m := &Measured{}
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	if err := d.Decode(m); err != nil {
		return nil, fmt.Errorf("%s: %w; write what petrelhookctl scale --json leaves", file, err)
	}
	for i, p := range m.Points {
		at := fmt.Sprintf("%s: points[%d]", file, i)
		switch {
		case p.Workload == "" || p.Role == "" || p.Metric == "":
			return nil, fmt.Errorf("%s: workload, role or metric is missing", at)
		case p.Size < 1:
			return nil, fmt.Errorf("%s: size: %d; write 1 or more", at, p.Size)
		case p.Run < 1:
			return nil, fmt.Errorf("%s: run: %d; write 1 or more", at, p.Run)
		}
	}
	return m, nil
}

// Key identifies a series of points.
type Key struct {
	Workload string `json:"workload"`
	Role     string `json:"role"`
	Metric   string `json:"metric"`
}

func (k Key) String() string { return k.Workload + "/" + k.Role + "/" + k.Metric }

// series holds the values of a Key by size, in the order of the points.
type series map[int][]float64

// bySeries groups the points by series. The keys are sorted by name. m may be nil.
func (m *Measured) bySeries() (keys []Key, all map[Key]series) {
	all = map[Key]series{}
	if m == nil {
		return nil, all
	}
	for _, p := range m.Points {
		k := Key{p.Workload, p.Role, p.Metric}
		if all[k] == nil {
			all[k] = series{}
			keys = append(keys, k)
		}
		all[k][p.Size] = append(all[k][p.Size], p.Value)
	}
	slices.SortFunc(keys, func(a, b Key) int { return strings.Compare(a.String(), b.String()) })
	return keys, all
}

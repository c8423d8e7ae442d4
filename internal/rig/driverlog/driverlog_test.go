package driverlog

import "testing"

// The driver is the coordinator with the largest token that has not logged its end since.
func TestDriver(t *testing.T) {
	const ends = "time=2 level=INFO msg=\"rollout driver stopped\" token=7 err=<nil>\n"
	begin := func(token string) string {
		return "time=1 level=INFO msg=\"rollout driver started\" token=" + token + "\n"
	}
	for name, c := range map[string]struct {
		logs []string
		want int
	}{
		"nobody":                    {[]string{"", "msg=serving\n"}, -1},
		"one":                       {[]string{"", begin("7")}, 1},
		"ended":                     {[]string{begin("7") + ends}, -1},
		"again":                     {[]string{begin("7") + ends + begin("9")}, 0},
		"the older has not noticed": {[]string{begin("9"), begin("7")}, 0},
		"no token":                  {[]string{begin("")}, -1},
	} {
		if got := Driver(c.logs); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

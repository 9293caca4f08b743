package link

import (
	"testing"

	"foxwood/internal/dataplane/http1"
	"foxwood/policy"
)

// TestParseCounterResponse includes negative totals, which occur when requests cost less than
// estimated. Treating one as malformed closed the connection and failed all calls on it.
func TestParseCounterResponse(t *testing.T) {
	for _, tc := range []struct {
		status int
		body   string
		want   policy.Status
		total  float64
	}{
		{200, "12.5", policy.OK, 12.5},
		{200, "-1.25", policy.OK, -1.25},
		{200, " 0\n", policy.OK, 0},
		{200, "NaN", policy.Reset, 0},
		{200, "-Inf", policy.Reset, 0},
		{200, "1e999", policy.Reset, 0},
		{200, "", policy.Reset, 0},
		{503, "", policy.Full, 0},
		{404, "", policy.ConnectFailed, 0},
		{299, "1", policy.Reset, 0},
	} {
		if st, total := parseCounterResponse(&http1.Message{Status: tc.status, Body: []byte(tc.body)}); st != tc.want || total != tc.total {
			t.Errorf("%d %q: status %d and %g, want %d and %g", tc.status, tc.body, st, total, tc.want, tc.total)
		}
	}
}

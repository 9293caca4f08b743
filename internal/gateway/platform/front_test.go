package platform

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"foxwood/internal/dataplane/http1"
	"foxwood/internal/gateway/settings"
	"foxwood/policy"
)

// TestInvalidLoadAndUnitsAreIgnored: with an invalid load report a worker would count as idle, and with
// unlimited settled units an answer could use up a customer's quota.
func TestInvalidLoadAndUnitsAreIgnored(t *testing.T) {
	nan := float32(math.NaN())
	front := NewProtocol(policy.Settings{LoadReportFields: []string{"latency_ms", "inflight"}, MaxUnits: 6}, settings.Names{}, nil)
	for name, test := range map[string]struct {
		head  string
		load  []float32
		units float64
	}{
		"valid":              {"Endpoint-Load-Metrics: TEXT inflight=7, queue=2, latency_ms=61.5\r\nX-Cost-Units: 2.5\r\n", []float32{61.5, 7}, 2.5},
		"missing field":      {"Endpoint-Load-Metrics: TEXT inflight=7\r\n", []float32{nan, 7}, 0},
		"not a number":       {"Endpoint-Load-Metrics: TEXT inflight=\x8a, latency_ms=61\r\n", nil, 0},
		"NaN":                {"Endpoint-Load-Metrics: TEXT inflight=NaN, latency_ms=61\r\nX-Cost-Units: NaN\r\n", nil, 0},
		"infinity":           {"Endpoint-Load-Metrics: TEXT inflight=Inf\r\nX-Cost-Units: Inf\r\n", nil, 0},
		"negative":           {"Endpoint-Load-Metrics: TEXT inflight=-3\r\nX-Cost-Units: -3\r\n", nil, 0},
		"out of range":       {"Endpoint-Load-Metrics: TEXT inflight=99999999\r\nX-Cost-Units: 1000000\r\n", nil, 0},
		"repeated field":     {"Endpoint-Load-Metrics: TEXT inflight=3, inflight=4\r\n", nil, 0},
		"repeated header":    {"Endpoint-Load-Metrics: TEXT inflight=3\r\nEndpoint-Load-Metrics: TEXT inflight=4\r\nX-Cost-Units: 1\r\nX-Cost-Units: 2\r\n", nil, 0},
		"unsupported format": {"Endpoint-Load-Metrics: JSON {}\r\n", nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			parser := http1.NewResponseParser()
			if _, done, err := parser.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + test.head + "\r\n")); !done {
				t.Fatal(err)
			}
			outcome := front.Outcome(parser.Message())
			if diff := cmp.Diff(test.load, outcome.Load, cmpopts.EquateNaNs()); diff != "" || outcome.Units != test.units || outcome.Status != policy.OK {
				t.Errorf("units %v, status %v, load %s", outcome.Units, outcome.Status, diff)
			}
		})
	}
}

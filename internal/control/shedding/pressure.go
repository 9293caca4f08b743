package shedding

import (
	"cmp"
	"slices"
)

// Service is the pressure of one service as seen by a gatekeeper, and its rate of requests.
type Service struct{ Pressure, Rate float64 }

// pressedRequestShare is the share of requests that must meet a pressure, at two services at least if
// there are two. Otherwise it is the pressure of one slow service, whose own limit and queue shed for
// it.
const pressedRequestShare = 2.0 / 3

// MajorityPressure returns the pressure that most requests meet at their services.
func MajorityPressure(services []Service) float64 {
	services = slices.Clone(services)
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(b.Pressure, a.Pressure) })
	total, sum := 0.0, 0.0
	for _, service := range services {
		total += service.Rate
	}
	for i, service := range services {
		if sum += service.Rate; sum >= pressedRequestShare*total && (i > 0 || len(services) == 1) {
			return service.Pressure
		}
	}
	return 0
}

// BandwidthShare returns the share of a machine's network bandwidth that the bytes sent within spanMs
// milliseconds used, or 0 if the bandwidth is not known.
func BandwidthShare(sent uint64, spanMs, lineMbps float64) float64 {
	if !(spanMs > 0) || !(lineMbps > 0) {
		return 0
	}
	return float64(sent) * 8 / 1e3 / spanMs / lineMbps
}

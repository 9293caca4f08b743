package quota

import (
	"iter"

	"foxwood/internal/bootconfig"
	"foxwood/internal/control/routeconfig"
)

// BoundsOf returns the bounds given by the boot configuration.
func BoundsOf(settings *bootconfig.Bounds) Bounds {
	return Bounds{WindowS: settings.QuotaWindowS, Excess: settings.QuotaExcess, Slack: settings.QuotaSlack}
}

// LimitOf returns the quota of a tenant of the timetable.
func LimitOf(sender *routeconfig.Tenant) Limit {
	return Limit{RatePerS: sender.RatePerS, Burst: sender.Burst}
}

// LimitedTenants iterates over the tenants of a configuration that have a quota, by name.
func LimitedTenants(table *routeconfig.Config) iter.Seq2[string, Limit] {
	return func(yield func(string, Limit) bool) {
		for i := range table.Tenants {
			if sender := &table.Tenants[i]; sender.RatePerS > 0 && !yield(sender.Name, LimitOf(sender)) {
				return
			}
		}
	}
}

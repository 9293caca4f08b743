package quota

import (
	"iter"

	"foxwood/internal/bootconfig"
	"foxwood/internal/timetable"
)

// BoundsOf returns the bounds given by the boot configuration.
func BoundsOf(settings *bootconfig.Bounds) Bounds {
	return Bounds{WindowS: settings.QuotaWindowS, Excess: settings.QuotaExcess, Slack: settings.QuotaSlack}
}

// TermsOf returns the quota of a tenant of the timetable.
func TermsOf(sender *timetable.Sender) Terms {
	return Terms{RatePerS: sender.RatePerS, Surge: sender.Surge}
}

// Limited iterates over the tenants of a configuration that have a quota, by name.
func Limited(table *timetable.Timetable) iter.Seq2[string, Terms] {
	return func(yield func(string, Terms) bool) {
		for i := range table.Senders {
			if sender := &table.Senders[i]; sender.RatePerS > 0 && !yield(sender.Name, TermsOf(sender)) {
				return
			}
		}
	}
}

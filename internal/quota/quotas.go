package quota

import (
	"iter"

	"foxwood/internal/bootconfig"
	"foxwood/internal/timetable"
)

// BoundsOf is the rule that the settings tell.
func BoundsOf(b *bootconfig.Bounds) Bounds {
	return Bounds{WindowS: b.QuotaWindowS, Excess: b.QuotaExcess, Slack: b.QuotaSlack}
}

// TermsOf is a tenant's quota.
func TermsOf(s *timetable.Sender) Terms { return Terms{RatePerS: s.RatePerS, Surge: s.Surge} }

// Limited is a configuration's tenants that have a quota.
func Limited(t *timetable.Timetable) iter.Seq2[string, Terms] {
	return func(yield func(string, Terms) bool) {
		for i := range t.Senders {
			if s := &t.Senders[i]; s.RatePerS > 0 && !yield(s.Name, TermsOf(s)) {
				return
			}
		}
	}
}

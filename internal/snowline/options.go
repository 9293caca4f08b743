package snowline

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"

	"foxwood/policy"
)

// Options are the command-line settings of load shedding. Only control nodes are given what is never
// shed: they send it to the gatekeepers with the level, so that all of them apply the same.
type Options struct {
	On     bool    // shed load by the cluster's level
	Never  int     // tenants with a priority below this number are never shed
	Least  float64 // share of each tier that is never shed
	Caller string  // request header that names a tenant's caller, or CallerAddress
	Whole  bool    // one threshold for all services
}

// CallerAddress makes each client address a caller if it is given in place of a header's name.
const CallerAddress = "@address"

const maxMinServedShare = 0.5 // a larger share would leave too little to shed

// Gatekeepers registers the flags of a gatekeeper.
func (o *Options) Gatekeepers(flags *flag.FlagSet) {
	flags.BoolVar(&o.On, "shed", false, "apply the cluster's shedding level, and report this gatekeeper's pressure (bothies need it too)")
}

// Bothies registers the flags of a control node.
func (o *Options) Bothies(flags *flag.FlagSet) {
	flags.BoolVar(&o.On, "shed", false, "agree on a shedding level for all gatekeepers")
	flags.IntVar(&o.Never, "shed-never", 0, "tenants with a priority below this number are never shed")
	flags.Float64Var(&o.Least, "shed-least", 0, "share of each tier that is never shed, 0 to 0.5")
	flags.BoolVar(&o.Whole, "shed-whole", false, "one shedding threshold for all services, even if some have spare capacity")
	flags.StringVar(&o.Caller, "shed-caller", "", "request header that names a tenant's caller, or "+CallerAddress+" for the client's address; the shedding threshold may fall between the callers of a tier")
}

// Check returns an error that names every invalid option.
func (o *Options) Check() error {
	var problems []error
	if o.Never < 0 || o.Never > 15 {
		problems = append(problems, fmt.Errorf("-shed-never: want a priority from 0 to 15, got %d", o.Never))
	}
	if !(o.Least >= 0 && o.Least <= maxMinServedShare) {
		problems = append(problems, fmt.Errorf("-shed-least: want a share from 0 to %v, got %v", maxMinServedShare, o.Least))
	}
	if strings.ContainsAny(o.Caller, " \t\r\n:,") {
		problems = append(problems, fmt.Errorf("-shed-caller: want the name of a request header, got %q", o.Caller))
	}
	if !o.On && (o.Never != 0 || o.Least != 0 || o.Caller != "" || o.Whole) {
		problems = append(problems, errors.New("-shed-never, -shed-least, -shed-caller and -shed-whole need -shed, which is not set"))
	}
	return errors.Join(problems...)
}

// Describe describes what a threshold refuses.
func Describe(threshold policy.Mark) string {
	if threshold >= policy.MarkOpen {
		return "nothing"
	}
	tier := policy.TierOf(threshold)
	bin := policy.BinOf(threshold) % policy.MarkBins
	position := fmt.Sprintf("tenants of priority %d, routes of priority %d", tier>>8, tier>>4&15)
	if costRank := tier & 15; costRank > 0 {
		position += fmt.Sprintf(" (the %d. to wait)", costRank+1)
	}
	if bin == 0 {
		return "from " + position + " on, all"
	}
	return fmt.Sprintf("of %s %d of %d callers' parts, and all below", position, policy.MarkBins-bin, policy.MarkBins)
}

// DescribeAll describes what the shared threshold and those of services refuse.
func DescribeAll(threshold policy.Mark, thresholds map[string]policy.Mark) string {
	if len(thresholds) == 0 {
		return Describe(threshold)
	}
	var parts []string
	if threshold < policy.MarkOpen {
		parts = append(parts, Describe(threshold))
	}
	for _, name := range slices.Sorted(maps.Keys(thresholds)) {
		if thresholds[name] < threshold {
			parts = append(parts, "at "+name+" "+Describe(thresholds[name]))
		}
	}
	return strings.Join(parts, "; ")
}

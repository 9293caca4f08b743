package shedding

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"

	"foxwood/policy"
)

// Options are the command-line settings of load shedding. Only registries are given what is never
// shed: they send it to the gatekeepers with the level, so that all of them apply the same.
type Options struct {
	On              bool    // shed load by the cluster's level
	NeverShedBelow  int     // tenants with a priority below this number are never shed
	MinServedShare  float64 // share of each tier that is never shed
	CallerHeader    string  // request header that names a tenant's caller, or CallerAddress
	SingleThreshold bool    // one threshold for all services
}

// CallerAddress makes each client address a caller if it is given in place of a header's name.
const CallerAddress = "@address"

const maxMinServedShare = 0.5 // a larger share would leave too little to shed

// GatekeeperFlags registers the flags of a gatekeeper.
func (o *Options) GatekeeperFlags(flags *flag.FlagSet) {
	flags.BoolVar(&o.On, "shed", false, "apply the cluster's shedding level, and report this gatekeeper's pressure (bothies need it too)")
}

// ControlFlags registers the flags of a registry.
func (o *Options) ControlFlags(flags *flag.FlagSet) {
	flags.BoolVar(&o.On, "shed", false, "agree on a shedding level for all gatekeepers")
	flags.IntVar(&o.NeverShedBelow, "shed-never", 0, "tenants with a priority below this number are never shed")
	flags.Float64Var(&o.MinServedShare, "shed-least", 0, "share of each tier that is never shed, 0 to 0.5")
	flags.BoolVar(&o.SingleThreshold, "shed-whole", false, "one shedding threshold for all services, even if some have spare capacity")
	flags.StringVar(&o.CallerHeader, "shed-caller", "", "request header that names a tenant's caller, or "+CallerAddress+" for the client's address; the shedding threshold may fall between the callers of a tier")
}

// Check returns an error that names every invalid option.
func (o *Options) Check() error {
	var problems []error
	if o.NeverShedBelow < 0 || o.NeverShedBelow > 15 {
		problems = append(problems, fmt.Errorf("-shed-never: want a priority from 0 to 15, got %d", o.NeverShedBelow))
	}
	if !(o.MinServedShare >= 0 && o.MinServedShare <= maxMinServedShare) {
		problems = append(problems, fmt.Errorf("-shed-least: want a share from 0 to %v, got %v", maxMinServedShare, o.MinServedShare))
	}
	if strings.ContainsAny(o.CallerHeader, " \t\r\n:,") {
		problems = append(problems, fmt.Errorf("-shed-caller: want the name of a request header, got %q", o.CallerHeader))
	}
	if !o.On && (o.NeverShedBelow != 0 || o.MinServedShare != 0 || o.CallerHeader != "" || o.SingleThreshold) {
		problems = append(problems, errors.New("-shed-never, -shed-least, -shed-caller and -shed-whole need -shed, which is not set"))
	}
	return errors.Join(problems...)
}

// Describe describes what a threshold refuses.
func Describe(threshold policy.ShedPosition) string {
	if threshold >= policy.ShedNothing {
		return "nothing"
	}
	tier := policy.TierOf(threshold)
	bin := policy.BinOf(threshold) % policy.BinsPerTier
	position := fmt.Sprintf("tenants of priority %d, routes of priority %d", tier>>8, tier>>4&15)
	if costRank := tier & 15; costRank > 0 {
		position += fmt.Sprintf(" (the %d. to wait)", costRank+1)
	}
	if bin == 0 {
		return "from " + position + " on, all"
	}
	return fmt.Sprintf("of %s %d of %d callers' parts, and all below", position, policy.BinsPerTier-bin, policy.BinsPerTier)
}

// DescribeAll describes what the shared threshold and those of services refuse.
func DescribeAll(threshold policy.ShedPosition, thresholds map[string]policy.ShedPosition) string {
	if len(thresholds) == 0 {
		return Describe(threshold)
	}
	var parts []string
	if threshold < policy.ShedNothing {
		parts = append(parts, Describe(threshold))
	}
	for _, name := range slices.Sorted(maps.Keys(thresholds)) {
		if thresholds[name] < threshold {
			parts = append(parts, "at "+name+" "+Describe(thresholds[name]))
		}
	}
	return strings.Join(parts, "; ")
}

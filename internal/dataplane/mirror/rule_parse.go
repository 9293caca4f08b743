package mirror

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tidwall/gjson"
)

const (
	maxRuleBytes       = 1 << 20 // size limit of a rule, in bytes
	maxExactInteger    = 1 << 53 // integers up to this are exact in a float64
	minKeyBytes        = 8
	maxListEntries     = 10_000
	maxCopiedBodyBytes = 4 << 20 // upper bound of the rule's maxBody, in bytes
)

// ruleParser parses one rule. It continues after a fault, so that all faults are reported at once.
type ruleParser struct {
	faults []Fault
}

// addFault records a fault, only the first for each path.
func (r *ruleParser) addFault(kind FaultKind, path, reason string, args ...any) {
	if !slices.ContainsFunc(r.faults, func(f Fault) bool { return f.Path == path }) {
		r.faults = append(r.faults, Fault{kind, path, fmt.Sprintf(reason, args...)})
	}
}

// parse returns the rule in the body; it is valid only if no fault was recorded.
func (r *ruleParser) parse(body []byte) *Rule {
	if len(body) > maxRuleBytes || !utf8.Valid(body) || !gjson.ValidBytes(body) || !gjson.ParseBytes(body).IsObject() {
		r.addFault(Unreadable, "", "the body is not one whole JSON object of %d bytes at most", maxRuleBytes)
		return nil
	}
	rule := &Rule{MaxBodyBytes: 64 << 10, IdleTimeoutS: 1800, MaxDurationS: 86400, ResponseTimeoutS: 600, TargetTimeoutS: 5}
	fields := map[string]gjson.Result{}
	r.object(gjson.ParseBytes(body), "", fields, "number", "stopped", "routes", "share", "key", "journey", "tenantsOut", "shadows", "region", "bytesPerS",
		"requestsPerS", "broken", "headersOut", "cookiesKept", "maxBody", "endS", "spanS", "patienceS", "goneS", "timeoutS")
	if value, ok := fields["number"]; !ok {
		r.addFault(MissingNumber, "number", "the order needs a number")
	} else {
		rule.Number = uint64(r.integer(value, "number", 0, 1, maxExactInteger))
	}
	if value, ok := fields["stopped"]; ok {
		if !value.IsBool() {
			r.addFault(WrongType, "stopped", "neither true nor false")
		}
		rule.Stopped = value.Type == gjson.True
	}
	if rule.Stopped {
		for name := range fields {
			if name != "number" && name != "stopped" {
				r.addFault(UnexpectedField, name, "a stop says its number only")
			}
		}
		slices.SortFunc(r.faults, func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })
		return rule
	}
	rule.Routes = r.stringList(fields["routes"], "routes")
	if len(rule.Routes) == 0 {
		r.addFault(MissingRoutes, "routes", "an order names routes, or is a stop")
	}
	if value, ok := fields["share"]; !ok {
		r.addFault(OutOfRange, "share", "the share is left out")
	} else {
		rule.Share = r.number(value, "share", 0, 0, 1)
	}
	if rule.Key = r.text(fields["key"], "key"); len(rule.Key) < minKeyBytes {
		r.addFault(ShortKey, "key", "a key of at least %d bytes is needed", minKeyBytes)
	}
	rule.FlowSource = r.source(fields["journey"])
	rule.ExcludedTenants = r.stringList(fields["tenantsOut"], "tenantsOut")
	rule.Targets = r.targets(fields["shadows"])
	rule.CollectorRegion = r.text(fields["region"], "region")
	rule.MaxBytesPerS = r.number(fields["bytesPerS"], "bytesPerS", 0, 0, maxExactInteger)
	rule.MaxRequestsPerS = r.number(fields["requestsPerS"], "requestsPerS", 0, 0, maxExactInteger)
	switch value := r.text(fields["broken"], "broken"); value {
	case "", "hold":
	case "deliver":
		rule.DeliverBroken = true
	default:
		r.addFault(UnknownBrokenPolicy, "broken", "%.40q is neither hold nor deliver", value)
	}
	rule.ExcludedHeaders = r.stringList(fields["headersOut"], "headersOut")
	rule.KeptCookies = r.stringList(fields["cookiesKept"], "cookiesKept")
	rule.MaxBodyBytes = r.integer(fields["maxBody"], "maxBody", rule.MaxBodyBytes, 0, maxCopiedBodyBytes)
	rule.IdleTimeoutS = r.number(fields["endS"], "endS", rule.IdleTimeoutS, 10, 7*86400)
	rule.MaxDurationS = r.number(fields["spanS"], "spanS", rule.MaxDurationS, 10, 31*86400)
	rule.ResponseTimeoutS = r.number(fields["patienceS"], "patienceS", rule.ResponseTimeoutS, 0, 31*86400)
	rule.GoneAfterS = r.number(fields["goneS"], "goneS", 0, 0, 31*86400)
	rule.TargetTimeoutS = r.number(fields["timeoutS"], "timeoutS", rule.TargetTimeoutS, 0.1, 300)
	return rule
}

// object stores an object's fields that are not null, and reports unknown and duplicate ones.
func (r *ruleParser) object(object gjson.Result, path string, fields map[string]gjson.Result, known ...string) {
	pathTo := func(name string) string { return strings.TrimPrefix(path+"."+name, ".") }
	object.ForEach(func(key, value gjson.Result) bool {
		switch _, twice := fields[key.Str]; {
		case !slices.Contains(known, key.Str):
			r.addFault(UnknownField, pathTo(fmt.Sprintf("%.40s", key.Str)), "no such field")
		case twice:
			r.addFault(DuplicateEntry, pathTo(key.Str), "the field stands twice")
		case value.Type != gjson.Null:
			fields[key.Str] = value
		}
		return true
	})
}

// source returns the part of a request that holds the flow's name.
func (r *ruleParser) source(value gjson.Result) (source FlowSource) {
	fields := map[string]gjson.Result{}
	if !value.IsObject() {
		r.addFault(UnknownSource, "journey", "the order says not where a journey's name stands")
		return source
	}
	r.object(value, "journey", fields, "from", "name")
	source = FlowSource{r.text(fields["from"], "journey.from"), r.text(fields["name"], "journey.name")}
	switch source.Kind {
	case "header", "cookie", "caller":
		if source.Name == "" {
			r.addFault(MissingName, "journey.name", "a %s needs a name", source.Kind)
		}
	case "trace":
		if source.Name != "" {
			r.addFault(UnexpectedField, "journey.name", "a trace has no name here")
		}
	default:
		r.addFault(UnknownSource, "journey.from", "%.40q is none of header, cookie, trace, caller", source.Kind)
	}
	return source
}

// targets returns the mirror targets.
func (r *ruleParser) targets(value gjson.Result) (targets []Target) {
	if !value.IsArray() {
		r.addFault(MissingTarget, "shadows", "a list of shadow services is needed")
		return nil
	}
	i := 0
	value.ForEach(func(_, row gjson.Result) bool {
		path := fmt.Sprintf("shadows[%d]", i)
		i++
		if !row.IsObject() {
			r.addFault(WrongType, path, "not an object")
			return true
		}
		fields := map[string]gjson.Result{}
		r.object(row, path, fields, "route", "destination", "address", "region")
		target := Target{r.text(fields["route"], path+".route"), r.text(fields["destination"], path+".destination"), r.text(fields["address"], path+".address"), r.text(fields["region"], path+".region")}
		if (target.Route == "") == (target.Destination == "") {
			r.addFault(MissingName, path, "either a route or a destination is needed")
		}
		if address, err := netip.ParseAddrPort(target.Address); err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
			r.addFault(InvalidAddress, path+".address", "%.60q is not ip:port", target.Address)
		} else {
			target.Address = normalizeAddress(address).String()
		}
		if slices.ContainsFunc(targets, func(other Target) bool { return other.Route == target.Route && other.Destination == target.Destination }) {
			r.addFault(DuplicateEntry, path, "it is there twice")
		}
		targets = append(targets, target)
		return true
	})
	if i == 0 {
		r.addFault(MissingTarget, "shadows", "a list of shadow services is needed")
	}
	return targets
}

// text returns a string field, and "" if it is null or no string.
func (r *ruleParser) text(value gjson.Result, path string) string {
	if value.Type != gjson.String && value.Type != gjson.Null {
		r.addFault(WrongType, path, "not a text")
	}
	if value.Type != gjson.String {
		return ""
	}
	return strings.Clone(value.Str)
}

// stringList returns a list of distinct, non-empty strings.
func (r *ruleParser) stringList(value gjson.Result, path string) (list []string) {
	if value.Type == gjson.Null {
		return nil
	}
	if !value.IsArray() {
		r.addFault(WrongType, path, "not a list")
		return nil
	}
	seen := map[string]bool{}
	value.ForEach(func(_, item gjson.Result) bool {
		elementPath := fmt.Sprintf("%s[%d]", path, len(list))
		switch {
		case item.Type != gjson.String:
			r.addFault(WrongType, elementPath, "not a text")
		case item.Str == "":
			r.addFault(MissingName, elementPath, "a name is empty")
		case seen[item.Str]:
			r.addFault(DuplicateEntry, elementPath, "it is there twice")
		}
		seen[item.Str] = true
		list = append(list, strings.Clone(item.Str))
		return len(list) < maxListEntries
	})
	return list
}

// number returns a number within the bounds, and fallback if it is null or invalid.
func (r *ruleParser) number(value gjson.Result, path string, fallback, minimum, maximum float64) float64 {
	switch {
	case value.Type == gjson.Null:
		return fallback
	case value.Type != gjson.Number:
		r.addFault(WrongType, path, "not a number")
	case !(value.Num >= minimum && value.Num <= maximum):
		r.addFault(OutOfRange, path, "%.40s is not within %g and %g", value.Raw, minimum, maximum)
	default:
		return value.Num
	}
	return fallback
}

// integer returns an integer within the bounds, and fallback if it is null or invalid.
func (r *ruleParser) integer(value gjson.Result, path string, fallback, minimum, maximum int) int {
	number := r.number(value, path, float64(fallback), float64(minimum), float64(maximum))
	if number != math.Trunc(number) {
		r.addFault(WrongType, path, "not a whole number")
		return fallback
	}
	return int(number)
}

package routeconfig

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tidwall/gjson"
	"github.com/zeebo/xxh3"
)

// maxDepth is the maximum nesting depth of values. Parsing is recursive, so without a limit a document
// of many opening brackets could exhaust the process's memory.
const maxDepth = 512

// maxInteger is the end of the range in which a float64 holds every integer exactly. Larger integers are
// read as maxInteger.
const maxInteger = 1 << 53

// Parse parses and checks a configuration. Its error is a *Fault, the first that was found. The document
// must not be modified afterwards.
func Parse(raw []byte) (*Config, error) {
	p := parser{}
	table := p.parse(raw)
	if len(p.faults) > 0 {
		return nil, &p.faults[0]
	}
	table.buildIndex()
	table.digest = xxh3.Hash(raw)
	return table, nil
}

// Check returns all faults of a configuration, so that an operator can correct them at once.
func Check(raw []byte) []Fault {
	p := parser{collectAll: true}
	p.parse(raw)
	return p.faults
}

// parser holds the state of parsing one document.
type parser struct {
	collectAll  bool // continue after a fault
	faults      []Fault
	faultyPaths map[string]bool // paths in faults
	table       *Config

	interned               map[string]string   // one copy of each string that is retained
	internedLists          map[string][]string // one copy of each list, by its JSON text
	singleSplits           map[string][]Share  // one copy of each split with a single destination, by the destination
	destinationsUnreadable bool                // destinations may be missing from the table, so unknown ones are no fault
	courseByMatch          map[routeMatch]int  // index in Routes
	courseByName           map[string]int      // index in Routes
	senderByName           map[string]int      // index in Tenants
}

// routeMatch is what a route matches requests by.
type routeMatch struct{ domain, prefix string }

// location is a table, a row of it, or a row of the split of a route. It is formatted only for a fault.
type location struct {
	table      string
	row, share int // index, -1 for none
}

var wholeDocument = location{"", -1, -1} // location of the document

// fieldPath returns the path of a field at the location.
func (l location) fieldPath(field string) string {
	path := l.table
	if l.row >= 0 {
		path = fmt.Sprintf("%s[%d]", path, l.row)
	}
	if l.share >= 0 {
		path = fmt.Sprintf("%s.split[%d]", path, l.share)
	}
	if path == "" || field == "" {
		return path + field
	}
	return path + "." + field
}

// addFault records a fault. Only the first fault of each value is recorded: others follow from it.
func (p *parser) addFault(kind FaultKind, loc location, field, reason string, args ...any) {
	path := loc.fieldPath(field)
	if p.faultyPaths[path] {
		return
	}
	if p.faultyPaths == nil {
		p.faultyPaths = make(map[string]bool)
	}
	p.faultyPaths[path] = true
	p.faults = append(p.faults, Fault{kind, path, fmt.Sprintf(reason, args...)})
}

// stop reports that parsing can stop because of a fault.
func (p *parser) stop() bool { return !p.collectAll && len(p.faults) > 0 }

// parse parses a document. The result is complete only if there are no faults.
func (p *parser) parse(raw []byte) *Config {
	switch {
	case exceedsMaxDepth(raw):
		p.addFault(Unreadable, wholeDocument, "", "values nest deeper than %d", maxDepth)
		return nil
	case !utf8.Valid(raw) || !gjson.ValidBytes(raw):
		p.addFault(Unreadable, wholeDocument, "", "the body is not one whole JSON document")
		return nil
	}
	root := gjson.ParseBytes(raw)
	if !root.IsObject() {
		p.addFault(Unreadable, wholeDocument, "", "the body is not a JSON object")
		return nil
	}
	p.table = &Config{Raw: raw, Limits: defaultLimits, Destinations: make(map[string]*Destination)}
	p.interned, p.internedLists, p.singleSplits = make(map[string]string), make(map[string][]string), make(map[string][]Share)

	p.readEdition(root.Get("edition"))
	p.readLimits(root.Get("sizeLimits"))
	p.readDestinations(root.Get("destinations"))
	p.readCourses(root.Get("courses"))
	p.readSenders(root.Get("senders"))
	return p.table
}

// exceedsMaxDepth reports whether brackets nest deeper than maxDepth. It does not require valid JSON, as it
// only looks for brackets outside of strings.
func exceedsMaxDepth(raw []byte) bool {
	depth, quoted := 0, false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			if depth++; depth > maxDepth {
				return true
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return false
}

// readEdition reads the version of the configuration.
func (p *parser) readEdition(value gjson.Result) {
	version, ok := ParseVersion(value.Str)
	if value.Type != gjson.String || !ok {
		p.addFault(InvalidVersion, wholeDocument, "edition", "not eight hexadecimal digits")
		return
	}
	p.table.Version, p.table.VersionText = version, p.intern(value.Str)
}

// readLimits reads the limits on clients.
func (p *parser) readLimits(value gjson.Result) {
	if p.stop() || value.Type == gjson.Null {
		return
	}
	if !value.IsObject() {
		p.addFault(WrongType, wholeDocument, "sizeLimits", "not an object")
		return
	}
	limits, loc := &p.table.Limits, location{"sizeLimits", -1, -1}
	for _, field := range []struct {
		name    string
		count   *int
		seconds *float64
	}{
		{"envelopeBytes", &limits.HeadBytes, nil},
		{"bodyBytes", &limits.BodyBytes, nil},
		{"envelopeS", nil, &limits.HeadS},
		{"idleS", nil, &limits.IdleS},
	} {
		value := value.Get(field.name)
		if field.count != nil {
			*field.count = p.readInteger(value, loc, field.name, *field.count, 1, InvalidLimit)
		} else if *field.seconds = p.readNumber(value, loc, field.name, *field.seconds, InvalidLimit); *field.seconds == 0 {
			p.addFault(InvalidLimit, loc, field.name, "0 is not above 0")
		}
	}
}

// readDestinations reads the table of destinations (services).
func (p *parser) readDestinations(value gjson.Result) {
	const name, health, berths, cold, coldRate, protocol, tls = 0, 1, 2, 3, 4, 5, 6
	fields := []string{"name", "healthPath", "berthCap", "coldS", "coldPerS", "protocol", "tls"}
	faultsBefore := len(p.faults)
	p.forEachRow(location{"destinations", -1, -1}, "", value, fields, func(loc location, cells []gjson.Result) {
		destination := &Destination{
			Name:           p.readString(cells[name], loc, "name"),
			HealthPath:     p.readString(cells[health], loc, "healthPath"),
			SlotsPerWorker: p.readInteger(cells[berths], loc, "berthCap", 0, 0, InvalidNumber),
			SlowStartS:     p.readNumber(cells[cold], loc, "coldS", 0, InvalidNumber),
			SlowStartPerS:  p.readNumber(cells[coldRate], loc, "coldPerS", 0, InvalidNumber),
			Protocol:       p.readString(cells[protocol], loc, "protocol"),
			TLS:            p.readBool(cells[tls], loc, "tls"),
		}
		if destination.Name == "" {
			p.addFault(MissingName, loc, "name", "a destination needs a name")
			return
		}
		if p.table.Destinations[destination.Name] != nil {
			p.addFault(DuplicateName, loc, "name", "%q is there twice", destination.Name)
		}
		p.table.Destinations[destination.Name] = destination
	})
	// Rows or a whole table that could not be read may hold the names that routes use.
	p.destinationsUnreadable = slices.ContainsFunc(p.faults[faultsBefore:], func(f Fault) bool {
		return f.Kind == InvalidTable || f.Kind == RowLength || f.Kind == WrongType || f.Kind == MissingName
	})
}

// readCourses reads the table of routes, which the platform calls courses.
func (p *parser) readCourses(value gjson.Result) {
	const name, domain, prefix, kind, deadline, target, priority, split, tries, unsealed, homes, singleDestination = 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11
	fields := []string{
		"name", "domain", "streetPrefix", "kind", "deadlineS", "targetS", "priority", "split", "tries", "unsealed",
		"homeRegions", "destination",
	}
	if value.Type == gjson.Null {
		p.addFault(MissingRoutes, wholeDocument, "courses", "the courses are left out")
		return
	}
	p.courseByName, p.courseByMatch = make(map[string]int), make(map[routeMatch]int)
	p.forEachRow(location{"courses", -1, -1}, "", value, fields, func(loc location, cells []gjson.Result) {
		route := Route{
			Name:          p.readString(cells[name], loc, "name"),
			Domain:        p.intern(strings.ToLower(p.readString(cells[domain], loc, "domain"))),
			Prefix:        p.readString(cells[prefix], loc, "streetPrefix"),
			DeadlineS:     p.readNumber(cells[deadline], loc, "deadlineS", 0, InvalidDeadline),
			Priority:      p.readInteger(cells[priority], loc, "priority", 0, -maxInteger, InvalidNumber),
			MaxAttempts:   p.readInteger(cells[tries], loc, "tries", 1, 1, InvalidTries),
			NoKeyRequired: p.readBool(cells[unsealed], loc, "unsealed"),
			HomeRegions:   p.readList(cells[homes], loc, "homeRegions"),
			Index:         len(p.table.Routes),
		}
		route.TargetS = p.readNumber(cells[target], loc, "targetS", route.DeadlineS, InvalidNumber)
		switch kindName := p.readString(cells[kind], loc, "kind"); kindName {
		case "safe":
			route.Safe = true
		case "unsafe":
		default:
			p.addFault(UnknownKind, loc, "kind", "%.40q is neither safe nor unsafe", kindName)
		}
		if route.DeadlineS == 0 {
			p.addFault(InvalidDeadline, loc, "deadlineS", "a course needs a deadline above 0")
		}
		if route.Name != "" {
			p.checkUnique(p.courseByName, route.Name, loc, route.Index)
		}
		if route.Domain == "" {
			p.addFault(MissingDomain, loc, "domain", "a course needs a domain")
		}
		if !strings.HasPrefix(route.Prefix, "/") {
			p.addFault(InvalidPrefix, loc, "streetPrefix", "%.40q does not start with a slash", route.Prefix)
		}
		if route.Domain != "" && route.Prefix != "" {
			match := routeMatch{route.Domain, route.Prefix}
			if other, ok := p.courseByMatch[match]; ok {
				p.addFault(DuplicateRoute, loc, "", "courses[%d] has the same domain and prefix", other)
			}
			p.courseByMatch[match] = route.Index
		}
		route.Split = p.readSplit(cells[singleDestination], cells[split], loc)
		p.table.Routes = append(p.table.Routes, route)
	})
}

// readSplit returns the shares of a route. If the route has both a destination and a split, the split
// applies, but all destinations of both must exist.
func (p *parser) readSplit(singleValue, splitValue gjson.Result, loc location) []Share {
	const destination, share = 0, 1
	single := p.readString(singleValue, loc, "destination")
	if single != "" {
		p.checkDestination(single, loc)
	}
	var shares []Share
	sum, faultsBefore := 0.0, len(p.faults)
	p.forEachRow(loc, "split", splitValue, []string{"destination", "share"}, func(loc location, cells []gjson.Result) {
		newShare := Share{Destination: p.readString(cells[destination], loc, "destination")}
		p.checkDestination(newShare.Destination, loc)
		if cells[share].Type == gjson.Null {
			p.addFault(InvalidWeights, loc, "share", "the share is left out")
		}
		newShare.Weight = p.readNumber(cells[share], loc, "share", 0, InvalidWeights)
		sum += newShare.Weight
		shares = append(shares, newShare)
	})
	switch {
	case len(p.faults) > faultsBefore:
	case len(shares) > 0:
		if sum == 0 || math.IsInf(sum, 0) {
			p.addFault(InvalidWeights, loc, "split", "the shares sum to %g", sum)
		}
	case single != "":
		if p.singleSplits[single] == nil {
			p.singleSplits[single] = []Share{{single, 1}}
		}
		return p.singleSplits[single]
	case singleValue.Type == gjson.Null || singleValue.Type == gjson.String:
		p.addFault(MissingDestination, loc, "", "neither a destination nor a split")
	}
	return shares
}

// checkDestination adds a fault if no destination has the name.
func (p *parser) checkDestination(name string, loc location) {
	if p.table.Destinations[name] == nil && !p.destinationsUnreadable {
		p.addFault(UnknownDestination, loc, "destination", "%.40q is not among the destinations", name)
	}
}

// readSenders reads the table of senders (tenants).
func (p *parser) readSenders(value gjson.Result) {
	const name, passes, priority, rate, surge, homes = 0, 1, 2, 3, 4, 5
	fields := []string{"name", "passes", "priority", "ratePerS", "surge", "homeRegions"}
	if value.Type == gjson.Null {
		return
	}
	p.table.RequiresKeys = true
	p.senderByName, p.table.senderByKey = make(map[string]int), make(map[string]int32)
	p.forEachRow(location{"senders", -1, -1}, "", value, fields, func(loc location, cells []gjson.Result) {
		tenant := Tenant{
			Name:        p.readString(cells[name], loc, "name"),
			APIKeys:     p.readList(cells[passes], loc, "passes"),
			Priority:    p.readInteger(cells[priority], loc, "priority", 0, -maxInteger, InvalidNumber),
			RatePerS:    p.readNumber(cells[rate], loc, "ratePerS", 0, InvalidQuota),
			Burst:       p.readNumber(cells[surge], loc, "surge", 0, InvalidQuota),
			HomeRegions: p.readList(cells[homes], loc, "homeRegions"),
			Index:       len(p.table.Tenants),
		}
		if tenant.Name == "" {
			p.addFault(MissingName, loc, "name", "a sender needs a name")
		} else {
			p.checkUnique(p.senderByName, tenant.Name, loc, tenant.Index)
		}
		for i, key := range tenant.APIKeys {
			if other, ok := p.table.senderByKey[key]; ok && int(other) != tenant.Index {
				p.addFault(DuplicateKey, loc, fmt.Sprintf("passes[%d]", i), "senders[%d] has the same key", other)
			}
			p.table.senderByKey[key] = int32(tenant.Index)
		}
		p.table.Tenants = append(p.table.Tenants, tenant)
	})
	delete(p.table.senderByKey, "") // a request without a key must not match a sender
}

// checkUnique adds a fault if an earlier row of the table has the same name.
func (p *parser) checkUnique(names map[string]int, name string, loc location, index int) {
	if _, ok := names[name]; ok {
		p.addFault(DuplicateName, loc, "name", "%.40q is there twice", name)
	}
	names[name] = index
}

// forEachRow calls row for each row of a table in either form (a list of objects, or columns with rows).
// Cells holds the values in the order of fields, null for missing ones. A missing table has no rows.
func (p *parser) forEachRow(tableLoc location, field string, value gjson.Result, fields []string, row func(loc location, cells []gjson.Result)) {
	if p.stop() || value.Type == gjson.Null {
		return
	}
	cells := make([]gjson.Result, len(fields))
	index := 0
	nextRow := func() location {
		clear(cells)
		loc := tableLoc
		if loc.row < 0 {
			loc.row = index
		} else {
			loc.share = index
		}
		index++
		return loc
	}
	if value.IsArray() {
		value.ForEach(func(_, object gjson.Result) bool {
			loc := nextRow()
			if !object.IsObject() {
				p.addFault(WrongType, loc, "", "not an object")
				return !p.stop()
			}
			object.ForEach(func(key, value gjson.Result) bool {
				if fieldIndex := slices.Index(fields, key.Str); fieldIndex >= 0 && !cells[fieldIndex].Exists() {
					cells[fieldIndex] = value
				}
				return true
			})
			row(loc, cells)
			return !p.stop()
		})
		return
	}
	columns, rows := value.Get("columns"), value.Get("rows")
	if !value.IsObject() || !columns.IsArray() || !rows.IsArray() {
		p.addFault(InvalidTable, tableLoc, field, "neither columns with rows nor a list of objects")
		return
	}
	var fieldOfColumn []int // index into fields of each column, -1 for an unknown column
	columns.ForEach(func(_, column gjson.Result) bool {
		fieldIndex := -1
		if column.Type != gjson.String {
			p.addFault(InvalidTable, tableLoc, field, "a column's name is not a text")
		} else if fieldIndex = slices.Index(fields, column.Str); fieldIndex >= 0 && slices.Contains(fieldOfColumn, fieldIndex) {
			p.addFault(InvalidTable, tableLoc, field, "%q is there twice", column.Str)
		}
		fieldOfColumn = append(fieldOfColumn, fieldIndex)
		return true
	})
	if p.stop() {
		return
	}
	rows.ForEach(func(_, values gjson.Result) bool {
		loc := nextRow()
		if !values.IsArray() {
			p.addFault(WrongType, loc, "", "not a list")
			return !p.stop()
		}
		count := 0
		values.ForEach(func(_, value gjson.Result) bool {
			if count < len(fieldOfColumn) && fieldOfColumn[count] >= 0 {
				cells[fieldOfColumn[count]] = value
			}
			count++
			return true
		})
		if count != len(fieldOfColumn) {
			p.addFault(RowLength, loc, "", "%d values for %d columns", count, len(fieldOfColumn))
			return !p.stop()
		}
		row(loc, cells)
		return !p.stop()
	})
}

// intern returns one copy for all equal strings, which does not keep the document in memory.
func (p *parser) intern(text string) string {
	kept, ok := p.interned[text]
	if !ok {
		kept = strings.Clone(text)
		p.interned[kept] = kept
	}
	return kept
}

// readString returns a string, empty if it is missing.
func (p *parser) readString(value gjson.Result, loc location, field string) string {
	if value.Type != gjson.String && value.Type != gjson.Null {
		p.addFault(WrongType, loc, field, "not a text")
	}
	if value.Type != gjson.String {
		return ""
	}
	return p.intern(value.Str)
}

// readBool returns a boolean, false if it is missing.
func (p *parser) readBool(value gjson.Result, loc location, field string) bool {
	if value.Type != gjson.Null && !value.IsBool() {
		p.addFault(WrongType, loc, field, "neither true nor false")
	}
	return value.Type == gjson.True
}

// readNumber returns a finite number that is not negative, or fallback if it is missing. For a number out of
// range it adds a fault of the kind.
func (p *parser) readNumber(value gjson.Result, loc location, field string, fallback float64, kind FaultKind) float64 {
	switch {
	case value.Type == gjson.Null:
		return fallback
	case value.Type != gjson.Number:
		p.addFault(WrongType, loc, field, "not a number")
	case value.Num < 0 || math.IsInf(value.Num, 0) || math.IsNaN(value.Num):
		p.addFault(kind, loc, field, "%.40s is out of range", value.Raw)
	default:
		return value.Num
	}
	return fallback
}

// readInteger returns an integer of at least minimum, or fallback if it is missing. It may be written as 3.0.
func (p *parser) readInteger(value gjson.Result, loc location, field string, fallback, minimum int, kind FaultKind) int {
	switch {
	case value.Type == gjson.Null:
		return fallback
	case value.Type != gjson.Number || value.Num != math.Trunc(value.Num):
		p.addFault(WrongType, loc, field, "not a whole number")
	case value.Num < float64(minimum):
		p.addFault(kind, loc, field, "%.40s is less than %d", value.Raw, minimum)
	default:
		return int(min(value.Num, maxInteger))
	}
	return fallback
}

// readList returns a list of strings, nil if it is missing. Lists with equal JSON text share one copy.
func (p *parser) readList(value gjson.Result, loc location, field string) []string {
	if value.Type == gjson.Null {
		return nil
	}
	if list, ok := p.internedLists[value.Raw]; ok {
		return list
	}
	list, faultsBefore := make([]string, 0, 2), len(p.faults)
	if !value.IsArray() {
		p.addFault(WrongType, loc, field, "not a list")
		return nil
	}
	value.ForEach(func(_, item gjson.Result) bool {
		if item.Type != gjson.String {
			p.addFault(WrongType, loc, field, "holds something other than a text")
			return false
		}
		list = append(list, p.intern(item.Str))
		return true
	})
	if len(p.faults) == faultsBefore {
		p.internedLists[value.Raw] = list
	}
	return list
}

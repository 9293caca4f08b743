package timetable

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tidwall/gjson"
	"github.com/zeebo/xxh3"
)

// maxDepth bounds how deep values may nest: whoever reads them recurses, and a
// document of brackets alone must not take the process's memory.
const maxDepth = 512

// maxWhole is the largest whole number that a float64 holds without doubt. Larger
// ones are read as this.
const maxInteger = 1 << 53

// Parse reads a configuration whole, or gives its first fault, a *Fault. The
// document must not be changed afterwards.
func Parse(raw []byte) (*Timetable, error) {
	r := parser{}
	t := r.parse(raw)
	if len(r.faults) > 0 {
		return nil, &r.faults[0]
	}
	t.buildIndex()
	t.digest = xxh3.Hash(raw)
	return t, nil
}

// Check gives all faults that Parse could stop at, for an operator who wants to
// repair them at once.
func Check(raw []byte) []Fault {
	r := parser{collectAll: true}
	r.parse(raw)
	return r.faults
}

// reader is what one reading knows besides its result.
type parser struct {
	collectAll  bool // go on after a fault
	faults      []Fault
	faultyPaths map[string]bool // with a fault
	table       *Timetable

	interned               map[string]string   // one copy of each text that is kept
	internedLists          map[string][]string // the same of lists, by their JSON
	singleSplits           map[string][]Share  // the same of splits with one destination
	destinationsUnreadable bool                // the destinations could not be read: don't look for them
	courseByMatch          map[routeMatch]int
	courseByName           map[string]int // courses by name
	senderByName           map[string]int // senders by name
}

type routeMatch struct{ domain, prefix string }

// where is a row of a table, or of the split of a row of it. It becomes text only
// for a fault.
type location struct {
	table      string
	row, share int // -1 for none
}

var wholeDocument = location{"", -1, -1} // the document

func (w location) fieldPath(field string) string {
	path := w.table
	if w.row >= 0 {
		path = fmt.Sprintf("%s[%d]", path, w.row)
	}
	if w.share >= 0 {
		path = fmt.Sprintf("%s.split[%d]", path, w.share)
	}
	if path == "" || field == "" {
		return path + field
	}
	return path + "." + field
}

// fault notes the first fault of each value: what follows from it is no news.
func (r *parser) addFault(kind FaultKind, loc location, field, reason string, args ...any) {
	path := loc.fieldPath(field)
	if r.faultyPaths[path] {
		return
	}
	if r.faultyPaths == nil {
		r.faultyPaths = make(map[string]bool)
	}
	r.faultyPaths[path] = true
	r.faults = append(r.faults, Fault{kind, path, fmt.Sprintf(reason, args...)})
}

// over tells that enough faults are known.
func (r *parser) stop() bool { return !r.collectAll && len(r.faults) > 0 }

func (r *parser) parse(raw []byte) *Timetable {
	switch {
	case exceedsMaxDepth(raw):
		r.addFault(Unreadable, wholeDocument, "", "values nest deeper than %d", maxDepth)
		return nil
	case !utf8.Valid(raw) || !gjson.ValidBytes(raw):
		r.addFault(Unreadable, wholeDocument, "", "the body is not one whole JSON document")
		return nil
	}
	root := gjson.ParseBytes(raw)
	if !root.IsObject() {
		r.addFault(Unreadable, wholeDocument, "", "the body is not a JSON object")
		return nil
	}
	r.table = &Timetable{Raw: raw, Limits: defaultLimits, Destinations: make(map[string]*Destination)}
	r.interned, r.internedLists, r.singleSplits = make(map[string]string), make(map[string][]string), make(map[string][]Share)

	r.readEdition(root.Get("edition"))
	r.readLimits(root.Get("sizeLimits"))
	r.readDestinations(root.Get("destinations"))
	r.readCourses(root.Get("courses"))
	r.readSenders(root.Get("senders"))
	return r.table
}

// tooDeep looks at brackets outside strings only, so that it holds for any bytes.
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

func (r *parser) readEdition(v gjson.Result) {
	n, ok := ParseEdition(v.Str)
	if v.Type != gjson.String || !ok {
		r.addFault(OddEdition, wholeDocument, "edition", "not eight hexadecimal digits")
		return
	}
	r.table.Edition, r.table.EditionText = n, r.intern(v.Str)
}

func (r *parser) readLimits(v gjson.Result) {
	if r.stop() || v.Type == gjson.Null {
		return
	}
	if !v.IsObject() {
		r.addFault(WrongType, wholeDocument, "sizeLimits", "not an object")
		return
	}
	l, loc := &r.table.Limits, location{"sizeLimits", -1, -1}
	for _, f := range []struct {
		name  string
		count *int
		span  *float64
	}{
		{"envelopeBytes", &l.EnvelopeBytes, nil},
		{"bodyBytes", &l.BodyBytes, nil},
		{"envelopeS", nil, &l.EnvelopeS},
		{"idleS", nil, &l.IdleS},
	} {
		v := v.Get(f.name)
		if f.count != nil {
			*f.count = r.readInteger(v, loc, f.name, *f.count, 1, OddLimit)
		} else if *f.span = r.readNumber(v, loc, f.name, *f.span, OddLimit); *f.span == 0 {
			r.addFault(OddLimit, loc, f.name, "0 is not above 0")
		}
	}
}

func (r *parser) readDestinations(v gjson.Result) {
	const name, health, berths, cold, coldRate, protocol, tls = 0, 1, 2, 3, 4, 5, 6
	fields := []string{"name", "healthPath", "berthCap", "coldS", "coldPerS", "protocol", "tls"}
	faultsBefore := len(r.faults)
	r.forEachRow(location{"destinations", -1, -1}, "", v, fields, func(loc location, cells []gjson.Result) {
		destination := &Destination{
			Name:       r.readString(cells[name], loc, "name"),
			HealthPath: r.readString(cells[health], loc, "healthPath"),
			BerthCap:   r.readInteger(cells[berths], loc, "berthCap", 0, 0, OddNumber),
			ColdS:      r.readNumber(cells[cold], loc, "coldS", 0, OddNumber),
			ColdPerS:   r.readNumber(cells[coldRate], loc, "coldPerS", 0, OddNumber),
			Protocol:   r.readString(cells[protocol], loc, "protocol"),
			TLS:        r.readBool(cells[tls], loc, "tls"),
		}
		if destination.Name == "" {
			r.addFault(NoName, loc, "name", "a destination needs a name")
			return
		}
		if r.table.Destinations[destination.Name] != nil {
			r.addFault(SameName, loc, "name", "%q is there twice", destination.Name)
		}
		r.table.Destinations[destination.Name] = destination
	})
	// Rows or a whole table that could not be read may hold the names that courses use.
	r.destinationsUnreadable = slices.ContainsFunc(r.faults[faultsBefore:], func(f Fault) bool {
		return f.Kind == OddTable || f.Kind == RowLength || f.Kind == WrongType || f.Kind == NoName
	})
}

func (r *parser) readCourses(v gjson.Result) {
	const name, domain, prefix, kind, deadline, target, priority, split, tries, unsealed, homes, singleDestination = 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11
	fields := []string{
		"name", "domain", "streetPrefix", "kind", "deadlineS", "targetS", "priority", "split", "tries", "unsealed",
		"homeRegions", "destination",
	}
	if v.Type == gjson.Null {
		r.addFault(NoCourses, wholeDocument, "courses", "the courses are left out")
		return
	}
	r.courseByName, r.courseByMatch = make(map[string]int), make(map[routeMatch]int)
	r.forEachRow(location{"courses", -1, -1}, "", v, fields, func(loc location, cells []gjson.Result) {
		course := Course{
			Name:     r.readString(cells[name], loc, "name"),
			Domain:   r.intern(strings.ToLower(r.readString(cells[domain], loc, "domain"))),
			Prefix:   r.readString(cells[prefix], loc, "streetPrefix"),
			Deadline: r.readNumber(cells[deadline], loc, "deadlineS", 0, OddDeadline),
			Priority: r.readInteger(cells[priority], loc, "priority", 0, -maxInteger, OddNumber),
			Tries:    r.readInteger(cells[tries], loc, "tries", 1, 1, OddTries),
			Unsealed: r.readBool(cells[unsealed], loc, "unsealed"),
			Homes:    r.readList(cells[homes], loc, "homeRegions"),
			Index:    len(r.table.Courses),
		}
		course.Target = r.readNumber(cells[target], loc, "targetS", course.Deadline, OddNumber)
		switch k := r.readString(cells[kind], loc, "kind"); k {
		case "safe":
			course.Safe = true
		case "unsafe":
		default:
			r.addFault(UnknownKind, loc, "kind", "%.40q is neither safe nor unsafe", k)
		}
		if course.Deadline == 0 {
			r.addFault(OddDeadline, loc, "deadlineS", "a course needs a deadline above 0")
		}
		if course.Name != "" {
			r.checkUnique(r.courseByName, course.Name, loc, course.Index)
		}
		if course.Domain == "" {
			r.addFault(NoDomain, loc, "domain", "a course needs a domain")
		}
		if !strings.HasPrefix(course.Prefix, "/") {
			r.addFault(OddPrefix, loc, "streetPrefix", "%.40q does not start with a slash", course.Prefix)
		}
		if course.Domain != "" && course.Prefix != "" {
			match := routeMatch{course.Domain, course.Prefix}
			if other, ok := r.courseByMatch[match]; ok {
				r.addFault(SamePlace, loc, "", "courses[%d] has the same domain and prefix", other)
			}
			r.courseByMatch[match] = course.Index
		}
		course.Split = r.readSplit(cells[singleDestination], cells[split], loc)
		r.table.Courses = append(r.table.Courses, course)
	})
}

// split gives the shares of a course. Where there is a plain destination too, the
// split is what counts, though both must be known.
func (r *parser) readSplit(singleValue, splitValue gjson.Result, loc location) []Share {
	const destination, share = 0, 1
	single := r.readString(singleValue, loc, "destination")
	if single != "" {
		r.checkDestination(single, loc)
	}
	var shares []Share
	sum, faultsBefore := 0.0, len(r.faults)
	r.forEachRow(loc, "split", splitValue, []string{"destination", "share"}, func(loc location, cells []gjson.Result) {
		s := Share{Destination: r.readString(cells[destination], loc, "destination")}
		r.checkDestination(s.Destination, loc)
		if cells[share].Type == gjson.Null {
			r.addFault(OddWeights, loc, "share", "the share is left out")
		}
		s.Weight = r.readNumber(cells[share], loc, "share", 0, OddWeights)
		sum += s.Weight
		shares = append(shares, s)
	})
	switch {
	case len(r.faults) > faultsBefore:
	case len(shares) > 0:
		if sum == 0 || math.IsInf(sum, 0) {
			r.addFault(OddWeights, loc, "split", "the shares sum to %g", sum)
		}
	case single != "":
		if r.singleSplits[single] == nil {
			r.singleSplits[single] = []Share{{single, 1}}
		}
		return r.singleSplits[single]
	case singleValue.Type == gjson.Null || singleValue.Type == gjson.String:
		r.addFault(NoDestination, loc, "", "neither a destination nor a split")
	}
	return shares
}

func (r *parser) checkDestination(name string, loc location) {
	if r.table.Destinations[name] == nil && !r.destinationsUnreadable {
		r.addFault(UnknownDestination, loc, "destination", "%.40q is not among the destinations", name)
	}
}

func (r *parser) readSenders(v gjson.Result) {
	const name, passes, priority, rate, surge, homes = 0, 1, 2, 3, 4, 5
	fields := []string{"name", "passes", "priority", "ratePerS", "surge", "homeRegions"}
	if v.Type == gjson.Null {
		return
	}
	r.table.HasSenders = true
	r.senderByName, r.table.senderByKey = make(map[string]int), make(map[string]int32)
	r.forEachRow(location{"senders", -1, -1}, "", v, fields, func(loc location, cells []gjson.Result) {
		s := Sender{
			Name:     r.readString(cells[name], loc, "name"),
			Passes:   r.readList(cells[passes], loc, "passes"),
			Priority: r.readInteger(cells[priority], loc, "priority", 0, -maxInteger, OddNumber),
			RatePerS: r.readNumber(cells[rate], loc, "ratePerS", 0, OddQuota),
			Surge:    r.readNumber(cells[surge], loc, "surge", 0, OddQuota),
			Homes:    r.readList(cells[homes], loc, "homeRegions"),
			Index:    len(r.table.Senders),
		}
		if s.Name == "" {
			r.addFault(NoName, loc, "name", "a sender needs a name")
		} else {
			r.checkUnique(r.senderByName, s.Name, loc, s.Index)
		}
		for i, key := range s.Passes {
			if other, ok := r.table.senderByKey[key]; ok && int(other) != s.Index {
				r.addFault(SameKey, loc, fmt.Sprintf("passes[%d]", i), "senders[%d] has the same key", other)
			}
			r.table.senderByKey[key] = int32(s.Index)
		}
		r.table.Senders = append(r.table.Senders, s)
	})
	delete(r.table.senderByKey, "") // who sends no key holds none
}

// once sees to it that no two rows of a table have one name.
func (r *parser) checkUnique(names map[string]int, name string, loc location, index int) {
	if _, ok := names[name]; ok {
		r.addFault(SameName, loc, "name", "%.40q is there twice", name)
	}
	names[name] = index
}

// table goes through the rows of a table in either form, with the values of the
// fields in their order; what was left out is null. A table that is left out has no rows.
func (r *parser) forEachRow(tableLoc location, field string, v gjson.Result, fields []string, row func(loc location, cells []gjson.Result)) {
	if r.stop() || v.Type == gjson.Null {
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
	if v.IsArray() {
		v.ForEach(func(_, object gjson.Result) bool {
			loc := nextRow()
			if !object.IsObject() {
				r.addFault(WrongType, loc, "", "not an object")
				return !r.stop()
			}
			object.ForEach(func(key, value gjson.Result) bool {
				if f := slices.Index(fields, key.Str); f >= 0 && !cells[f].Exists() {
					cells[f] = value
				}
				return true
			})
			row(loc, cells)
			return !r.stop()
		})
		return
	}
	columns, rows := v.Get("columns"), v.Get("rows")
	if !v.IsObject() || !columns.IsArray() || !rows.IsArray() {
		r.addFault(OddTable, tableLoc, field, "neither columns with rows nor a list of objects")
		return
	}
	var fieldOfColumn []int // the field of each column, -1 for one that is not known
	columns.ForEach(func(_, column gjson.Result) bool {
		f := -1
		if column.Type != gjson.String {
			r.addFault(OddTable, tableLoc, field, "a column's name is not a text")
		} else if f = slices.Index(fields, column.Str); f >= 0 && slices.Contains(fieldOfColumn, f) {
			r.addFault(OddTable, tableLoc, field, "%q is there twice", column.Str)
		}
		fieldOfColumn = append(fieldOfColumn, f)
		return true
	})
	if r.stop() {
		return
	}
	rows.ForEach(func(_, values gjson.Result) bool {
		loc := nextRow()
		if !values.IsArray() {
			r.addFault(WrongType, loc, "", "not a list")
			return !r.stop()
		}
		n := 0
		values.ForEach(func(_, value gjson.Result) bool {
			if n < len(fieldOfColumn) && fieldOfColumn[n] >= 0 {
				cells[fieldOfColumn[n]] = value
			}
			n++
			return true
		})
		if n != len(fieldOfColumn) {
			r.addFault(RowLength, loc, "", "%d values for %d columns", n, len(fieldOfColumn))
			return !r.stop()
		}
		row(loc, cells)
		return !r.stop()
	})
}

// keep gives one copy for all equal texts, so that none holds on to the document.
func (r *parser) intern(text string) string {
	kept, ok := r.interned[text]
	if !ok {
		kept = strings.Clone(text)
		r.interned[kept] = kept
	}
	return kept
}

func (r *parser) readString(v gjson.Result, loc location, field string) string {
	if v.Type != gjson.String && v.Type != gjson.Null {
		r.addFault(WrongType, loc, field, "not a text")
	}
	if v.Type != gjson.String {
		return ""
	}
	return r.intern(v.Str)
}

func (r *parser) readBool(v gjson.Result, loc location, field string) bool {
	if v.Type != gjson.Null && !v.IsBool() {
		r.addFault(WrongType, loc, field, "neither true nor false")
	}
	return v.Type == gjson.True
}

// number gives a finite one that is not negative, or a fault of the kind.
func (r *parser) readNumber(v gjson.Result, loc location, field string, fallback float64, kind FaultKind) float64 {
	switch {
	case v.Type == gjson.Null:
		return fallback
	case v.Type != gjson.Number:
		r.addFault(WrongType, loc, field, "not a number")
	case v.Num < 0 || math.IsInf(v.Num, 0) || math.IsNaN(v.Num):
		r.addFault(kind, loc, field, "%.40s is out of range", v.Raw)
	default:
		return v.Num
	}
	return fallback
}

// whole gives a whole number, which may be written as 3.0, from least upwards.
func (r *parser) readInteger(v gjson.Result, loc location, field string, fallback, minimum int, kind FaultKind) int {
	switch {
	case v.Type == gjson.Null:
		return fallback
	case v.Type != gjson.Number || v.Num != math.Trunc(v.Num):
		r.addFault(WrongType, loc, field, "not a whole number")
	case v.Num < float64(minimum):
		r.addFault(kind, loc, field, "%.40s is less than %d", v.Raw, minimum)
	default:
		return int(min(v.Num, maxInteger))
	}
	return fallback
}

func (r *parser) readList(v gjson.Result, loc location, field string) []string {
	if v.Type == gjson.Null {
		return nil
	}
	if list, ok := r.internedLists[v.Raw]; ok {
		return list
	}
	list, faultsBefore := make([]string, 0, 2), len(r.faults)
	if !v.IsArray() {
		r.addFault(WrongType, loc, field, "not a list")
		return nil
	}
	v.ForEach(func(_, item gjson.Result) bool {
		if item.Type != gjson.String {
			r.addFault(WrongType, loc, field, "holds something other than a text")
			return false
		}
		list = append(list, r.intern(item.Str))
		return true
	})
	if len(r.faults) == faultsBefore {
		r.internedLists[v.Raw] = list
	}
	return list
}

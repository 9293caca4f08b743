package routeconfig

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/zeebo/xxh3"
	"gotest.tools/v3/assert"
)

// validDocument is a valid document, of which tests change one place at a time.
const validDocument = `{"edition":"0000001c","more":{"deep":[1]},
"courses":{"columns":["name","domain","streetPrefix","kind","deadlineS","targetS","priority","split","tries","unsealed","homeRegions","destination","hue"],"rows":[
["r-one","Birch.example","/a/","safe",2,0.5,2,[{"destination":"oak","share":90},{"destination":"elm","share":10}],2,false,[],null,7],
["r-two","birch.example","/a/b/","unsafe",2.5,null,null,null,null,true,["north"],"oak",null]]},
"destinations":{"columns":["name","healthPath","berthCap","protocol","tls","coldS","coldPerS"],"rows":[
["oak","/well",110,"h1",false,3.0,10.0],["elm","/well",null,"h1",true,null,null]]},
"sizeLimits":{"envelopeBytes":8192,"bodyBytes":1024.0,"envelopeS":2,"idleS":0.5},
"senders":{"columns":["name","passes","priority","ratePerS","surge","homeRegions"],"rows":[
["t-one",["k1","k2"],1,122,30,[]],["t-two",["k3","k3"],null,null,null,["north","south"]]]}}`

// replaceInValid returns validDocument with one text replaced, which must occur exactly once.
func replaceInValid(t testing.TB, from, to string) []byte {
	t.Helper()
	assert.Equal(t, strings.Count(validDocument, from), 1, "occurrences of %q in the document", from)
	return []byte(strings.Replace(validDocument, from, to, 1))
}

// mustParse parses a valid document.
func mustParse(t testing.TB, raw []byte) *Config {
	t.Helper()
	table, err := Parse(raw)
	assert.NilError(t, err)
	return table
}

func TestParseReadsEveryField(t *testing.T) {
	table := mustParse(t, []byte(validDocument))
	assert.Equal(t, table.Version, uint64(0x1c))
	assert.Equal(t, table.VersionText, "0000001c")
	assert.Equal(t, string(table.Raw), validDocument)
	assert.Equal(t, table.Digest(), xxh3.HashString(validDocument))
	assert.DeepEqual(t, table.Limits, Limits{8192, 1024, 2, 0.5})
	assert.DeepEqual(t, table.Routes, []Route{
		{
			Name: "r-one", Domain: "birch.example", Prefix: "/a/", Safe: true, DeadlineS: 2, TargetS: 0.5, Priority: 2,
			Split: []Share{{"oak", 90}, {"elm", 10}}, MaxAttempts: 2, HomeRegions: []string{},
		},
		{
			Name: "r-two", Domain: "birch.example", Prefix: "/a/b/", DeadlineS: 2.5, TargetS: 2.5,
			Split: []Share{{"oak", 1}}, MaxAttempts: 1, NoKeyRequired: true, HomeRegions: []string{"north"}, Index: 1,
		},
	})
	assert.DeepEqual(t, table.Destinations, map[string]*Destination{
		"oak": {Name: "oak", HealthPath: "/well", SlotsPerWorker: 110, SlowStartS: 3, SlowStartPerS: 10, Protocol: "h1"},
		"elm": {Name: "elm", HealthPath: "/well", Protocol: "h1", TLS: true},
	})
	assert.DeepEqual(t, table.Tenants, []Tenant{
		{Name: "t-one", APIKeys: []string{"k1", "k2"}, Priority: 1, RatePerS: 122, Burst: 30, HomeRegions: []string{}},
		{Name: "t-two", APIKeys: []string{"k3", "k3"}, HomeRegions: []string{"north", "south"}, Index: 1},
	})
	assert.Assert(t, table.RequiresKeys)
	assert.Equal(t, len(Check([]byte(validDocument))), 0)
}

func TestUnusualValidDocuments(t *testing.T) {
	const bare = `{"edition":"0000000A","courses":%s}`
	for name, raw := range map[string][]byte{
		"no rows and nothing else":     fmt.Appendf(nil, bare, `{"columns":[],"rows":[]}`),
		"an empty list":                fmt.Appendf(nil, bare, `[]`),
		"spaces around":                []byte(" \r\n" + validDocument + "\n\t"),
		"null tables":                  []byte(`{"edition":"0000000a","courses":[],"destinations":null,"senders":null,"sizeLimits":null}`),
		"whole numbers with a point":   replaceInValid(t, `[],null,7]`, `[],null,{"x":[]}]`),
		"a priority with an exponent":  replaceInValid(t, `2,0.5,2,`, `2e0,5e-1,2.0,`),
		"both destination and split":   replaceInValid(t, `[],null,7]`, `[],"elm",7]`),
		"a share of 0 next to another": replaceInValid(t, `"share":90`, `"share":0`),
		"an empty split":               replaceInValid(t, `2.5,null,null,null,`, `2.5,null,null,[],`),
		"one service twice in a split": replaceInValid(t, `"elm","share"`, `"oak","share"`),
		"no slash at the end":          replaceInValid(t, `"/a/b/"`, `"/a/b"`),
		"a sender without keys":        replaceInValid(t, `["k1","k2"]`, `null`),
		"an escaped name":              replaceInValid(t, `["oak","/well"`, `["\u006fak","/well"`),
		"a large limit":                replaceInValid(t, `1024.0`, `1e300`),
		"a target above the deadline":  replaceInValid(t, `2,0.5,2`, `2,9,2`),
		"an unknown protocol":          replaceInValid(t, `null,"h1",true`, `null,"h9",true`),
	} {
		t.Run(name, func(t *testing.T) {
			mustParse(t, raw)
			assert.Equal(t, len(Check(raw)), 0)
		})
	}
}

func TestTablesAsListsOfObjects(t *testing.T) {
	table := mustParse(t, []byte(`{"edition":"FFFFFFFF",
"courses":[{"domain":"a.example","streetPrefix":"/","kind":"safe","deadlineS":1,"destination":"oak","hue":1}],
"destinations":[{"name":"oak"}],"senders":[]}`))
	assert.Equal(t, table.Version, uint64(0xffffffff))
	assert.DeepEqual(t, table.Routes, []Route{{
		Domain: "a.example", Prefix: "/", Safe: true, DeadlineS: 1, TargetS: 1, Split: []Share{{"oak", 1}}, MaxAttempts: 1,
	}})
	assert.Assert(t, table.RequiresKeys)
	assert.Assert(t, table.TenantByKey([]byte("")) == nil)
	assert.DeepEqual(t, table.Limits, defaultLimits)
}

func TestNoSendersMeansNoKeyRequired(t *testing.T) {
	table := mustParse(t, []byte(`{"edition":"00000001","courses":[]}`))
	assert.Assert(t, !table.RequiresKeys)
	assert.Assert(t, table.TenantByKey([]byte("k1")) == nil)
	assert.Assert(t, table.Route([]byte("a.example"), []byte("/")) == nil)
}

func TestParseReportsFault(t *testing.T) {
	for _, test := range []struct {
		kind     FaultKind
		path     string
		from, to string
	}{
		{Unreadable, "", `["north","south"]]]}}`, `["north","south"]]]}`},
		{Unreadable, "", `["north","south"]]]}}`, `["north","south"]]]}}x`},
		{Unreadable, "", `["north","south"]]]}}`, `["north","south"]]]}}{}`},
		{Unreadable, "", `{"deep":[1]}`, strings.Repeat("[", 600) + strings.Repeat("]", 600)},
		{Unreadable, "", `"deep"`, "\"\xff\""},
		{InvalidVersion, "edition", `"edition":"0000001c",`, ``},
		{InvalidVersion, "edition", `"0000001c"`, `28`},
		{InvalidVersion, "edition", `"0000001c"`, `null`},
		{InvalidVersion, "edition", `0000001c`, `000001c`},
		{InvalidVersion, "edition", `0000001c`, `00000001c`},
		{InvalidVersion, "edition", `0000001c`, `+000001c`},
		{InvalidVersion, "edition", `0000001c`, `0000001g`},
		{MissingRoutes, "courses", `"courses":{`, `"lost":{`},
		{MissingRoutes, "courses", `"courses":{`, `"courses":null,"lost":{`},
		{InvalidTable, "courses", `"courses":{`, `"courses":7,"lost":{`},
		{InvalidTable, "courses", `"courses":{`, `"courses":{},"lost":{`},
		{InvalidTable, "senders", `"senders":{`, `"senders":"{\"columns\":[],\"rows\":[]}","lost":{`},
		{InvalidTable, "courses", `"destination","hue"]`, `"destination",7]`},
		{InvalidTable, "courses", `"destination","hue"]`, `"destination","kind"]`},
		{InvalidTable, "courses[0].split", `[{"destination":"oak","share":90},{"destination":"elm","share":10}]`, `"oak"`},
		{RowLength, "courses[0]", `[],null,7]`, `[],null]`},
		{RowLength, "courses[0]", `[],null,7]`, `[],null,7,null]`},
		{RowLength, "senders[1]", `["north","south"]]`, `["north","south"],1]`},
		{RowLength, "destinations[1]", `true,null,null]`, `true,null]`},
		{WrongType, "courses[1]", `["r-two","birch.example","/a/b/","unsafe",2.5,null,null,null,null,true,["north"],"oak",null]`, `{}`},
		{WrongType, "courses[0].name", `"r-one"`, `1`},
		{WrongType, "courses[0].domain", `"Birch.example"`, `true`},
		{WrongType, "courses[0].streetPrefix", `"/a/"`, `[]`},
		{WrongType, "courses[0].kind", `"safe"`, `true`},
		{WrongType, "courses[0].deadlineS", `"safe",2,`, `"safe","2",`},
		{WrongType, "courses[0].priority", `2,0.5,2,`, `2,0.5,2.5,`},
		{WrongType, "courses[0].tries", `2,false,[],null`, `"2",false,[],null`},
		{WrongType, "courses[0].unsealed", `2,false,[],null`, `2,0,[],null`},
		{WrongType, "courses[1].homeRegions", `["north"]`, `"north"`},
		{WrongType, "courses[1].homeRegions", `["north"]`, `["north",null]`},
		{WrongType, "courses[1].destination", `["north"],"oak"`, `["north"],["oak"]`},
		{WrongType, "courses[0].split[0]", `{"destination":"oak","share":90}`, `"oak"`},
		{WrongType, "courses[0].split[0].share", `"share":90`, `"share":"90"`},
		{WrongType, "destinations[0].berthCap", `"/well",110`, `"/well","110"`},
		{WrongType, "destinations[1].tls", `"h1",true`, `"h1","true"`},
		{WrongType, "senders[0].passes", `["k1","k2"]`, `"k1"`},
		{WrongType, "senders[0].ratePerS", `122`, `"122"`},
		{WrongType, "sizeLimits", `{"envelopeBytes":8192,"bodyBytes":1024.0,"envelopeS":2,"idleS":0.5}`, `[]`},
		{WrongType, "sizeLimits.envelopeBytes", `8192`, `8192.5`},
		{MissingName, "destinations[1].name", `["elm"`, `[null`},
		{MissingName, "senders[0].name", `"t-one"`, `""`},
		{DuplicateName, "courses[1].name", `"r-two"`, `"r-one"`},
		{DuplicateName, "destinations[1].name", `["elm"`, `["oak"`},
		{DuplicateName, "senders[1].name", `"t-two"`, `"t-one"`},
		{DuplicateKey, "senders[1].passes[1]", `["k3","k3"]`, `["k3","k2"]`},
		{MissingDomain, "courses[0].domain", `"Birch.example"`, `""`},
		{MissingDomain, "courses[0].domain", `"Birch.example"`, `null`},
		{InvalidPrefix, "courses[0].streetPrefix", `"/a/"`, `"a/"`},
		{InvalidPrefix, "courses[0].streetPrefix", `"/a/"`, `""`},
		{InvalidPrefix, "courses[0].streetPrefix", `"/a/"`, `null`},
		{DuplicateRoute, "courses[1]", `"/a/b/"`, `"/a/"`},
		{UnknownKind, "courses[0].kind", `"safe"`, `"Safe"`},
		{UnknownKind, "courses[0].kind", `"safe"`, `null`},
		{InvalidDeadline, "courses[0].deadlineS", `"safe",2,`, `"safe",0,`},
		{InvalidDeadline, "courses[0].deadlineS", `"safe",2,`, `"safe",0.0,`},
		{InvalidDeadline, "courses[0].deadlineS", `"safe",2,`, `"safe",-2,`},
		{InvalidDeadline, "courses[0].deadlineS", `"safe",2,`, `"safe",1e999,`},
		{InvalidDeadline, "courses[0].deadlineS", `"safe",2,`, `"safe",null,`},
		{InvalidWeights, "courses[0].split[0].share", `"share":90`, `"share":-1`},
		{InvalidWeights, "courses[0].split[0].share", `,"share":90`, ``},
		{InvalidWeights, "courses[0].split", `"share":90},{"destination":"elm","share":10}`, `"share":0},{"destination":"elm","share":0.0}`},
		{InvalidWeights, "courses[0].split", `"share":90},{"destination":"elm","share":10}`, `"share":1e308},{"destination":"elm","share":1e308}`},
		{MissingDestination, "courses[1]", `["north"],"oak"`, `["north"],null`},
		{MissingDestination, "courses[1]", `["north"],"oak"`, `["north"],""`},
		{MissingDestination, "courses[0]", `[{"destination":"oak","share":90},{"destination":"elm","share":10}]`, `[]`},
		{UnknownDestination, "courses[1].destination", `["north"],"oak"`, `["north"],"ash"`},
		{UnknownDestination, "courses[0].destination", `[],null,7]`, `[],"ash",7]`},
		{UnknownDestination, "courses[0].split[1].destination", `"elm","share":10`, `"ash","share":0`},
		{UnknownDestination, "courses[0].split[0].destination", `"destination":"oak",`, ``},
		{UnknownDestination, "courses[0].split[0].destination", `"destinations":{`, `"lost":{`},
		{InvalidTries, "courses[0].tries", `2,false,[],null`, `0,false,[],null`},
		{InvalidTries, "courses[0].tries", `2,false,[],null`, `-1e300,false,[],null`},
		{InvalidQuota, "senders[0].ratePerS", `122`, `-1`},
		{InvalidQuota, "senders[0].surge", `30,[]`, `-0.5,[]`},
		{InvalidLimit, "sizeLimits.envelopeBytes", `8192`, `0`},
		{InvalidLimit, "sizeLimits.bodyBytes", `1024.0`, `-1`},
		{InvalidLimit, "sizeLimits.envelopeS", `"envelopeS":2`, `"envelopeS":0`},
		{InvalidLimit, "sizeLimits.idleS", `0.5}`, `-0.5}`},
		{InvalidNumber, "courses[0].targetS", `2,0.5,2`, `2,-0.5,2`},
		{InvalidNumber, "destinations[0].berthCap", `"/well",110`, `"/well",-1`},
		{InvalidNumber, "destinations[0].coldPerS", `10.0`, `1e999`},
	} {
		t.Run(fmt.Sprintf("%s %s %.30s", test.kind, test.path, test.to), func(t *testing.T) {
			raw := replaceInValid(t, test.from, test.to)
			table, err := Parse(raw)
			assert.Assert(t, table == nil)
			var fault *Fault
			assert.Assert(t, err != nil)
			assert.Assert(t, asFault(err, &fault))
			assert.Equal(t, fault.Kind, test.kind, "%v", fault)
			assert.Equal(t, fault.Path, test.path)
			assert.ErrorContains(t, err, test.path)
			assert.ErrorContains(t, err, fault.Reason)
			assert.DeepEqual(t, Check(raw)[0], *fault)
		})
	}
}

func asFault(err error, to **Fault) (ok bool) {
	*to, ok = err.(*Fault)
	return ok
}

func TestUnreadableDocuments(t *testing.T) {
	for _, raw := range []string{"", " ", "null", "[]", `"x"`, "7", "{", strings.Repeat("[", 1<<20)} {
		_, err := Parse([]byte(raw))
		var fault *Fault
		assert.Assert(t, asFault(err, &fault), "%.10q", raw)
		assert.Equal(t, fault.Kind, Unreadable)
	}
	for length := range len(validDocument) {
		_, err := Parse([]byte(validDocument[:length]))
		assert.ErrorContains(t, err, string(Unreadable))
	}
}

func TestCheckReportsAllFaults(t *testing.T) {
	raw := replaceInValid(t, `"/a/b/","unsafe",2.5`, `"b/","odd",0`)
	raw = bytes.Replace(raw, []byte(`["k3","k3"]`), []byte(`["k1","k3"]`), 1)
	raw = bytes.Replace(raw, []byte(`8192`), []byte(`0`), 1)
	var kinds []FaultKind
	for _, fault := range Check(raw) {
		kinds = append(kinds, fault.Kind)
		assert.Assert(t, !strings.Contains(fault.Error(), "k1"), "the fault contains an API key")
	}
	assert.DeepEqual(t, kinds, []FaultKind{InvalidLimit, UnknownKind, InvalidDeadline, InvalidPrefix, DuplicateKey})
}

func TestCheckIgnoresUnknownDestinationsIfTheirTableIsUnreadable(t *testing.T) {
	faults := Check(replaceInValid(t, `"destinations":{`, `"destinations":7,"lost":{`))
	assert.Equal(t, len(faults), 1, "%v", faults)
	assert.Equal(t, faults[0].Kind, InvalidTable)
}

// routesDocument returns a document with a route for each pattern, a domain followed by a path prefix.
func routesDocument(patterns ...string) []byte {
	var rows []string
	for _, pattern := range patterns {
		slash := strings.IndexByte(pattern, '/')
		rows = append(rows, fmt.Sprintf(`{"name":%q,"domain":%q,"streetPrefix":%q,"kind":"safe","deadlineS":1,"destination":"oak"}`,
			pattern, pattern[:slash], pattern[slash:]))
	}
	return fmt.Appendf(nil, `{"edition":"00000001","courses":[%s],"destinations":[{"name":"oak"}]}`, strings.Join(rows, ","))
}

func TestCourseMatchesLongestPrefix(t *testing.T) {
	table := mustParse(t, routesDocument("a.test/p/", "a.test/p/q/", "a.test/p/q/r/s/", "a.test/p/z/", "b.test/", "b.test/p/", "[::1]/", "::2/", "c.test/bare"))
	for _, test := range []struct{ host, path, want string }{
		{"a.test", "/p/", "a.test/p/"},
		{"a.test", "/p/x", "a.test/p/"},
		{"a.test", "/p/q", "a.test/p/"},
		{"a.test", "/p/q/", "a.test/p/q/"},
		{"a.test", "/p/q/r/", "a.test/p/q/"},
		{"a.test", "/p/q/r/s/t", "a.test/p/q/r/s/"},
		{"a.test", "/p/q/zz", "a.test/p/q/"},
		{"a.test", "/p/y/", "a.test/p/"},
		{"a.test", "/p/zz", "a.test/p/"},
		{"a.test", "/p/z/z", "a.test/p/z/"},
		{"a.test", "/p", ""},
		{"a.test", "/pp/", ""},
		{"a.test", "/", ""},
		{"a.test", "/z", ""},
		{"a.test", "", ""},
		{"b.test", "/z", "b.test/"},
		{"b.test", "/P/", "b.test/"},
		{"b.test", "/p/q/", "b.test/p/"},
		{"c.test", "/barely", "c.test/bare"},
		{"d.test", "/", ""},
		{"", "/", ""},
		{"A.TEST", "/p/", "a.test/p/"},
		{"A.test:8080", "/p/", "a.test/p/"},
		{"a.test:", "/p/", "a.test/p/"},
		{":80", "/p/", ""},
		{"[::1]", "/", "[::1]/"},
		{"[::1]:80", "/", "[::1]/"},
		{"::2", "/", "::2/"},
		{"::2:80", "/", ""},
		{strings.Repeat("a", 999), "/", ""},
	} {
		got := ""
		if course := table.Route([]byte(test.host), []byte(test.path)); course != nil {
			got = course.Name
			assert.Equal(t, course, &table.Routes[course.Index])
		}
		assert.Equal(t, got, test.want, "%s%s", test.host, test.path)
	}
}

func TestCourseAgreesWithLinearSearch(t *testing.T) {
	var patterns, paths []string
	for i := range 3 * 3 * 3 * 3 {
		path := "/"
		for n := i; n > 0; n /= 3 {
			path += string("abc"[n%3]) + "/"
		}
		if !slices.Contains(patterns, "a.test"+path) && i%2 == 0 {
			patterns = append(patterns, "a.test"+path)
		}
		paths = append(paths, path, path+"x", path+"a", strings.TrimSuffix(path, "/"))
	}
	paths = append(paths, "", "*", "bare/", "/bare", "/barely/a/", strings.Repeat("/", 99))
	for _, patterns := range [][]string{patterns, patterns[:minExactRoutes-1], append(patterns, "a.test/bare")} { // with byPrefix, and twice without it
		table := mustParse(t, routesDocument(patterns...))
		for _, path := range paths {
			var want *Route
			for i := range table.Routes {
				c := &table.Routes[i]
				if strings.HasPrefix(path, c.Prefix) && (want == nil || len(c.Prefix) > len(want.Prefix)) {
					want = c
				}
			}
			assert.Equal(t, table.Route([]byte("a.test"), []byte(path)), want, path)
		}
	}
}

func TestSenderByKey(t *testing.T) {
	table := mustParse(t, replaceInValid(t, `["k3","k3"]`, `["k3","k3",""]`))
	for key, want := range map[string]string{"k1": "t-one", "k2": "t-one", "k3": "t-two", "K3": "", "k": "", "": ""} {
		got := ""
		if s := table.TenantByKey([]byte(key)); s != nil {
			got = s.Name
			assert.Equal(t, s, &table.Tenants[s.Index])
		}
		assert.Equal(t, got, want, key)
	}
}

func TestLookupsDoNotAllocate(t *testing.T) {
	table := mustParse(t, []byte(validDocument))
	host, path, key := []byte("BIRCH.example:8080"), []byte("/a/b/c"), []byte("k3")
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		table.Route(host, path)
		table.TenantByKey(key)
	}), 0.0)
	assert.Equal(t, string(host), "BIRCH.example:8080")
}

func TestParseEdition(t *testing.T) {
	for _, text := range []string{"00000000", "0000000c", "fffffffe"} {
		version, ok := ParseVersion(text)
		assert.Assert(t, ok)
		assert.Equal(t, FormatVersion(version), text)
	}
	version, ok := ParseVersion("0000ABcd")
	assert.Assert(t, ok && version == 0xabcd)
	for _, text := range []string{"", "c", "0x00000c", "0000_00c", "-000000c", "0000000 ", "0000000é"} {
		_, ok := ParseVersion(text)
		assert.Assert(t, !ok, text)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add(routesDocument("a.test/", "a.test/p/"))
	f.Add([]byte(`{"edition":"00000001","courses":{"columns":["name"],"rows":[[null]]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		table, err := Parse(raw)
		assert.Equal(t, err == nil, len(Check(raw)) == 0)
		if err != nil {
			return
		}
		for i := range table.Routes {
			c, sum := &table.Routes[i], 0.0
			for _, s := range c.Split {
				assert.Assert(t, table.Destinations[s.Destination] != nil)
				sum += s.Weight
			}
			assert.Assert(t, sum > 0 && c.DeadlineS > 0 && c.MaxAttempts >= 1 && c.Index == i)
			assert.Equal(t, table.Route([]byte(c.Domain), []byte(c.Prefix)), c)
		}
		for i := range table.Tenants {
			for _, key := range table.Tenants[i].APIKeys {
				assert.Assert(t, key == "" || table.TenantByKey([]byte(key)) == &table.Tenants[i])
			}
		}
	})
}

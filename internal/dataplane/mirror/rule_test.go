package mirror

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const validRule = `{"number":7,"routes":["r"],"share":0.5,"key":"12345678","journey":{"from":"header","name":"X-Visit"},"shadows":[{"route":"r","address":"10.0.0.9:80"}]}`

// Each invalid field of a rule is reported with its kind and path, without the key.
func TestReadRuleReportsFaults(t *testing.T) {
	for _, testCase := range []struct {
		kind     FaultKind
		path     string
		old, new string
	}{
		{Unreadable, "", `{"number"`, `{number`},
		{MissingNumber, "number", `"number":7,`, ``},
		{OutOfRange, "number", `"number":7`, `"number":0`},
		{WrongType, "number", `"number":7`, `"number":7.5`},
		{UnknownField, "shar", `"share"`, `"shar"`},
		{DuplicateEntry, "share", `"share":0.5`, `"share":0.5,"share":0.6`},
		{OutOfRange, "share", `"share":0.5`, `"share":1.5`},
		{OutOfRange, "share", `"share":0.5`, `"endS":60`},
		{MissingRoutes, "routes", `["r"]`, `[]`},
		{DuplicateEntry, "routes[1]", `["r"]`, `["r","r"]`},
		{WrongType, "routes[0]", `["r"]`, `[1]`},
		{ShortKey, "key", `12345678`, `1234567`},
		{UnknownSource, "journey", `{"from":"header","name":"X-Visit"}`, `"X"`},
		{UnknownSource, "journey.from", `"header"`, `"body"`},
		{MissingName, "journey.name", `,"name":"X-Visit"`, ``},
		{UnexpectedField, "journey.name", `"header"`, `"trace"`},
		{MissingTarget, "shadows", `[{"route":"r","address":"10.0.0.9:80"}]`, `[]`},
		{MissingName, "shadows[0]", `"route":"r",`, ``},
		{InvalidAddress, "shadows[0].address", `10.0.0.9:80`, `rates.example:80`},
		{UnknownBrokenPolicy, "broken", `"share":0.5`, `"share":0.5,"broken":"maybe"`},
		{OutOfRange, "endS", `"share":0.5`, `"share":0.5,"endS":1`},
		{UnexpectedField, "key", `"number":7`, `"number":7,"stopped":true`},
	} {
		body := strings.Replace(validRule, testCase.old, testCase.new, 1)
		assert.Assert(t, body != validRule, testCase.new)
		rule, faults := ParseRule([]byte(body))
		assert.Assert(t, rule == nil, body)
		found := false
		for _, fault := range faults {
			found = found || fault.Kind == testCase.kind && fault.Path == testCase.path
			assert.Assert(t, !strings.Contains(fault.Error(), "12345678"), "the fault contains the key: %v", fault)
		}
		assert.Assert(t, found, "%s: %v", body, faults)
	}
	rule, faults := ParseRule([]byte(validRule))
	assert.Equal(t, len(faults), 0, "%v", faults)
	assert.Equal(t, string(rule.Raw()), validRule)
	assert.Assert(t, rule.CheckSuccessor(nil) == nil)
	assert.Equal(t, rule.CheckSuccessor(rule).Kind, StaleNumber)
	assert.Equal(t, len(rule.LiveTargetFaults(map[string]bool{"10.0.0.8:80": true})), 0)
	assert.Equal(t, rule.LiveTargetFaults(map[string]bool{"10.0.0.9:80": true})[0].Path, "shadows[0].address")
}

// The flow name is read from each kind of source. Equivalent requests have one flow, and invalid or
// ambiguous names have none.
func TestFlowNameSources(t *testing.T) {
	flowOf := func(source string, headers map[string]string, tenant string) (FlowID, bool) {
		rule, faults := ParseRule([]byte(strings.Replace(validRule, `{"from":"header","name":"X-Visit"}`, source, 1)))
		assert.Equal(t, len(faults), 0, "%v", faults)
		return rule.FlowOf(&RequestInfo{Route: "r", Tenant: tenant, Header: func(name string) ([]byte, bool) { v, ok := headers[name]; return []byte(v), ok }})
	}
	const cookie, trace, caller = `{"from":"cookie","name":"visit"}`, `{"from":"trace"}`, `{"from":"caller","name":"X-Caller"}`
	const traceID = "0af7651916cd43dd8448eb211c80319c"
	checkSame := func(source string, a, b map[string]string, tenantA, tenantB string, want bool) {
		t.Helper()
		x, ok := flowOf(source, a, tenantA)
		y, ok2 := flowOf(source, b, tenantB)
		assert.Assert(t, ok && ok2)
		assert.Equal(t, x == y, want)
	}
	header := func(k, v string) map[string]string { return map[string]string{k: v} }
	checkSame(cookie, header("Cookie", "a=1; visit=v7"), header("Cookie", `visit="v7";b=2`), "t", "u", true)
	checkSame(cookie, header("Cookie", "visit=v7"), header("Cookie", "visit=v8"), "t", "t", false)
	checkSame(trace, header("Traceparent", "00-"+traceID+"-b7ad6b7169203331-01"), header("Traceparent", "00-"+traceID+"-00f067aa0ba902b7-00"), "t", "u", true)
	checkSame(caller, header("X-Caller", "c"), header("X-Caller", "c"), "t", "t", true)
	checkSame(caller, header("X-Caller", "c"), header("X-Caller", "c"), "t", "u", false)
	checkSame(caller, header("X-Caller", "bc"), header("X-Caller", "c"), "a", "ab", false)
	for _, testCase := range []struct{ source, head, value string }{
		{cookie, "Cookie", "visit=1; visit=2"}, {cookie, "Cookie", "visit="}, {cookie, "Cookie", "revisit=1"}, {cookie, "Other", ""},
		{trace, "Traceparent", "00-" + strings.Repeat("0", 32) + "-b7ad6b7169203331-01"}, {trace, "Traceparent", "00-" + traceID + "-b7ad6b7169203331"},
		{trace, "Traceparent", "00-" + strings.ToUpper(traceID) + "-b7ad6b7169203331-01"}, {trace, "Traceparent", "ff-" + traceID + "-b7ad6b7169203331-01"},
		{caller, "X-Caller", ""}, {caller, "X-Caller", strings.Repeat("x", maxFlowNameBytes+1)},
	} {
		_, ok := flowOf(testCase.source, header(testCase.head, testCase.value), "t")
		assert.Assert(t, !ok, "%v", testCase)
	}
}

// A rule applies only to its routes and tenants, and selects its share of the flows.
func TestRuleSelectsItsShare(t *testing.T) {
	rule, faults := ParseRule([]byte(strings.Replace(validRule, `"share":0.5`, `"share":0.1,"tenantsOut":["out"]`, 1)))
	assert.Equal(t, len(faults), 0)
	header := func(string) ([]byte, bool) { return []byte("v"), true }
	for _, testCase := range []struct {
		route, tenant string
		want          bool
	}{{"r", "t", true}, {"r", "", true}, {"r", "out", false}, {"q", "t", false}} {
		_, ok := rule.FlowOf(&RequestInfo{Route: testCase.route, Tenant: testCase.tenant, Header: header})
		assert.Equal(t, ok, testCase.want, "%v", testCase)
	}
	selected := 0
	for i := range 100_000 {
		id, _ := rule.FlowOf(&RequestInfo{Route: "r", Header: func(string) ([]byte, bool) { return fmt.Append(nil, "v", i), true }})
		if rule.Selects(id) {
			selected++
		}
	}
	assert.Assert(t, selected > 9600 && selected < 10400, "%d", selected) // four standard deviations
}

// A larger share selects all flows that a smaller one selects, for any names, keys and shares.
func TestLargerShareKeepsSelectedFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Float64Range(0, 1).Draw(t, "a"), rapid.Float64Range(0, 1).Draw(t, "b")
		a, b = min(a, b), max(a, b)
		key := rapid.StringMatching(`[a-z]{8,20}`).Draw(t, "key")
		newRule := func(share float64) *Rule {
			rule := &Rule{Routes: []string{"r"}, Share: share, Key: key, FlowSource: FlowSource{"header", "X"}, Targets: []Target{{Route: "r"}}}
			rule.precompute()
			return rule
		}
		low, high, all, none := newRule(a), newRule(b), newRule(1), newRule(0)
		for range 20 {
			name := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "name")
			id, ok := low.FlowOf(&RequestInfo{Route: "r", Header: func(string) ([]byte, bool) { return name, true }})
			other, _ := high.FlowOf(&RequestInfo{Route: "r", Header: func(string) ([]byte, bool) { return bytes.Clone(name), true }})
			if !ok || id != other {
				t.Fatal("one name gave two flows, or none")
			}
			if low.Selects(id) && !high.Selects(id) {
				t.Fatal("the smaller share selects the flow, but the larger one does not")
			}
			if !all.Selects(id) || none.Selects(id) {
				t.Fatal("share 1 must select every flow, and share 0 none")
			}
		}
	})
}

// The bytes sent to a mirror target contain no credentials, excluded headers or excluded cookies.
// A copy is sent once, and only to its own target.
func TestCopyOmitsCredentials(t *testing.T) {
	rule, faults := ParseRule([]byte(strings.Replace(validRule, `"share":0.5`, `"share":1,"headersOut":["x-card"],"cookiesKept":["lang"]`, 1)))
	assert.Equal(t, len(faults), 0)
	field := func(k, v string) HeaderField { return HeaderField{[]byte(k), []byte(v)} }
	copied := rule.newCopy(&Request{[]byte("POST"), []byte("/r/x?y=1"), []HeaderField{field("Host", "h.example"), field("authorization", "Bearer secret"), field("Proxy-Authorization", "secret"),
		field("Cookie", "session=secret; lang=fr"), field("X-Card", "secret"), field("X-Api-Key", "secret"), field("X-Foxwood-Sender", "secret"), field("X-Foxwood-Try-Id", "secret"), field("Connection", "X-Hop"),
		field("X-Hop", "secret"), field("Transfer-Encoding", "chunked"), field("Content-Length", "99"), field("Accept", "text/plain")}, []byte("body")})
	encoded, err := copied.MarshalBinary()
	assert.NilError(t, err)
	var decoded RequestCopy
	assert.NilError(t, decoded.UnmarshalBinary(encoded))
	for n := range encoded {
		assert.Assert(t, new(RequestCopy).UnmarshalBinary(encoded[:n]) != nil, "the first %d of %d bytes were decoded as a copy", n, len(encoded))
	}
	delivery := &Delivery{Address: "10.0.0.9:80", copy: decoded, head: []byte("X-Foxwood-Shadow: whole\r\n")}
	wrong := &testConnection{address: "10.0.0.8:80"}
	assert.ErrorContains(t, delivery.Send(wrong), "connection leads to 10.0.0.8:80, want mirror target 10.0.0.9:80")
	assert.Equal(t, wrong.Len(), 0)
	right := &testConnection{address: "10.0.0.9:80"}
	assert.NilError(t, delivery.Send(right))
	assert.Equal(t, right.String(), "POST /r/x?y=1 HTTP/1.1\r\nHost: h.example\r\nCookie: lang=fr\r\nAccept: text/plain\r\nX-Foxwood-Shadow: whole\r\n"+
		"X-Foxwood-Expect-Worker: a-shadow\r\n"+
		"Content-Length: 4\r\nConnection: close\r\n\r\nbody")
	assert.ErrorContains(t, delivery.Send(right), "was sent before")
}

// testConnection records what is sent to a mirror target.
type testConnection struct {
	bytes.Buffer
	address string
}

func (c *testConnection) ShadowAddress() string { return c.address }

// Adding or removing a member reassigns only the flows that this member collects, and the flows are
// spread evenly.
func TestMemberChangeMovesOnlyItsFlows(t *testing.T) {
	var members []Member
	for i := range 12 {
		members = append(members, Member{Node: fmt.Sprint("g", i), Incarnation: uint64(i), Region: []string{"n", "s"}[i%2]})
	}
	all, fewer := newMemberList(members), newMemberList(members[1:])
	collected := map[string]int{}
	for i := range 12_000 {
		id := FlowID{uint64(i), mixBits(uint64(i) + 1)}
		a, _ := all.collector("", id)
		b, _ := fewer.collector("", id)
		assert.Assert(t, a == b || a == members[0])
		collected[a.Node]++
		regional, _ := all.collector("s", id)
		assert.Equal(t, regional.Region, "s")
	}
	for node, n := range collected {
		assert.Assert(t, n > 850 && n < 1150, "%s %d", node, n)
	}
	_, ok := all.collector("nowhere", FlowID{})
	assert.Assert(t, !ok)
}

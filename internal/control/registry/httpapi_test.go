package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/configstore/chain"
	"foxwood/internal/control/membership"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// testTimeout is the limit of every wait: only what never happens takes that long.
const testTimeout = 60 * time.Second

// TestMain replaces the platform's client by one whose timeout is long enough for a busy machine.
func TestMain(m *testing.M) {
	platformClient = &http.Client{Timeout: testTimeout}
	os.Exit(m.Run())
}

// testRegistry is a registry without its periodic loops, connected to a scripted configuration
// store.
type testRegistry struct {
	*Registry
	t         *testing.T
	submitted chan chain.Change
	// Answers of the configuration store.
	refusal error
	confirm func(api.CommittedStateRequest) (api.CommittedStateResponse, error)
}

// serveRPC answers calls at an address of its own, which it returns.
func serveRPC(t *testing.T, register func(*rpc.Server)) string {
	t.Helper()
	listener, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := rpc.NewServer()
	register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

// newTestRegistry returns a registry at 127.0.0.1 whose seeds are itself and the others.
func newTestRegistry(t *testing.T, others ...string) *testRegistry {
	t.Helper()
	settings := &bootconfig.Settings{Node: "sorting-a-1", IP: "127.0.0.1", InnerPorts: []int{7460, 7475}, Zone: "a1", Region: "a", FirstRun: true,
		Zones: map[string]string{"a1": "a", "b 1": "b"}, SeedNodes: append([]string{"127.0.0.1:80"}, others...),
		Addresses: bootconfig.ServiceAddresses{Control: "control", Resolver: "directory"},
		Bounds:    bootconfig.Bounds{TTLMaxS: 5, QuotaWindowS: 5, QuotaExcess: 0.1, QuotaSlack: 20}}
	registry := &testRegistry{Registry: New(settings, zerolog.Nop()), t: t, submitted: make(chan chain.Change, 99)}
	registry.store = rpc.NewPeer(serveRPC(t, func(server *rpc.Server) {
		rpc.Handle(server, func(_ context.Context, request api.CommitRequest) (api.CommitResponse, error) {
			registry.submitted <- request.Change
			return api.CommitResponse{}, registry.refusal
		})
		rpc.Handle(server, func(_ context.Context, request api.CommittedStateRequest) (api.CommittedStateResponse, error) {
			return registry.confirm(request)
		})
	}))
	t.Cleanup(registry.store.Close)
	registry.storeTimeout = testTimeout
	registry.confirm = func(api.CommittedStateRequest) (api.CommittedStateResponse, error) {
		return api.CommittedStateResponse{}, nil
	}
	for err := error(io.EOF); err != nil; { // the connection is up before a test begins, also on a busy machine
		_, err = rpc.Call[api.CommittedStateRequest, api.CommittedStateResponse](t.Context(), registry.store, api.CommittedStateRequest{})
	}
	return registry
}

// advance moves the registry's clock forward.
func (r *testRegistry) advance(ms float64) {
	r.mu.Lock()
	r.start = r.start.Add(-time.Duration(ms * float64(time.Millisecond)))
	r.mu.Unlock()
}

// request makes an HTTP request to the handler of an address.
func (r *testRegistry) request(address, method, path string, body io.Reader) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.handlers()[address].ServeHTTP(w, httptest.NewRequestWithContext(r.t.Context(), method, path, body))
	return w
}

const configuration = `{"edition":"0000000c","courses":{"columns":["domain","streetPrefix","kind","deadlineS","destination"],` +
	`"rows":[["x.example","/","safe",1,"a"]]},"destinations":{"columns":["name"],"rows":[["a"]]}}`

// TestErrorResponses checks the status of each kind of error, and that each error that may pass has
// a Retry-After.
func TestErrorResponses(t *testing.T) {
	for kind, want := range map[rpc.Kind]struct {
		status     int
		retryAfter bool
	}{
		rpc.Internal: {500, false}, rpc.Unavailable: {503, true}, rpc.Unknown: {503, true}, rpc.Invalid: {400, false},
		rpc.NotFound: {404, false}, rpc.Busy: {503, true}, rpc.Stale: {503, true}, rpc.Conflict: {409, false},
	} {
		registry := newTestRegistry(t)
		registry.refusal = rpc.Errorf(kind, "so it is")
		registry.confirm = func(api.CommittedStateRequest) (api.CommittedStateResponse, error) {
			return api.CommittedStateResponse{}, registry.refusal
		}
		for _, c := range []struct{ method, path, body string }{
			{"PUT", "/timetable", configuration}, {"GET", "/timetable", ""}, {"POST", "/evacuate/a1", ""}, {"DELETE", "/evacuate/a1", ""},
		} {
			response := registry.request("control", c.method, c.path, strings.NewReader(c.body))
			assert.Equal(t, response.Code, want.status, "%s %s: %s", c.method, c.path, kind)
			assert.Equal(t, response.Header().Get("Retry-After") != "", want.retryAfter, "%s %s: %s", c.method, c.path, kind)
			var message map[string]string
			assert.NilError(t, json.Unmarshal(response.Body.Bytes(), &message))
			assert.Assert(t, strings.Contains(message["error"], "so it is"))
		}
	}
	assert.Equal(t, len(errorResponses), 8)
	for kind := range errorResponses {
		assert.Assert(t, kind == rpc.Internal || kind.String() != rpc.Internal.String(), "%d", kind)
	}
}

// TestConfigurationIsStoredUnchanged: a configuration is submitted and returned byte for byte.
func TestConfigurationIsStoredUnchanged(t *testing.T) {
	registry := newTestRegistry(t)
	text := strings.ReplaceAll(configuration, `"edition"`, ` "new":[1, 2],  "edition"`)
	response := registry.request("control", "PUT", "/timetable", strings.NewReader(text))
	assert.Equal(t, response.Code, 200)
	change := <-registry.submitted
	assert.Equal(t, change.Kind, chain.PutConfiguration)
	assert.Equal(t, change.Edition, uint64(12))
	assert.Equal(t, string(change.Body), text)

	registry.confirm = func(request api.CommittedStateRequest) (api.CommittedStateResponse, error) {
		assert.Check(t, !request.AllowStale && request.LastKnown.Seq == 0, "the complete state must be read from the tail")
		return api.CommittedStateResponse{State: &chain.State{Body: change.Body}}, nil
	}
	response = registry.request("control", "GET", "/timetable", nil)
	assert.Equal(t, response.Code, 200)
	assert.Equal(t, response.Body.String(), text)
	for _, state := range []*chain.State{nil, {Last: chain.LogPosition{Seq: 3}}} {
		registry.confirm = func(api.CommittedStateRequest) (api.CommittedStateResponse, error) {
			return api.CommittedStateResponse{State: state}, nil
		}
		assert.Equal(t, registry.request("control", "GET", "/timetable", nil).Code, 404)
	}
}

// truncatedReader is a request body whose connection ends early.
type truncatedReader struct{ io.Reader }

func (b truncatedReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestInvalidRequestsAreNotSubmitted sends configurations and zones that must be refused before
// they reach the configuration store.
func TestInvalidRequestsAreNotSubmitted(t *testing.T) {
	registry := newTestRegistry(t)
	for name, body := range map[string]io.Reader{
		"empty":                  strings.NewReader(""),
		"no JSON":                strings.NewReader("edition"),
		"cut short":              strings.NewReader(configuration[:len(configuration)-1]),
		"a body that ends early": truncatedReader{strings.NewReader(configuration)},
		"too long":               io.MultiReader(strings.NewReader(configuration), strings.NewReader(strings.Repeat(" ", maxConfigurationBytes))),
		"an unknown kind":        strings.NewReader(strings.Replace(configuration, "safe", "sane", 1)),
		"an unknown service":     strings.NewReader(strings.Replace(configuration, `,"a"]`, `,"b"]`, 1)),
		"a deadline of zero":     strings.NewReader(strings.Replace(configuration, `"safe",1`, `"safe",0`, 1)),
		"a malformed edition":    strings.NewReader(strings.Replace(configuration, "0000000c", "c", 1)),
	} {
		response := registry.request("control", "PUT", "/timetable", body)
		assert.Equal(t, response.Code, 400, name)
	}
	for _, path := range []string{"/evacuate/c1", "/evacuate/a1/x", "/evacuate/"} {
		for _, method := range []string{"POST", "DELETE"} {
			assert.Equal(t, registry.request("control", method, path, nil).Code, 404, path)
		}
	}
	assert.Equal(t, registry.request("control", "GET", "/evacuate/a1", nil).Code, 405)
	assert.Equal(t, registry.request("directory", "PUT", "/timetable", strings.NewReader(configuration)).Code, 404)
	assert.Equal(t, len(registry.submitted), 0)
}

func TestEvacuations(t *testing.T) {
	registry := newTestRegistry(t)
	for _, c := range []struct {
		method, path, zone string
		kind               chain.ChangeKind
	}{
		{"POST", "/evacuate/a1", "a1", chain.Evacuate},
		{"DELETE", "/evacuate/a1", "a1", chain.EndEvacuation},
		{"POST", "/evacuate/b%201", "b 1", chain.Evacuate},
	} {
		assert.Equal(t, registry.request("control", c.method, c.path, nil).Code, 200)
		change := <-registry.submitted
		assert.Equal(t, change.Kind, c.kind)
		assert.Equal(t, change.Zone, c.zone)
	}
}

// TestResolve: there is no answer without addresses, and no answer is valid for longer than the
// settings allow.
func TestResolve(t *testing.T) {
	registry := newTestRegistry(t)
	const path = "/resolve?name=x.example&region=a&zone=a1"
	response := registry.request("directory", "GET", path, nil)
	assert.Equal(t, response.Code, 503)
	assert.Assert(t, response.Header().Get("Retry-After") != "")
	registry.sessions.Heartbeat(registry.now(), membership.Member{Node: "p", Zone: "a1", Region: "a", Incarnation: 1, Sequence: 1, ClientAddr: "10.0.0.1:80", Ready: true})
	for _, c := range []struct{ most, valid float64 }{{5, resolveValidS}, {1.5, 1.5}} {
		registry.settings.Bounds.TTLMaxS = c.most
		response = registry.request("directory", "GET", path, nil)
		assert.Equal(t, response.Code, 200)
		var got struct {
			Addresses []string
			ValidS    float64
		}
		assert.NilError(t, json.Unmarshal(response.Body.Bytes(), &got))
		assert.DeepEqual(t, got.Addresses, []string{"10.0.0.1:80"})
		assert.Equal(t, got.ValidS, c.valid)
	}
	registry.settings.Addresses.Resolver = "control" // one address for both
	assert.Equal(t, registry.request("control", "GET", path, nil).Code, 200)
	assert.Equal(t, registry.request("control", "POST", "/evacuate/a1", nil).Code, 200)
}

// servePlatform answers GET /roster by page token.
func (r *testRegistry) servePlatform(pages map[string]string) (requestCount func() int) {
	count := make(chan int, 1)
	count <- 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		number := <-count
		count <- number + 1
		page, ok := pages[r.URL.Query().Get("pageToken")]
		switch {
		case !ok:
			page, ok = pages["*"]
			page = strings.ReplaceAll(page, "$", fmt.Sprint(number))
		case page == "429":
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.WriteString(w, page)
	}))
	r.t.Cleanup(server.Close)
	r.settings.PlatformAPI.Address = strings.TrimPrefix(server.URL, "http://")
	return func() int {
		number := <-count
		count <- number
		return number
	}
}

// TestReadPlatformList: pages are joined and columns are found by their names; an incomplete list
// is an error, because it would remove workers that exist.
func TestReadPlatformList(t *testing.T) {
	const columns = `"columns":["destination","address","zone","edition","berths","state","coldS_time","id"]`
	row := func(id string) string { return `["d","10.0.0.1:80","a1","v1",2,"open_counter",0.5,"` + id + `"]` }
	page := func(next string, rows ...string) string {
		return `{"roster":{` + columns + `,"rows":[` + strings.Join(rows, ",") + `]},"nextToken":` + next + `}`
	}
	want := func(id string, change ...func(*api.Worker)) api.Worker {
		worker := api.Worker{ID: id, Destination: "d", Addr: "10.0.0.1:80", Zone: "a1", Version: "v1", Slots: 2, SlowStartLeftMS: 500}
		for _, apply := range change {
			apply(&worker)
		}
		return worker
	}
	for _, c := range []struct {
		name  string
		pages map[string]string
		want  []api.Worker
		fault string
	}{
		{"one page", map[string]string{"": page("null", row("i-1"), row("i-2"))}, []api.Worker{want("i-1"), want("i-2")}, ""},
		{"an empty token ends the list", map[string]string{"": page(`""`, row("i-1"))}, []api.Worker{want("i-1")}, ""},
		{"no token", map[string]string{"": `{"roster":{` + columns + `,"rows":[]}}`}, nil, ""},
		{"pages", map[string]string{"": page(`"p 2&x"`, row("i-1")), "p 2&x": page(`"p3"`), "p3": page("null", row("i-2"))},
			[]api.Worker{want("i-1"), want("i-2")}, ""},
		{"another order, new columns", map[string]string{"": `{"new":1,"roster":{"columns":["id","hue","state","address","destination"],` +
			`"rows":[["i-1",7,"closing","10.0.0.2:80","d"]]},"nextToken":null}`},
			[]api.Worker{{ID: "i-1", Destination: "d", Addr: "10.0.0.2:80", Draining: true}}, ""},
		{"nulls", map[string]string{"": page("null", `["d","10.0.0.1:80",null,null,null,"open_counter",null,"i-1"]`)},
			[]api.Worker{want("i-1", func(worker *api.Worker) {
				worker.Zone, worker.Version, worker.Slots, worker.SlowStartLeftMS = "", "", 0, 0
			})}, ""},
		{"an unknown state", map[string]string{"": page("null", strings.Replace(row("i-1"), "open_counter", "ending", 1))},
			[]api.Worker{want("i-1", closing)}, ""},
		{"a row too short", map[string]string{"": page("null", row("i-1"), `["d"]`)}, nil, "without id"},
		{"an id that is a number", map[string]string{"": page("null", strings.Replace(row("i-1"), `"i-1"`, "7", 1))}, nil, "without id"},
		{"no address", map[string]string{"": page("null", strings.Replace(row("i-1"), `"10.0.0.1:80"`, "null", 1))}, nil, "without id or address"},
		{"a column missing", map[string]string{"": `{"roster":{"columns":["id","address","state"],"rows":[]}}`}, nil, `"destination"`},
		{"no list", map[string]string{"": `{}`}, nil, "no column"},
		{"no JSON", map[string]string{"": `<html>`}, nil, "invalid character"},
		{"cut short", map[string]string{"": page("null", row("i-1"))[:150]}, nil, "EOF"},
		{"too many calls", map[string]string{"": "429"}, nil, "429"},
		{"too many calls at the second page", map[string]string{"": page(`"p2"`, row("i-1")), "p2": "429"}, nil, "429"},
		{"an unknown token", map[string]string{"": page(`"p2"`, row("i-1"))}, nil, "404"},
		{"no end", map[string]string{"": page(`"p0"`, row("i-1")), "*": page(`"p$"`, row("i-1"))}, nil, "does not end"},
		{"a token that repeats", map[string]string{"": page(`"p"`, row("i-1")), "p": page(`"p"`, row("i-1"))}, nil, "does not end"},
	} {
		registry := newTestRegistry(t)
		requestCount := registry.servePlatform(c.pages)
		list, _, err := registry.readPlatformList(t.Context())
		if c.fault != "" {
			assert.ErrorContains(t, err, c.fault, c.name)
			assert.Assert(t, list == nil, c.name)
			assert.Assert(t, requestCount() < 300, c.name)
			continue
		}
		assert.NilError(t, err, c.name)
		assert.Equal(t, len(list), len(c.want), c.name)
		for i := range list {
			assert.Equal(t, list[i], c.want[i], c.name)
		}
	}
}

// TestPollPlatform: a registry that knows no workers reads the list soon, even without the duty; a
// failed reading changes nothing, and a registry that knows workers leaves the reading to the
// holder.
func TestPollPlatform(t *testing.T) {
	registry := newTestRegistry(t)
	pages := map[string]string{"": "429"}
	requestCount := registry.servePlatform(pages)
	registry.advance(startupPollDelayMs + 1)
	registry.pollPlatform(t.Context())
	assert.Equal(t, requestCount(), 1)
	assert.Equal(t, registry.endpoints.version, uint64(0))
	assert.Equal(t, registry.counters.PlatformReadsFailed, uint64(1))
	pages[""] = `{"roster":{"columns":["id","destination","address","state"],"rows":[["i-1","d","10.0.0.1:80","open_counter"]]}}`
	registry.pollPlatform(t.Context())
	assert.DeepEqual(t, workerIDs(registry.endpoints.since(0, 0)), []string{"i-1"})
	version := registry.endpoints.version
	registry.pollPlatform(t.Context())
	assert.Equal(t, requestCount(), 2)
	assert.Equal(t, registry.endpoints.version, version)
}

// unusedAddress returns an address at which nobody answers.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// TestStoreUnavailable: without the configuration store of its machine a registry accepts nothing,
// and answers 503.
func TestStoreUnavailable(t *testing.T) {
	registry := newTestRegistry(t)
	registry.store = rpc.NewPeer(unusedAddress(t))
	for _, c := range []struct{ method, path, body string }{{"PUT", "/timetable", configuration}, {"GET", "/timetable", ""}, {"POST", "/evacuate/a1", ""}} {
		response := registry.request("control", c.method, c.path, strings.NewReader(c.body))
		assert.Equal(t, response.Code, 503)
		assert.Assert(t, response.Header().Get("Retry-After") != "")
	}
}

package bothy

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
	"foxwood/internal/cairn"
	"foxwood/internal/membership"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

// patience is how long anything is waited for: only what never comes takes that long.
const patience = 60 * time.Second

func TestMain(m *testing.M) {
	platformClient = &http.Client{Timeout: patience}
	os.Exit(m.Run())
}

// stand is a bothy without its loops, before a scripted cairn.
type stand struct {
	*Bothy
	t       *testing.T
	entered chan cairn.Change
	// What the cairn answers.
	refuses   error
	confirmed func(waymark.Confirm) (waymark.Confirmed, error)
}

// serve answers calls at an address of its own.
func serve(t *testing.T, prepare func(*rpc.Server)) string {
	t.Helper()
	ln, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	s := rpc.NewServer()
	prepare(s)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(s.Close)
	return ln.Addr().String()
}

func open(t *testing.T, others ...string) *stand {
	t.Helper()
	set := &bootconfig.Settings{Station: "sorting-a-1", IP: "127.0.0.1", InnerDocks: []int{7460, 7475}, Zone: "a1", Region: "a", FirstRun: true,
		Zones: map[string]string{"a1": "a", "b 1": "b"}, FirstStations: append([]string{"127.0.0.1:80"}, others...),
		Gates:  bootconfig.Gates{ControlDesk: "control", DirectoryDesk: "directory"},
		Bounds: bootconfig.Bounds{TTLMaxS: 5, QuotaWindowS: 5, QuotaExcess: 0.1, QuotaSlack: 20}}
	s := &stand{Bothy: New(set, zerolog.Nop()), t: t, entered: make(chan cairn.Change, 99)}
	s.store = rpc.NewPeer(serve(t, func(server *rpc.Server) {
		rpc.Handle(server, func(_ context.Context, q waymark.Enter) (waymark.Entered, error) {
			s.entered <- q.Change
			return waymark.Entered{}, s.refuses
		})
		rpc.Handle(server, func(_ context.Context, q waymark.Confirm) (waymark.Confirmed, error) { return s.confirmed(q) })
	}))
	t.Cleanup(s.store.Close)
	s.storeTimeout = patience
	s.confirmed = func(waymark.Confirm) (waymark.Confirmed, error) { return waymark.Confirmed{}, nil }
	for err := error(io.EOF); err != nil; { // the connection is up before a test begins, also on a busy machine
		_, err = rpc.Call[waymark.Confirm, waymark.Confirmed](t.Context(), s.store, waymark.Confirm{})
	}
	return s
}

// pass has time go by.
func (s *stand) pass(ms float64) {
	s.mu.Lock()
	s.start = s.start.Add(-time.Duration(ms * float64(time.Millisecond)))
	s.mu.Unlock()
}

// ask is an outside call at a door.
func (s *stand) ask(door, method, path string, body io.Reader) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.handlers()[door].ServeHTTP(w, httptest.NewRequestWithContext(s.t.Context(), method, path, body))
	return w
}

const configuration = `{"edition":"0000000c","courses":{"columns":["domain","streetPrefix","kind","deadlineS","destination"],` +
	`"rows":[["x.example","/","safe",1,"a"]]},"destinations":{"columns":["name"],"rows":[["a"]]}}`

// TestEachKindOfErrorHasItsAnswer, and each that may pass says when to come again.
func TestEachKindOfErrorHasItsAnswer(t *testing.T) {
	for kind, want := range map[rpc.Kind]struct {
		status int
		again  bool
	}{
		rpc.Internal: {500, false}, rpc.Unavailable: {503, true}, rpc.Unknown: {503, true}, rpc.Invalid: {400, false},
		rpc.NotFound: {404, false}, rpc.Busy: {503, true}, rpc.Stale: {503, true}, rpc.Conflict: {409, false},
	} {
		s := open(t)
		s.refuses = rpc.Errorf(kind, "so it is")
		s.confirmed = func(waymark.Confirm) (waymark.Confirmed, error) { return waymark.Confirmed{}, s.refuses }
		for _, c := range []struct{ method, path, body string }{
			{"PUT", "/timetable", configuration}, {"GET", "/timetable", ""}, {"POST", "/evacuate/a1", ""}, {"DELETE", "/evacuate/a1", ""},
		} {
			w := s.ask("control", c.method, c.path, strings.NewReader(c.body))
			assert.Equal(t, w.Code, want.status, "%s %s: %s", c.method, c.path, kind)
			assert.Equal(t, w.Header().Get("Retry-After") != "", want.again, "%s %s: %s", c.method, c.path, kind)
			var said map[string]string
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &said))
			assert.Assert(t, strings.Contains(said["error"], "so it is"))
		}
	}
	assert.Equal(t, len(errorResponses), 8)
	for kind := range errorResponses {
		assert.Assert(t, kind == rpc.Internal || kind.String() != rpc.Internal.String(), "%d", kind)
	}
}

// TestAConfigurationGoesInAsItCame, and comes back so.
func TestAConfigurationGoesInAsItCame(t *testing.T) {
	s := open(t)
	text := strings.ReplaceAll(configuration, `"edition"`, ` "new":[1, 2],  "edition"`)
	w := s.ask("control", "PUT", "/timetable", strings.NewReader(text))
	assert.Equal(t, w.Code, 200)
	got := <-s.entered
	assert.Equal(t, got.Kind, cairn.PutConfiguration)
	assert.Equal(t, got.Edition, uint64(12))
	assert.Equal(t, string(got.Body), text)

	s.confirmed = func(q waymark.Confirm) (waymark.Confirmed, error) {
		assert.Check(t, !q.Recall && q.Have.Seq == 0, "the tail's word is asked for, and all of it")
		return waymark.Confirmed{State: &cairn.State{Body: got.Body}}, nil
	}
	w = s.ask("control", "GET", "/timetable", nil)
	assert.Equal(t, w.Code, 200)
	assert.Equal(t, w.Body.String(), text)
	for _, none := range []*cairn.State{nil, {Last: cairn.Stamp{Seq: 3}}} {
		s.confirmed = func(waymark.Confirm) (waymark.Confirmed, error) { return waymark.Confirmed{State: none}, nil }
		assert.Equal(t, s.ask("control", "GET", "/timetable", nil).Code, 404)
	}
}

type broken struct{ io.Reader }

func (b broken) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestWhatIsInvalidNeverReachesTheChain.
func TestWhatIsInvalidNeverReachesTheChain(t *testing.T) {
	s := open(t)
	for name, body := range map[string]io.Reader{
		"empty":                 strings.NewReader(""),
		"no JSON":               strings.NewReader("edition"),
		"cut short":             strings.NewReader(configuration[:len(configuration)-1]),
		"a body that breaks":    broken{strings.NewReader(configuration)},
		"too long":              io.MultiReader(strings.NewReader(configuration), strings.NewReader(strings.Repeat(" ", maxConfigurationBytes))),
		"an unknown kind":       strings.NewReader(strings.Replace(configuration, "safe", "sane", 1)),
		"an unknown service":    strings.NewReader(strings.Replace(configuration, `,"a"]`, `,"b"]`, 1)),
		"a deadline of nothing": strings.NewReader(strings.Replace(configuration, `"safe",1`, `"safe",0`, 1)),
		"an odd edition":        strings.NewReader(strings.Replace(configuration, "0000000c", "c", 1)),
	} {
		w := s.ask("control", "PUT", "/timetable", body)
		assert.Equal(t, w.Code, 400, name)
	}
	for _, path := range []string{"/evacuate/c1", "/evacuate/a1/x", "/evacuate/"} {
		for _, method := range []string{"POST", "DELETE"} {
			assert.Equal(t, s.ask("control", method, path, nil).Code, 404, path)
		}
	}
	assert.Equal(t, s.ask("control", "GET", "/evacuate/a1", nil).Code, 405)
	assert.Equal(t, s.ask("directory", "PUT", "/timetable", strings.NewReader(configuration)).Code, 404)
	assert.Equal(t, len(s.entered), 0)
}

func TestEvacuations(t *testing.T) {
	s := open(t)
	for _, c := range []struct {
		method, path, zone string
		kind               cairn.ChangeKind
	}{
		{"POST", "/evacuate/a1", "a1", cairn.Evacuate},
		{"DELETE", "/evacuate/a1", "a1", cairn.TakeBack},
		{"POST", "/evacuate/b%201", "b 1", cairn.Evacuate},
	} {
		assert.Equal(t, s.ask("control", c.method, c.path, nil).Code, 200)
		got := <-s.entered
		assert.Equal(t, got.Kind, c.kind)
		assert.Equal(t, got.Zone, c.zone)
	}
}

// TestResolve: an answer without addresses would be no answer; nobody holds one longer than told.
func TestResolve(t *testing.T) {
	s := open(t)
	const path = "/resolve?name=x.example&region=a&zone=a1"
	w := s.ask("directory", "GET", path, nil)
	assert.Equal(t, w.Code, 503)
	assert.Assert(t, w.Header().Get("Retry-After") != "")
	s.sessions.Sign(s.now(), membership.Member{Station: "p", Zone: "a1", Region: "a", Life: 1, Turn: 1, Counter: "10.0.0.1:80", Ready: true})
	for _, c := range []struct{ most, valid float64 }{{5, resolveValidS}, {1.5, 1.5}} {
		s.settings.Bounds.TTLMaxS = c.most
		w = s.ask("directory", "GET", path, nil)
		assert.Equal(t, w.Code, 200)
		var got struct {
			Addresses []string
			ValidS    float64
		}
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
		assert.DeepEqual(t, got.Addresses, []string{"10.0.0.1:80"})
		assert.Equal(t, got.ValidS, c.valid)
	}
	s.settings.Gates.DirectoryDesk = "control" // one door for both
	assert.Equal(t, s.ask("control", "GET", path, nil).Code, 200)
	assert.Equal(t, s.ask("control", "POST", "/evacuate/a1", nil).Code, 200)
}

// platform answers GET /roster by page token.
func (s *stand) platform(pages map[string]string) (asked func() int) {
	count := make(chan int, 1)
	count <- 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := <-count
		count <- n + 1
		text, ok := pages[r.URL.Query().Get("pageToken")]
		switch {
		case !ok:
			text, ok = pages["*"]
			text = strings.ReplaceAll(text, "$", fmt.Sprint(n))
		case text == "429":
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.WriteString(w, text)
	}))
	s.t.Cleanup(server.Close)
	s.settings.CarrierAPI.Address = strings.TrimPrefix(server.URL, "http://")
	return func() int {
		n := <-count
		count <- n
		return n
	}
}

// TestThePlatformsList: pages are put together, columns go by their names; a list that is not whole
// is none, or workers would be left that are there.
func TestThePlatformsList(t *testing.T) {
	const columns = `"columns":["destination","address","zone","edition","berths","state","coldS_time","id"]`
	row := func(id string) string { return `["d","10.0.0.1:80","a1","v1",2,"open_counter",0.5,"` + id + `"]` }
	page := func(next string, rows ...string) string {
		return `{"roster":{` + columns + `,"rows":[` + strings.Join(rows, ",") + `]},"nextToken":` + next + `}`
	}
	w := func(id string, change ...func(*waymark.Worker)) waymark.Worker {
		k := waymark.Worker{ID: id, Destination: "d", Addr: "10.0.0.1:80", Zone: "a1", Edition: "v1", Berths: 2, Cold: 500}
		for _, do := range change {
			do(&k)
		}
		return k
	}
	for _, c := range []struct {
		name  string
		pages map[string]string
		want  []waymark.Worker
		fault string
	}{
		{"one page", map[string]string{"": page("null", row("i-1"), row("i-2"))}, []waymark.Worker{w("i-1"), w("i-2")}, ""},
		{"an empty token ends it", map[string]string{"": page(`""`, row("i-1"))}, []waymark.Worker{w("i-1")}, ""},
		{"no token", map[string]string{"": `{"roster":{` + columns + `,"rows":[]}}`}, nil, ""},
		{"pages", map[string]string{"": page(`"p 2&x"`, row("i-1")), "p 2&x": page(`"p3"`), "p3": page("null", row("i-2"))},
			[]waymark.Worker{w("i-1"), w("i-2")}, ""},
		{"another order, new columns", map[string]string{"": `{"new":1,"roster":{"columns":["id","hue","state","address","destination"],` +
			`"rows":[["i-1",7,"closing","10.0.0.2:80","d"]]},"nextToken":null}`},
			[]waymark.Worker{{ID: "i-1", Destination: "d", Addr: "10.0.0.2:80", Closing: true}}, ""},
		{"nulls", map[string]string{"": page("null", `["d","10.0.0.1:80",null,null,null,"open_counter",null,"i-1"]`)},
			[]waymark.Worker{w("i-1", func(k *waymark.Worker) { k.Zone, k.Edition, k.Berths, k.Cold = "", "", 0, 0 })}, ""},
		{"a state that is not known", map[string]string{"": page("null", strings.Replace(row("i-1"), "open_counter", "ending", 1))},
			[]waymark.Worker{w("i-1", closing)}, ""},
		{"a row too short", map[string]string{"": page("null", row("i-1"), `["d"]`)}, nil, "without id"},
		{"an id that is a figure", map[string]string{"": page("null", strings.Replace(row("i-1"), `"i-1"`, "7", 1))}, nil, "without id"},
		{"no address", map[string]string{"": page("null", strings.Replace(row("i-1"), `"10.0.0.1:80"`, "null", 1))}, nil, "without id or address"},
		{"a column missing", map[string]string{"": `{"roster":{"columns":["id","address","state"],"rows":[]}}`}, nil, `"destination"`},
		{"no list", map[string]string{"": `{}`}, nil, "no column"},
		{"no JSON", map[string]string{"": `<html>`}, nil, "invalid character"},
		{"cut short", map[string]string{"": page("null", row("i-1"))[:150]}, nil, "EOF"},
		{"too many calls", map[string]string{"": "429"}, nil, "429"},
		{"too many calls at the second page", map[string]string{"": page(`"p2"`, row("i-1")), "p2": "429"}, nil, "429"},
		{"a token that is not known", map[string]string{"": page(`"p2"`, row("i-1"))}, nil, "404"},
		{"no end", map[string]string{"": page(`"p0"`, row("i-1")), "*": page(`"p$"`, row("i-1"))}, nil, "does not end"},
		{"a circle", map[string]string{"": page(`"p"`, row("i-1")), "p": page(`"p"`, row("i-1"))}, nil, "does not end"},
	} {
		s := open(t)
		asked := s.platform(c.pages)
		got, _, err := s.readPlatformList(t.Context())
		if c.fault != "" {
			assert.ErrorContains(t, err, c.fault, c.name)
			assert.Assert(t, got == nil, c.name)
			assert.Assert(t, asked() < 300, c.name)
			continue
		}
		assert.NilError(t, err, c.name)
		assert.Equal(t, len(got), len(c.want), c.name)
		for i := range got {
			assert.Equal(t, got[i], c.want[i], c.name)
		}
	}
}

// TestPoll: who knows of no worker asks soon, without the duty; a list that fails changes nothing,
// and whoever knows some leaves the asking to the holder.
func TestPoll(t *testing.T) {
	s := open(t)
	pages := map[string]string{"": "429"}
	asked := s.platform(pages)
	s.pass(startupPollDelayMs + 1)
	s.pollPlatform(t.Context())
	assert.Equal(t, asked(), 1)
	assert.Equal(t, s.endpoints.version, uint64(0))
	assert.Equal(t, s.counters.PollsFailed, uint64(1))
	pages[""] = `{"roster":{"columns":["id","destination","address","state"],"rows":[["i-1","d","10.0.0.1:80","open_counter"]]}}`
	s.pollPlatform(t.Context())
	assert.DeepEqual(t, ids(s.endpoints.since(0, 0)), []string{"i-1"})
	version := s.endpoints.version
	s.pollPlatform(t.Context())
	assert.Equal(t, asked(), 2)
	assert.Equal(t, s.endpoints.version, version)
}

// freePort is an address at which nobody answers.
func freePort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// TestNoCairn: without its machine's store a bothy takes nothing, and says so.
func TestNoCairn(t *testing.T) {
	s := open(t)
	s.store = rpc.NewPeer(freePort(t))
	for _, c := range []struct{ method, path, body string }{{"PUT", "/timetable", configuration}, {"GET", "/timetable", ""}, {"POST", "/evacuate/a1", ""}} {
		w := s.ask("control", c.method, c.path, strings.NewReader(c.body))
		assert.Equal(t, w.Code, 503)
		assert.Assert(t, w.Header().Get("Retry-After") != "")
	}
}

package proxy

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/dataplane/link"
	"foxwood/internal/rpc/api"
)

// testTimeout is how long tests wait for anything. Only a failing test waits that long.
const testTimeout = 60 * time.Second

// testProxy is a proxy without a registry, with clients and scripted workers on loopback addresses.
type testProxy struct {
	*Proxy
	t        *testing.T
	listener *link.Listener
	addr     string
	stopOnce sync.Once
}

// testSettings are the settings of a test proxy, with a place for its bounds.
const testSettings = `
station = "counter-a-1"
ip = "127.0.0.1"
zone = "a1"
region = "a"
innerDocks = [7460, 7475]
firstStations = ["127.0.0.1:1"]
timeBounds = ["revokeS=60", "graceS=20", %s]
[zones]
a1 = "a"
a2 = "a"
b1 = "b"
[sizeLimits]
memoryMb = 4096
handles = 4000
`

// newTestProxy starts a proxy with settings for its bounds.
func newTestProxy(t *testing.T, bounds ...string) *testProxy {
	t.Helper()
	for i := range bounds {
		bounds[i] = `"` + bounds[i] + `"`
	}
	settings, err := bootconfig.Parse(fmt.Appendf(nil, testSettings, strings.Join(bounds, ", ")))
	assert.NilError(t, err)
	p, err := New(settings, zerolog.Nop())
	assert.NilError(t, err)
	p.tokenTimeout, p.connectTimeoutMs = testTimeout, 6e4
	p.retryBudget.SetMembers(0, 1, 0) // otherwise it has no share of the retry budget
	listener, err := link.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	go listener.Accept(p.loop, func() *link.ClientConn { return p.clients.NewConn() })
	proxy := &testProxy{Proxy: p, t: t, listener: listener, addr: listener.Addr().String()}
	t.Cleanup(proxy.stop)
	return proxy
}

// stop ends the proxy, which closes all its connections.
func (s *testProxy) stop() {
	s.stopOnce.Do(func() {
		_ = s.listener.Close()
		assert.Check(s.t, s.loop.Stop())
	})
}

// routeSpec is a route of a configuration. The comments name the values used for zero values.
type routeSpec struct {
	prefix, destination string
	unsafe              bool
	deadline            float64 // 60
	target              float64 // 60
	attempts            int     // 3
	withoutKey          bool
	regions             []string
	domain              string // x.example
}

// tenantSpec is a tenant, whose key is k-NAME.
type tenantSpec struct {
	name    string
	rate    float64
	regions []string
}

// newConfig returns a configuration. Without tenants no key is needed.
func newConfig(t *testing.T, version uint64, routes []routeSpec, tenants ...tenantSpec) *routeconfig.Config {
	t.Helper()
	orDefault := func(v, other float64) float64 {
		if v == 0 {
			return other
		}
		return v
	}
	var routeRows, destinationRows, tenantRows [][]any
	named := map[string]bool{}
	for i, route := range routes {
		kind, domain, regions := "safe", route.domain, route.regions
		if route.unsafe {
			kind = "unsafe"
		}
		if domain == "" {
			domain = "x.example"
		}
		if regions == nil {
			regions = []string{}
		}
		routeRows = append(routeRows, []any{fmt.Sprint("r", i), domain, route.prefix, kind, orDefault(route.deadline, 60), orDefault(route.target, 60), 0,
			int(orDefault(float64(route.attempts), 3)), route.withoutKey, regions, route.destination})
		if !named[route.destination] {
			named[route.destination] = true
			destinationRows = append(destinationRows, []any{route.destination, "/health", 100, "h1", false})
		}
	}
	list := func(columns string, rows [][]any) map[string]any {
		return map[string]any{"columns": strings.Fields(columns), "rows": rows}
	}
	document := map[string]any{"edition": routeconfig.FormatVersion(version),
		"courses":      list("name domain streetPrefix kind deadlineS targetS priority tries unsealed homeRegions destination", routeRows),
		"destinations": list("name healthPath berthCap protocol tls", destinationRows),
		"sizeLimits":   map[string]any{"envelopeBytes": 4096, "bodyBytes": 64 << 20, "envelopeS": 300, "idleS": 300}}
	for _, tenant := range tenants {
		regions := tenant.regions
		if regions == nil {
			regions = []string{}
		}
		tenantRows = append(tenantRows, []any{tenant.name, []string{"k-" + tenant.name}, 1, tenant.rate, 1, regions})
	}
	if len(tenants) > 0 {
		document["senders"] = list("name passes priority ratePerS surge homeRegions", tenantRows)
	}
	raw, err := json.Marshal(document)
	assert.NilError(t, err)
	config, err := routeconfig.Parse(raw)
	assert.NilError(t, err)
	return config
}

// receive passes an answer to the proxy, as from a registry.
func (s *testProxy) receive(answer api.SessionResponse, config *routeconfig.Config) {
	s.t.Helper()
	if config != nil {
		answer.ConfigVersion, answer.Config = config.Version, api.Deflate(config.Raw)
	}
	var now float64
	s.runOnLoop(func() { now = s.clock.Now() })
	assert.Assert(s.t, s.received(s.t.Context(), &answer, now), "configuration can't be parsed")
}

// fullList returns an answer with a complete list of workers.
func fullList(version uint64, workers ...api.Worker) api.SessionResponse {
	return listAnswer(version, 0, workers)
}

// listChanges returns an answer with the changes since the previous version.
func listChanges(version uint64, workers ...api.Worker) api.SessionResponse {
	return listAnswer(version, version-1, workers)
}

// listAnswer returns an answer with the workers that changed since a version, or with all workers if that is 0.
func listAnswer(version, since uint64, workers []api.Worker) api.SessionResponse {
	answer := api.SessionResponse{EndpointChanges: &api.EndpointChanges{Version: version, Complete: since == 0, VersionsBehind: map[string]uint64{}}}
	for _, w := range workers {
		i := slices.IndexFunc(answer.Endpoints, func(p api.DestinationEndpoints) bool { return p.Destination == w.Destination })
		if i < 0 {
			i = len(answer.Endpoints)
			answer.EndpointChanges.VersionsBehind[w.Destination] = 0
			answer.Endpoints = append(answer.Endpoints, api.DestinationEndpoints{Destination: w.Destination, Version: version, Since: since})
		}
		w.Destination = ""
		answer.Endpoints[i].Workers = append(answer.Endpoints[i].Workers, w)
	}
	return answer
}

// stale marks an answer as coming from a registry that is out of touch with the tail.
func stale(a api.SessionResponse) api.SessionResponse {
	a.Stale = true
	return a
}

// workerRequest is a request that a worker received.
type workerRequest struct {
	*http.Request
	worker, id, body string
	conn             net.Conn
}

// workerScript is what a worker does with its n-th request. If it returns false, the connection is closed.
type workerScript func(n int, s *workerRequest) bool

// Headers in the answers of workers.
const (
	postmarkLine     = "X-Foxwood-Postmark: 3e1b.07\r\n"
	notDeliveredLine = "X-Foxwood-Not-Delivered: 1\r\n"
	tryIDPrefix      = "X-Foxwood-Try-Id: "
)

// reply answers with a status, header lines and a body, and adds the id of the attempt.
func reply(status int, lines, body string) workerScript {
	return func(_ int, s *workerRequest) bool {
		return rawReply(fmt.Sprintf("HTTP/1.1 %d T\r\nContent-Length: %d\r\n%s%s%s\r\n\r\n%s", status, len(body), lines, tryIDPrefix, s.id, body))(0, s)
	}
}

// rawReply writes a text.
func rawReply(text string) workerScript {
	return func(_ int, s *workerRequest) bool {
		_, err := io.WriteString(s.conn, text)
		return err == nil
	}
}

// replyWorkerID answers with the id of the worker.
func replyWorkerID(n int, s *workerRequest) bool { return reply(200, postmarkLine, s.worker)(n, s) }

// closeConn closes the connection without an answer.
func closeConn(int, *workerRequest) bool { return false }

// hang holds the connection until the other side closes it.
func hang(_ int, s *workerRequest) bool {
	_, _ = s.conn.Read(make([]byte, 1))
	return false
}

// resetConn resets the connection.
func resetConn(_ int, s *workerRequest) bool {
	_ = s.conn.(*net.TCPConn).SetLinger(0)
	return false
}

// startWorker starts a worker with a script. Its requests are also sent to received, unless that is nil.
func startWorker(t *testing.T, id, destination string, script workerScript, received chan<- *workerRequest) api.Worker {
	t.Helper()
	count := make(chan int, 1)
	count <- 0
	addr := listenWorker(t, func(r *http.Request, c net.Conn) bool {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		n := <-count
		count <- n + 1
		s := &workerRequest{r, id, r.Header.Get(headerTryID), string(body), c}
		if received != nil {
			received <- s
		}
		return script(n, s)
	})
	return api.Worker{ID: id, Destination: destination, Addr: addr, Zone: "a1", Slots: 8}
}

// listenWorker opens the address of a worker. A connection ends when serve returns false.
func listenWorker(t *testing.T, serve func(r *http.Request, c net.Conn) bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil || !serve(r, c) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// await receives a value, or fails the test after testTimeout.
func await[T any](t *testing.T, values <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(testTimeout):
		t.Fatal("no value arrived within the test's time limit")
	}
	return value
}

// testClient is a connection of a client.
type testClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// dial connects a client.
func (s *testProxy) dial() *testClient {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &testClient{s.t, c, bufio.NewReader(c)}
}

// requestNumbers holds the number of the next request of any test.
var requestNumbers = func() chan int { c := make(chan int, 1); c <- 0; return c }()

// newRequest returns a request with a unique attempt id.
func newRequest(method, path, lines, body string) string {
	n := <-requestNumbers
	requestNumbers <- n + 1
	if !strings.Contains(lines, "Host:") {
		lines += "Host: x.example\r\n"
	}
	if body != "" && !strings.Contains(lines, "chunked") {
		lines += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\n%s%st%d\r\n\r\n%s", method, path, lines, tryIDPrefix, n, body)
}

// send writes a text to the proxy.
func (c *testClient) send(text string) *testClient {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
	return c
}

// readResponse reads an answer and its body.
func (c *testClient) readResponse() (*http.Response, string) {
	c.t.Helper()
	res, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(c.t, err)
	return res, string(body)
}

// do sends a request on a connection of its own and returns the answer.
func (s *testProxy) do(method, path, lines, body string) (*http.Response, string) {
	s.t.Helper()
	return s.dial().send(newRequest(method, path, lines, body)).readResponse()
}

// checkRetryAfter checks that a refusal tells when to retry.
func checkRetryAfter(t *testing.T, res *http.Response) {
	t.Helper()
	assert.Assert(t, res.Header.Get("Retry-After") != "", "refusal without Retry-After header")
}

// repeatedText returns a text of n bytes, for n divisible by 8.
func repeatedText(n int) string { return string(bytes.Repeat([]byte("abcdefgh"), n/8)) }

// complete tells whether a complete answer with status 200 arrives.
func (c *testClient) complete() bool {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	_, err = io.ReadAll(res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

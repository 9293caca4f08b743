package overloadtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/internal/testing/standin"
)

const (
	proxyCount        = 6
	coreCount         = 3 // core machines: a configuration store and a registry each
	workersPerService = 3
	innerBasePort     = 7460 // first port for calls between nodes
	publicPort        = 8080 // port for clients and operators
)

// logLine is a log line of a process. It carries the time at which this program read it, so that
// the lines of all processes are ordered by one clock.
type logLine struct {
	readAt  time.Time
	program string
	node    string
	fields  map[string]any
}

// process is a child process that runs one node of the cluster.
type process struct {
	name      string
	addr      string // address for clients and operators
	innerAddr string // address for calls between nodes
	cmd       *exec.Cmd
	stdin     io.WriteCloser
	exited    chan struct{}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// cluster is the system under test: all its processes, workers and the platform on loopback addresses.
type cluster struct {
	dir, netPrefix string // folder for the nodes' files; first two bytes of all addresses
	mode           string // shedding mode, or modeCopies
	ledger         *standin.ExecutionLog
	workers        []*standin.Worker
	platform       *http.Server
	proxies        []*process
	controlNodes   []*process
	storeNodes     []*process
	mu             sync.Mutex
	levelLog       []logLine
	processes      []*process
	lastCopies     [proxyCount]api.MirrorStatusResponse // each proxy's last answer about its copies
}

// ip returns the address of the n-th host of a part: 1 proxies, 2 core machines, 3 workers, 4 the
// platform, 5 the shadow service.
func (c *cluster) ip(part, n int) string { return fmt.Sprintf("%s.%d.%d", c.netPrefix, part, n+1) }

// start starts the cluster, puts its configuration in force, and waits until it is ready.
func (c *cluster) start(ctx context.Context) error {
	if err := c.startWorkers(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(c.ip(4, 0), fmt.Sprint(publicPort)))
	if err != nil {
		return err
	}
	c.platform = &http.Server{Handler: http.HandlerFunc(c.serveRoster)}
	go func() { _ = c.platform.Serve(listener) }()
	for i := range coreCount {
		for _, program := range []string{"cairn", "bothy"} {
			node, err := c.spawn(program, 2, i)
			if err != nil {
				return err
			}
			if program == "bothy" {
				c.controlNodes = append(c.controlNodes, node)
			} else {
				c.storeNodes = append(c.storeNodes, node)
			}
		}
	}
	for i := range proxyCount {
		node, err := c.spawn("switchback", 1, i)
		if err != nil {
			return err
		}
		c.proxies = append(c.proxies, node)
	}
	if err := c.configure(ctx); err != nil {
		return err
	}
	return c.waitReady(ctx)
}

// spawn writes the settings file of a node and starts the node as a child of this program.
func (c *cluster) spawn(program string, part, n int) (*process, error) {
	ip := c.ip(part, n)
	zone := []string{"a", "b"}[n%2]
	var seedAddrs []string
	for i := range coreCount {
		seedAddrs = append(seedAddrs, fmt.Sprintf("%q", net.JoinHostPort(c.ip(2, i), fmt.Sprint(publicPort))))
	}
	archive := filepath.Join(c.dir, fmt.Sprintf("%s-%d", program, n))
	if err := os.MkdirAll(archive, 0o755); err != nil {
		return nil, err
	}
	innerPort, listenSettings := innerBasePort, fmt.Sprintf("counter = %q", net.JoinHostPort(ip, fmt.Sprint(publicPort)))
	switch program {
	case "bothy":
		listenSettings = fmt.Sprintf("controlDesk = %q\ndirectoryDesk = %q", net.JoinHostPort(ip, fmt.Sprint(publicPort)), net.JoinHostPort(ip, fmt.Sprint(publicPort)))
	case "cairn":
		innerPort, listenSettings = innerBasePort+1, ""
	}
	settings := fmt.Sprintf("station = \"%s-%d\"\nrole = %q\nip = %q\nzone = %q\nregion = \"r\"\ninnerDocks = [%d,%d]\nfirstStations = [%s]\nfirstRun = true\narchiveDir = %q\n"+
		"[zones]\na = \"r\"\nb = \"r\"\n[gates]\n%s\n[sizeLimits]\ncpuShare = 1.0\nmemoryMb = 400\nhandles = 4000\n[carrierApi]\naddress = %q\nratePerS = 50.0\n",
		program, n, program, ip, zone, innerBasePort, innerBasePort+9, strings.Join(seedAddrs, ","), archive, listenSettings, net.JoinHostPort(c.ip(4, 0), fmt.Sprint(publicPort)))
	settingsFile := archive + ".toml"
	if err := os.WriteFile(settingsFile, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	node := &process{name: fmt.Sprintf("%s-%d", program, n), addr: net.JoinHostPort(ip, fmt.Sprint(publicPort)),
		innerAddr: net.JoinHostPort(ip, fmt.Sprint(innerPort)), exited: make(chan struct{})}
	node.cmd = exec.Command(executable, "child", program, c.mode)
	node.cmd.Env = append(os.Environ(), "FOXWOOD_BOOT="+settingsFile)
	if node.stdin, err = node.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stderr, err := node.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := node.cmd.Start(); err != nil {
		return nil, err
	}
	go c.collectLevelLog(node, stderr)
	c.processes = append(c.processes, node)
	return node, nil
}

// collectLevelLog collects the log lines that report a change of the shedding level, until the process ends.
func (c *cluster) collectLevelLog(node *process, stderr io.Reader) {
	scanner := bufio.NewScanner(stderr)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		readAt := time.Now()
		if os.Getenv("WHITEOUT_LOGS") != "" {
			fmt.Fprintln(os.Stderr, readAt.Format("05.000"), node.name, scanner.Text())
		}
		if !bytes.Contains(scanner.Bytes(), []byte("shedding level")) {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(scanner.Bytes(), &fields) == nil {
			c.mu.Lock()
			c.levelLog = append(c.levelLog, logLine{readAt: readAt, program: strings.Split(node.name, "-")[0], node: node.name, fields: fields})
			c.mu.Unlock()
		}
	}
	_ = node.cmd.Wait()
	close(node.exited)
}

// serveRoster answers as the platform does: with the list of workers.
func (c *cluster) serveRoster(w http.ResponseWriter, _ *http.Request) {
	rows := [][]any{}
	for _, worker := range c.workers {
		rows = append(rows, worker.ListRow())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"nextToken": nil, "roster": map[string]any{
		"columns": standin.ListColumns(), "rows": rows}})
}

// configure submits the configuration: routes, destinations, tenants and size limits.
func (c *cluster) configure(ctx context.Context) error {
	var routeRows, destinationRows, tenantRows [][]any
	for _, s := range services {
		kind := "unsafe"
		if s.safe {
			kind = "safe"
		}
		routeRows = append(routeRows, []any{"route-" + s.name, "hut.example", "/" + s.name + "/", kind, requestDeadline.Seconds(), s.latencyTarget.Seconds(), s.priority, s.name, 2})
		destinationRows = append(destinationRows, []any{s.name, "/health", 130})
	}
	for _, t := range tenants {
		tenantRows = append(tenantRows, []any{t.name, []string{t.key}, t.tier})
	}
	body, err := json.Marshal(map[string]any{"edition": "00000001",
		"courses":      map[string]any{"columns": []string{"name", "domain", "streetPrefix", "kind", "deadlineS", "targetS", "priority", "destination", "tries"}, "rows": routeRows},
		"destinations": map[string]any{"columns": []string{"name", "healthPath", "berthCap"}, "rows": destinationRows},
		"senders":      map[string]any{"columns": []string{"name", "passes", "priority"}, "rows": tenantRows},
		"sizeLimits":   map[string]any{"envelopeBytes": 16384, "bodyBytes": 1 << 20, "envelopeS": 3, "idleS": 30}})
	if err != nil {
		return err
	}
	return c.callControl(ctx, http.MethodPut, "/timetable", body)
}

// callControl makes an operator's call to one registry after another until one accepts it, for at
// most 40 s. A status below 500 other than OK ends it with an error.
func (c *cluster) callControl(ctx context.Context, method, path string, body []byte) error {
	giveUpAt := time.Now().Add(40 * time.Second)
	lastFailure := ""
	for n := 0; time.Now().Before(giveUpAt) && ctx.Err() == nil; n++ {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+c.controlNodes[n%coreCount].addr+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		res, err := (&http.Client{Timeout: 2 * time.Second}).Do(req)
		if err != nil {
			lastFailure = err.Error()
		} else {
			answer, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
			lastFailure = fmt.Sprintf("%d %s", res.StatusCode, answer)
			if res.StatusCode < 500 {
				return fmt.Errorf("%s %s: expected status 200, got %d: %s", method, path, res.StatusCode, answer)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s %s not accepted within 40 s, last failure: %s", method, path, lastFailure)
}

// waitReady waits until all proxies serve and, where one level holds for all of them, a registry holds
// the duty that sets it.
func (c *cluster) waitReady(ctx context.Context) error {
	giveUpAt := time.Now().Add(30 * time.Second)
	for time.Now().Before(giveUpAt) && ctx.Err() == nil {
		readyProxies := 0
		for _, proxy := range c.proxies {
			if status, err := queryStatus(proxy.innerAddr); err == nil && strings.Contains(status, "ready true") && strings.Contains(status, fmt.Sprintf("of %d members", proxyCount)) {
				readyProxies++
			}
		}
		if readyProxies == proxyCount && (c.mode != "alike" && c.mode != "whole" || c.levelHolder() >= 0) {
			time.Sleep(2 * time.Second) // until the first level has been computed
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("cluster not ready within 30 s: expected %d ready proxies and a holder of the level duty", proxyCount)
}

// queryStatus returns the status lines of the node at an address for calls between nodes.
func queryStatus(addr string) (string, error) {
	peer := rpc.NewPeer(addr)
	defer peer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := rpc.Call[api.StatusRequest, api.StatusResponse](ctx, peer, api.StatusRequest{})
	return strings.Join(status.Lines, "\n"), err
}

// levelHolder returns the index of the registry that holds the level duty, or -1 if none does.
func (c *cluster) levelHolder() int {
	for i, control := range c.controlNodes {
		if status, err := queryStatus(control.innerAddr); err == nil && strings.Contains(status, "duty level held by "+control.innerAddr) {
			return i
		}
	}
	return -1
}

// stop kills the child processes, waits for them, and stops the workers and the platform.
func (c *cluster) stop() {
	for _, node := range c.processes {
		_ = node.cmd.Process.Kill()
	}
	for _, node := range c.processes {
		<-node.exited
	}
	for _, worker := range c.workers {
		worker.Stop()
	}
	if c.platform != nil {
		_ = c.platform.Close()
	}
}

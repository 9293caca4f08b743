package service

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"foxwood/internal/gateway/handover"
)

// TestMain runs the test binary as a gatekeeper if FOXWOOD_TEST_RUN names a configuration file.
// The handover tests start such processes.
func TestMain(m *testing.M) {
	if file := os.Getenv("FOXWOOD_TEST_RUN"); file != "" {
		if err := Run(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// deployment is a listen address with the files and workers that its processes share.
type deployment struct {
	t          *testing.T
	listen     string
	tempDir    string
	configFile string
	workers    []string
}

// process is a gatekeeper process of a deployment.
type process struct {
	*exec.Cmd
	t       *testing.T
	control string
	log     *bytes.Buffer
	exited  chan error
}

// unusedAddress returns an address that nobody listens at.
func unusedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func newDeployment(t *testing.T, settingsJSON string, workers ...string) *deployment {
	t.Helper()
	tempDir, err := os.MkdirTemp("", "fw") // t.TempDir is too long for the address of a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(tempDir) })
	s := &deployment{t: t, listen: unusedAddress(t), tempDir: tempDir, configFile: filepath.Join(tempDir, "config.json"), workers: workers}
	s.writeConfig(settingsJSON)
	return s
}

func (s *deployment) writeConfig(settingsJSON string) {
	s.t.Helper()
	var members []string
	for i, w := range s.workers {
		members = append(members, workerEntry(i, w))
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1f","limits":{"memory_mb":64,"sockets":400},
		"known":{"generation":7,"reset":true,"instances":[%s]},"settings":%s}`, s.listen, strings.Join(members, ","), settingsJSON)
	if err := os.WriteFile(s.configFile, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// startProcess starts a process of the deployment, and if waitServing is set waits until it
// serves.
func (s *deployment) startProcess(waitServing bool) *process {
	s.t.Helper()
	proc := &process{t: s.t, control: unusedAddress(s.t), log: &bytes.Buffer{}, exited: make(chan error, 1)}
	proc.Cmd = exec.Command(os.Args[0])
	proc.Env = append(os.Environ(), "FOXWOOD_TEST_RUN="+s.configFile, "EDGE_CONTROL="+proc.control, "TMPDIR="+s.tempDir)
	proc.Stderr = proc.log
	if err := proc.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() { proc.exited <- proc.Wait() }()
	s.t.Cleanup(func() { _ = proc.Process.Kill() })
	if waitServing {
		proc.waitServing()
	}
	return proc
}

// waitServing waits until the process reports that it serves.
func (p *process) waitServing() {
	p.t.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if p.healthStatus() == 200 {
			return
		}
	}
	p.t.Fatalf("the process did not serve within %v", testTimeout)
}

// healthStatus returns the status of the health check, or 0 if it can't be reached.
func (p *process) healthStatus() int {
	httpClient := http.Client{Timeout: time.Second}
	res, err := httpClient.Get("http://" + p.control + "/admin/health")
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// cpuTime returns the CPU time that the process has used so far.
func (p *process) cpuTime() time.Duration {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	const tick = 10 * time.Millisecond
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])) // the fields after the command name, beginning with the state
	ticks := 0
	for _, field := range fields[11:13] { // user time and system time
		n, err := strconv.Atoi(field)
		if err != nil {
			p.t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * tick
}

func (p *process) signal(s syscall.Signal) { _ = p.Process.Signal(s) }

// stop sends SIGTERM to the process, and waits for it to exit.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.waitExit()
}

// waitExit waits for the process to exit without an error.
func (p *process) waitExit() {
	p.t.Helper()
	if err := receive(p.t, p.exited); err != nil {
		p.t.Fatalf("the process ended with %v\n%s", err, p.log)
	}
}

// traffic sends requests until it is stopped. Half of its clients use a new connection for each
// request; the others keep theirs for as long as the gatekeeper does.
type traffic struct {
	served, resent, keptAlive atomic.Int64
	stop                      chan bool
	clients                   sync.WaitGroup
	mu                        sync.Mutex
	failures                  []string
}

func (s *deployment) startTraffic() *traffic {
	load := &traffic{stop: make(chan bool)}
	recordFailure := func(format string, a ...any) {
		load.mu.Lock()
		defer load.mu.Unlock()
		load.failures = append(load.failures, fmt.Sprintf(format, a...))
	}
	sendRequest := func(conn net.Conn, reader *bufio.Reader) (closing bool, err error) {
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		if _, err := io.WriteString(conn, cuotaRequest("mayor", 1900)); err != nil {
			return true, err
		}
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return true, err
		}
		_, err = io.Copy(io.Discard, res.Body)
		if err == nil && res.StatusCode != 200 {
			recordFailure("status %d", res.StatusCode)
		}
		load.served.Add(1)
		return res.Close, err
	}
	loop := func(keep bool) {
		defer load.clients.Done()
		var conn net.Conn
		var reader *bufio.Reader
		for {
			select {
			case <-load.stop:
				return
			case <-time.After(3 * time.Millisecond):
			}
			newConnection := conn == nil
			if newConnection {
				var err error
				if conn, err = net.Dial("tcp", s.listen); err != nil {
					recordFailure("refused: %v", err)
					continue
				}
				reader = bufio.NewReader(conn)
			} else {
				load.keptAlive.Add(1)
			}
			closing, err := sendRequest(conn, reader)
			switch {
			case err != nil && newConnection:
				recordFailure("on a new connection: %v", err)
			case err != nil: // the connection was closed between two requests: the request is sent again
				load.resent.Add(1)
			}
			if closing || err != nil || !keep {
				conn.Close()
				conn = nil
			}
		}
	}
	for i := range 8 {
		load.clients.Add(1)
		go loop(i%2 == 0)
	}
	return load
}

// stopAndCheck stops the traffic. No new connection may have been refused, reset or closed
// without a response, and at most 2 requests may have met a kept connection that was closed.
func (t *traffic) stopAndCheck(test *testing.T, minServed int64) {
	test.Helper()
	close(t.stop)
	t.clients.Wait()
	for _, failure := range t.failures {
		test.Error(failure)
	}
	if t.resent.Load() > 2 {
		test.Errorf("%d requests met a closed connection, want at most 2", t.resent.Load())
	}
	if t.served.Load() < minServed {
		test.Errorf("%d requests served, want at least %d", t.served.Load(), minServed)
	}
}

// waitServed waits until n more requests have been served.
func (t *traffic) waitServed(test *testing.T, n int64) {
	test.Helper()
	for from, until := t.served.Load(), time.Now().Add(testTimeout); t.served.Load() < from+n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			test.Fatalf("fewer than %d requests were served within %v", n, testTimeout)
		}
	}
}

// newDeploymentWithWorkers creates a deployment with two workers that serve every request, and
// with a quota that the traffic doesn't exhaust.
func newDeploymentWithWorkers(t *testing.T, settingsJSON string) *deployment {
	var addrs []string
	for range 2 {
		addrs = append(addrs, listen(t, func(c net.Conn) {
			for r := bufio.NewReader(c); ; {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if _, err := io.WriteString(c, okResponse); err != nil {
					return
				}
			}
		}))
	}
	return newDeployment(t, strings.Replace(settingsJSON, `"refill":500,"burst":500`, `"refill":50000,"burst":50000`, 1), addrs...)
}

// waitUntil waits until a condition holds. The test fails with the message failure if it doesn't
// within testTimeout.
func waitUntil(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(failure)
		}
	}
}

// TestConsecutiveHandoversLoseNoRequest hands over twice under load, with SIGHUP to both
// processes meanwhile.
func TestConsecutiveHandoversLoseNoRequest(t *testing.T) {
	site := newDeploymentWithWorkers(t, settingsText)
	current := site.startProcess(true)
	load := site.startTraffic()
	load.waitServed(t, 50)
	for range 2 {
		successor := site.startProcess(false)
		current.signal(syscall.SIGHUP)
		successor.waitServing()
		successor.signal(syscall.SIGHUP)
		if current.healthStatus() == 200 {
			t.Error("the old process still reports that it accepts clients")
		}
		load.waitServed(t, 50)
		current.stop()
		load.waitServed(t, 50)
		current = successor
	}
	load.stopAndCheck(t, 200)
	if load.keptAlive.Load() == 0 {
		t.Error("no connection was used for a second request")
	}
	current.stop()
}

// TestSIGTERMBeforeSuccessorServes stops the old process before the successor serves. All
// accepted requests must be answered, and no connection may be refused.
func TestSIGTERMBeforeSuccessorServes(t *testing.T) {
	site := newDeploymentWithWorkers(t, settingsText)
	current := site.startProcess(true)
	load := site.startTraffic()
	load.waitServed(t, 20)
	successor := site.startProcess(false)
	waitUntil(t, "the successor's admin server does not answer", func() bool { return successor.healthStatus() != 0 })
	current.signal(syscall.SIGTERM)
	successor.waitServing()
	current.waitExit()
	load.waitServed(t, 20)
	load.stopAndCheck(t, 40)
	successor.stop()
}

// TestStoppingProcessEndsThoughSuccessorDies checks that a process that was told to stop doesn't
// accept clients again when its successor is killed.
func TestStoppingProcessEndsThoughSuccessorDies(t *testing.T) {
	site := newDeploymentWithWorkers(t, settingsText)
	current := site.startProcess(true)
	for range 5 { // idle connections, which the process must close
		conn, err := net.Dial("tcp", site.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	load := site.startTraffic()
	load.waitServed(t, 20)
	successor := site.startProcess(true)
	current.signal(syscall.SIGTERM)
	waitUntil(t, "the old process still reports that it serves", func() bool { return current.healthStatus() != 200 })
	successor.signal(syscall.SIGKILL)
	<-successor.exited
	current.waitExit()
	close(load.stop)
	load.clients.Wait()
}

// TestInvalidConfigurationKeepsPredecessor checks that with an invalid file neither a reload nor
// a new process takes effect: the running process continues with the old configuration.
func TestInvalidConfigurationKeepsPredecessor(t *testing.T) {
	site := newDeploymentWithWorkers(t, settingsText)
	current := site.startProcess(true)
	load := site.startTraffic()
	load.waitServed(t, 20)
	site.writeConfig(strings.Replace(settingsText, `"deadline-us":2000000`, `"deadline-us":0`, 1))
	current.signal(syscall.SIGHUP)
	current.waitStat("config_reload_errors", "1|c")
	successor := site.startProcess(false)
	if err := receive(t, successor.exited); err == nil {
		t.Error("a process started with an invalid configuration")
	}
	load.waitServed(t, 20)
	if current.healthStatus() != 200 {
		t.Error("the old process no longer serves")
	}
	load.stopAndCheck(t, 40)
	current.stop()
}

// stat returns a value from the process's /admin/stats, or "" if it is missing.
func (p *process) stat(name string) string {
	p.t.Helper()
	httpClient := http.Client{Timeout: time.Second}
	res, err := httpClient.Get("http://" + p.control + "/admin/stats")
	if err != nil {
		p.t.Fatal(err)
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "edge."+name+":"); ok {
			return strings.TrimSuffix(value, "\n")
		}
	}
	return ""
}

// waitStat waits until a value in /admin/stats is as wanted.
func (p *process) waitStat(name, want string) {
	p.t.Helper()
	for until := time.Now().Add(testTimeout); p.stat(name) != want; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			p.t.Fatalf("%s is %q, want %q", name, p.stat(name), want)
		}
	}
}

// TestInvalidReloadsAreRejectedUnderLoad reloads files with faults of several kinds. Each must be
// rejected as a whole and logged, and a valid file must be applied after them.
func TestInvalidReloadsAreRejectedUnderLoad(t *testing.T) {
	site := newDeploymentWithWorkers(t, settingsText)
	proc := site.startProcess(true)
	load := site.startTraffic()
	load.waitServed(t, 20)
	good, err := os.ReadFile(site.configFile)
	if err != nil {
		t.Fatal(err)
	}
	text := string(good)
	broken := []string{
		"", text[:len(text)/2], text[:len(text)-1],
		strings.Replace(text, `"classes"`, `"klasses"`, 1),
		strings.Replace(text, `"settings"`, `"setting"`, 1),
		strings.Replace(text, `"repeat":"idempotent"`, `"again":"idempotent"`, 1),
		strings.Replace(text, `"deadline-us":2000000`, `"deadline-us":0`, 1),
		strings.Replace(text, `"deadline-us":2000000`, `"deadline-us":-5`, 1),
		strings.Replace(text, `"max-attempts":3`, `"max-attempts":0`, 1),
	}
	for i, b := range broken {
		if err := os.WriteFile(site.configFile, []byte(b), 0o600); err != nil {
			t.Fatal(err)
		}
		proc.signal(syscall.SIGHUP)
		proc.waitStat("config_reload_errors", fmt.Sprintf("%d|c", i+1))
	}
	other := strings.Replace(text, `{"name":"cuota"`, `{"name":"prueba","objective-us":400000,"deadline-us":900000,"worth":1,"repeat":"at_most_once"},{"name":"cuota"`, 1)
	if err := os.WriteFile(site.configFile, []byte(other), 0o600); err != nil {
		t.Fatal(err)
	}
	proc.signal(syscall.SIGHUP)
	proc.waitStat("config_reloads", "1|c")
	proc.waitStat("completed.prueba", "0|c")
	load.waitServed(t, 20)
	load.stopAndCheck(t, 40)
	proc.stop()
	if n := strings.Count(proc.log.String(), "configuration not replaced"); n != len(broken) {
		t.Errorf("%d log lines for %d invalid files", n, len(broken))
	}
}

// TestProcessKilledDuringHandover kills the successor at several steps of the handover, and then
// a process that serves alone. The remaining or next process must serve.
func TestProcessKilledDuringHandover(t *testing.T) {
	site := newDeploymentWithWorkers(t, settingsText)
	current := site.startProcess(true)
	load := site.startTraffic()
	load.waitServed(t, 20)
	for wait := time.Duration(0); wait < 240*time.Millisecond; wait += 40 * time.Millisecond {
		successor := site.startProcess(false) // killed before it serves, or just after
		time.Sleep(wait)
		successor.signal(syscall.SIGKILL)
		<-successor.exited
		load.waitServed(t, 20)
	}
	successor := site.startProcess(true) // killed after it has taken over
	successor.signal(syscall.SIGKILL)
	<-successor.exited
	load.waitServed(t, 20)
	if current.healthStatus() != 200 {
		t.Error("the old process does not report that it serves again")
	}
	successor = site.startProcess(true) // this handover succeeds
	load.waitServed(t, 20)
	current.stop()
	load.waitServed(t, 20)
	close(load.stop)
	load.clients.Wait()

	successor.signal(syscall.SIGKILL) // leaves a stale handover socket
	<-successor.exited
	last := site.startProcess(true)
	secondLoad := site.startTraffic()
	secondLoad.waitServed(t, 50)
	secondLoad.stopAndCheck(t, 50)
	last.stop()
}

// TestPredecessorKilledBeforeSuccessorServes checks that the successor accepts clients, with the
// state and the listener that it received, if the predecessor dies first.
func TestPredecessorKilledBeforeSuccessorServes(t *testing.T) {
	site := newDeployment(t, settingsText) // without workers a new process doesn't become ready
	current := site.startProcess(false)
	waitUntil(t, "the old process's admin server does not answer 503", func() bool { return current.healthStatus() == 503 })
	for until := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if _, err := os.Stat(handover.SocketPath(site.tempDir, site.listen)); err == nil {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the handover socket was not created")
		}
	}
	successor := site.startProcess(false)
	waitUntil(t, "the successor's admin server does not answer 503", func() bool { return successor.healthStatus() == 503 })
	current.signal(syscall.SIGKILL)
	<-current.exited
	for until := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", site.listen)
		if err == nil {
			defer conn.Close()
			break
		}
		if time.Now().After(until) {
			t.Fatal("no process accepts clients")
		}
	}
	successor.stop()
}

// TestRateCeilingHoldsAcrossHandover checks that both processes together keep to the rate
// ceiling: what the old process draws for requests on its remaining connections must also be
// subtracted from the successor's bucket.
func TestRateCeilingHoldsAcrossHandover(t *testing.T) {
	const rate, units = 10.0, 2
	site := newDeploymentWithWorkers(t, strings.Replace(settingsText, `"name":"mayor","refill":500,"burst":500,"pays":1`,
		`"name":"mayor","refill":500,"burst":500,"pays":1,"ceiling-rate":10,"hard-burst":120,"cap-slack":6`, 1))
	current := site.startProcess(true)
	began := time.Now()
	time.Sleep(time.Second) // the bucket of the ceiling starts empty
	var kept []net.Conn
	for range 30 {
		conn, err := net.Dial("tcp", site.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n")
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			t.Fatal(err)
		}
		kept = append(kept, conn)
	}
	time.Sleep(500 * time.Millisecond) // the bucket has 15 units by now
	successor := site.startProcess(true)
	drew := 0
	ask := func(c net.Conn) {
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		if _, err := io.WriteString(c, cuotaRequest("mayor", 1900)); err != nil {
			return
		}
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && res.StatusCode == 200 {
			drew += units
		}
	}
	for _, c := range kept {
		ask(c)
	}
	if drew == 0 {
		t.Fatal("the old process served nothing on its remaining connections")
	}
	for range 40 {
		if c, err := net.Dial("tcp", site.listen); err == nil {
			ask(c)
			c.Close()
		}
	}
	if maxUnits := rate*time.Since(began).Seconds() + units; float64(drew) > maxUnits {
		t.Errorf("%d units were served, want at most %.1f", drew, maxUnits)
	}
	for _, p := range []*process{current, successor} {
		p.signal(syscall.SIGTERM)
	}
	current.waitExit()
	successor.waitExit()
}

// TestFaultyHandoverPeerMeansNormalStart checks that a peer at the handover socket that is
// silent, sends garbage or closes the connection doesn't keep a new process from serving in time.
func TestFaultyHandoverPeerMeansNormalStart(t *testing.T) {
	for name, serve := range map[string]func(net.Conn){
		"silent":  func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
		"noise":   func(c net.Conn) { _, _ = io.WriteString(c, strings.Repeat("noise", 100)) },
		"closing": func(net.Conn) {},
		"endless": func(c net.Conn) {
			_, _ = c.Write(append([]byte{1, 0, 0, 0}, make([]byte, 1<<16)...))
			_, _ = io.Copy(io.Discard, c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			site := newDeploymentWithWorkers(t, settingsText)
			ln, err := net.Listen("unix", handover.SocketPath(site.tempDir, site.listen))
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go func() { defer conn.Close(); serve(conn) }()
				}
			}()
			proc := site.startProcess(true)
			load := site.startTraffic()
			load.waitServed(t, 10)
			load.stopAndCheck(t, 10)
			proc.stop()
		})
	}
}

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

	"foxwood/internal/handover"
)

// TestMain lets the test's program be a gatekeeper: the tests here are of processes.
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

// site is a clients' address with all that its processes share.
type site struct {
	t       *testing.T
	listen  string
	tmp     string
	config  string
	workers []string
}

// process is one gatekeeper process of a site.
type process struct {
	*exec.Cmd
	t       *testing.T
	control string
	log     *bytes.Buffer
	ended   chan error
}

// free is an address that nobody listens at.
func free(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func newSite(t *testing.T, set string, workers ...string) *site {
	t.Helper()
	tmp, err := os.MkdirTemp("", "fw") // short: a Unix socket's address is
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(tmp) })
	s := &site{t: t, listen: free(t), tmp: tmp, config: filepath.Join(tmp, "config.json"), workers: workers}
	s.write(set)
	return s
}

func (s *site) write(set string) {
	s.t.Helper()
	var members []string
	for i, w := range s.workers {
		members = append(members, member(i, w))
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1f","limits":{"memory_mb":64,"sockets":400},
		"known":{"generation":7,"reset":true,"instances":[%s]},"settings":%s}`, s.listen, strings.Join(members, ","), set)
	if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// run starts a process of the site, and waits for it to say yes where it is to.
func (s *site) run(yes bool) *process {
	s.t.Helper()
	p := &process{t: s.t, control: free(s.t), log: &bytes.Buffer{}, ended: make(chan error, 1)}
	p.Cmd = exec.Command(os.Args[0])
	p.Env = append(os.Environ(), "FOXWOOD_TEST_RUN="+s.config, "EDGE_CONTROL="+p.control, "TMPDIR="+s.tmp)
	p.Stderr = p.log
	if err := p.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	s.t.Cleanup(func() { _ = p.Process.Kill() })
	if yes {
		p.yes()
	}
	return p
}

// yes waits until the process says that it serves.
func (p *process) yes() {
	p.t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if p.says() == 200 {
			return
		}
	}
	p.t.Fatal("the process did not say yes in time")
}

func (p *process) says() int {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + p.control + "/admin/health")
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// used is the processor time that the process has used so far.
func (p *process) used() time.Duration {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	const tick = 10 * time.Millisecond
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])) // from the state on
	ticks := 0
	for _, field := range fields[11:13] { // in its own code, and in the system
		n, err := strconv.Atoi(field)
		if err != nil {
			p.t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * tick
}

func (p *process) signal(s syscall.Signal) { _ = p.Process.Signal(s) }

// stop has the process drain, and waits for it to end by itself.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.exit()
}

// exit waits for the process to end by itself.
func (p *process) exit() {
	p.t.Helper()
	if err := next(p.t, p.ended); err != nil {
		p.t.Fatalf("the process ended with %v\n%s", err, p.log)
	}
}

// traffic asks on and on until it is stopped: on new connections, and on one that is kept
// for as long as the gatekeeper keeps it.
type traffic struct {
	served, resent, kept atomic.Int64
	stop                 chan bool
	all                  sync.WaitGroup
	mu                   sync.Mutex
	wrong                []string
}

func (s *site) traffic() *traffic {
	t := &traffic{stop: make(chan bool)}
	fault := func(format string, a ...any) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.wrong = append(t.wrong, fmt.Sprintf(format, a...))
	}
	ask := func(c net.Conn, r *bufio.Reader) (ends bool, err error) {
		_ = c.SetDeadline(time.Now().Add(patience))
		if _, err := io.WriteString(c, cuota("mayor", 1900)); err != nil {
			return true, err
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return true, err
		}
		_, err = io.Copy(io.Discard, res.Body)
		if err == nil && res.StatusCode != 200 {
			fault("status %d", res.StatusCode)
		}
		t.served.Add(1)
		return res.Close, err
	}
	loop := func(keep bool) {
		defer t.all.Done()
		var c net.Conn
		var r *bufio.Reader
		for {
			select {
			case <-t.stop:
				return
			case <-time.After(3 * time.Millisecond):
			}
			fresh := c == nil
			if fresh {
				var err error
				if c, err = net.Dial("tcp", s.listen); err != nil {
					fault("refused: %v", err)
					continue
				}
				r = bufio.NewReader(c)
			} else {
				t.kept.Add(1)
			}
			ends, err := ask(c, r)
			switch {
			case err != nil && fresh:
				fault("on a new connection: %v", err)
			case err != nil: // closed between two requests: it is sent again
				t.resent.Add(1)
			}
			if ends || err != nil || !keep {
				c.Close()
				c = nil
			}
		}
	}
	for i := range 8 {
		t.all.Add(1)
		go loop(i%2 == 0)
	}
	return t
}

// end stops the traffic. Not one request may have met a refused, reset or unread new
// connection, and few a kept one that was closed under them.
func (t *traffic) end(tt *testing.T, least int64) {
	tt.Helper()
	close(t.stop)
	t.all.Wait()
	for _, w := range t.wrong {
		tt.Error(w)
	}
	if t.resent.Load() > 2 {
		tt.Errorf("%d requests met a closed connection", t.resent.Load())
	}
	if t.served.Load() < least {
		tt.Errorf("%d requests served", t.served.Load())
	}
}

// more waits until so many more requests have been served.
func (t *traffic) more(tt *testing.T, n int64) {
	tt.Helper()
	for from, until := t.served.Load(), time.Now().Add(patience); t.served.Load() < from+n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			tt.Fatal("nobody serves")
		}
	}
}

// easy has stand-in workers that serve everything.
func easy(t *testing.T, set string) *site {
	var addrs []string
	for range 2 {
		addrs = append(addrs, listen(t, func(c net.Conn) {
			for r := bufio.NewReader(c); ; {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if _, err := io.WriteString(c, served); err != nil {
					return
				}
			}
		}))
	}
	return newSite(t, strings.Replace(set, `"refill":500,"burst":500`, `"refill":50000,"burst":50000`, 1), addrs...)
}

// becomes waits until something holds that must come to hold, and says what is amiss where it
// does not.
func becomes(t *testing.T, amiss string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(amiss)
		}
	}
}

// TestTwoReplacementsInARowLoseNothing, under load, with SIGHUP to both meanwhile.
func TestTwoReplacementsInARowLoseNothing(t *testing.T) {
	s := easy(t, settingsText)
	now := s.run(true)
	load := s.traffic()
	load.more(t, 50)
	for range 2 {
		heir := s.run(false)
		now.signal(syscall.SIGHUP)
		heir.yes()
		heir.signal(syscall.SIGHUP)
		if now.says() == 200 {
			t.Error("the old process still says that it takes clients")
		}
		load.more(t, 50)
		now.stop()
		load.more(t, 50)
		now = heir
	}
	load.end(t, 200)
	if load.kept.Load() == 0 {
		t.Error("no connection was kept")
	}
	now.stop()
}

// TestTheOldOneMayBeToldToEndBeforeTheNewOneServes: what it took is answered, and nobody
// meets a closed door.
func TestTheOldOneMayBeToldToEndBeforeTheNewOneServes(t *testing.T) {
	s := easy(t, settingsText)
	now := s.run(true)
	load := s.traffic()
	load.more(t, 20)
	heir := s.run(false)
	becomes(t, "no door", func() bool { return heir.says() != 0 })
	now.signal(syscall.SIGTERM)
	heir.yes()
	now.exit()
	load.more(t, 20)
	load.end(t, 40)
	heir.stop()
}

// TestOneToldToEndEndsThoughTheNewOneDies: it does not begin to serve again.
func TestOneToldToEndEndsThoughTheNewOneDies(t *testing.T) {
	s := easy(t, settingsText)
	now := s.run(true)
	for range 5 { // that stay open if they may
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	load := s.traffic()
	load.more(t, 20)
	heir := s.run(true)
	now.signal(syscall.SIGTERM)
	becomes(t, "the old process says that it serves", func() bool { return now.says() != 200 })
	heir.signal(syscall.SIGKILL)
	<-heir.ended
	now.exit()
	close(load.stop)
	load.all.Wait()
}

// TestAFileThatIsTurnedDownReplacesNobody: the process in service goes on by the old one.
func TestAFileThatIsTurnedDownReplacesNobody(t *testing.T) {
	s := easy(t, settingsText)
	now := s.run(true)
	load := s.traffic()
	load.more(t, 20)
	s.write(strings.Replace(settingsText, `"deadline-us":2000000`, `"deadline-us":0`, 1))
	now.signal(syscall.SIGHUP)
	now.becomes("config_reload_errors", "1|c")
	heir := s.run(false)
	if err := next(t, heir.ended); err == nil {
		t.Error("a process has served by a faulty file")
	}
	load.more(t, 20)
	if now.says() != 200 {
		t.Error("the old process does not serve")
	}
	load.end(t, 40)
	now.stop()
}

// figure is what the process's door tells under a name.
func (p *process) figure(name string) string {
	p.t.Helper()
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + p.control + "/admin/stats")
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

// becomes waits until a figure is as it should be.
func (p *process) becomes(name, want string) {
	p.t.Helper()
	for until := time.Now().Add(patience); p.figure(name) != want; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			p.t.Fatalf("%s is %q, want %q", name, p.figure(name), want)
		}
	}
}

// TestBrokenFilesAreTurnedDownUnderLoad, each kind of them, whole, with a line that says why;
// a good one is taken after them.
func TestBrokenFilesAreTurnedDownUnderLoad(t *testing.T) {
	s := easy(t, settingsText)
	p := s.run(true)
	load := s.traffic()
	load.more(t, 20)
	good, err := os.ReadFile(s.config)
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
		if err := os.WriteFile(s.config, []byte(b), 0o600); err != nil {
			t.Fatal(err)
		}
		p.signal(syscall.SIGHUP)
		p.becomes("config_reload_errors", fmt.Sprintf("%d|c", i+1))
	}
	other := strings.Replace(text, `{"name":"cuota"`, `{"name":"prueba","objective-us":400000,"deadline-us":900000,"worth":1,"repeat":"at_most_once"},{"name":"cuota"`, 1)
	if err := os.WriteFile(s.config, []byte(other), 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	p.becomes("config_reloads", "1|c")
	p.becomes("completed.prueba", "0|c")
	load.more(t, 20)
	load.end(t, 40)
	p.stop()
	if n := strings.Count(p.log.String(), "configuration not replaced"); n != len(broken) {
		t.Errorf("%d lines for %d files", n, len(broken))
	}
}

// TestEitherMayDieAtAnyStep: what is left serves.
func TestEitherMayDieAtAnyStep(t *testing.T) {
	s := easy(t, settingsText)
	now := s.run(true)
	load := s.traffic()
	load.more(t, 20)
	for wait := time.Duration(0); wait < 240*time.Millisecond; wait += 40 * time.Millisecond {
		heir := s.run(false) // dies before it serves, or just after
		time.Sleep(wait)
		heir.signal(syscall.SIGKILL)
		<-heir.ended
		load.more(t, 20)
	}
	heir := s.run(true) // dies when it has taken over
	heir.signal(syscall.SIGKILL)
	<-heir.ended
	load.more(t, 20)
	if now.says() != 200 {
		t.Error("the old process does not say that it serves again")
	}
	heir = s.run(true) // and once more all goes well
	load.more(t, 20)
	now.stop()
	load.more(t, 20)
	close(load.stop)
	load.all.Wait()

	heir.signal(syscall.SIGKILL) // killed in service: its socket is stale
	<-heir.ended
	last := s.run(true)
	after := s.traffic()
	after.more(t, 50)
	after.end(t, 50)
	last.stop()
}

// TestTheOldOneMayDieBeforeTheNewOneServes: the new one goes on with what it was told.
func TestTheOldOneMayDieBeforeTheNewOneServes(t *testing.T) {
	s := newSite(t, settingsText) // no worker: a new process waits to be ready
	now := s.run(false)
	becomes(t, "no door", func() bool { return now.says() == 503 })
	for until := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		if _, err := os.Stat(handover.Path(s.tmp, s.listen)); err == nil {
			break
		}
		if time.Now().After(until) {
			t.Fatal("no socket")
		}
	}
	heir := s.run(false)
	becomes(t, "no door", func() bool { return heir.says() == 503 })
	now.signal(syscall.SIGKILL)
	<-now.ended
	for until := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", s.listen)
		if err == nil {
			defer c.Close()
			break
		}
		if time.Now().After(until) {
			t.Fatal("nobody accepts")
		}
	}
	heir.stop()
}

// TestACeilingHoldsForBothProcesses: what the old one still draws on connections that it
// keeps has left the new one's store too.
func TestACeilingHoldsForBothProcesses(t *testing.T) {
	const rate, units = 10.0, 2
	s := easy(t, strings.Replace(settingsText, `"name":"mayor","refill":500,"burst":500,"pays":1`,
		`"name":"mayor","refill":500,"burst":500,"pays":1,"ceiling-rate":10,"hard-burst":120,"cap-slack":6`, 1))
	now := s.run(true)
	began := time.Now()
	time.Sleep(time.Second) // its part of the ceiling fills from nothing
	var kept []net.Conn
	for range 30 {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n")
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
		kept = append(kept, c)
	}
	time.Sleep(500 * time.Millisecond) // 15 units are there by now
	heir := s.run(true)
	drew := 0
	ask := func(c net.Conn) {
		_ = c.SetDeadline(time.Now().Add(patience))
		if _, err := io.WriteString(c, cuota("mayor", 1900)); err != nil {
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
		t.Fatal("the old process served nothing on what it kept")
	}
	for range 40 {
		if c, err := net.Dial("tcp", s.listen); err == nil {
			ask(c)
			c.Close()
		}
	}
	if most := rate*time.Since(began).Seconds() + units; float64(drew) > most {
		t.Errorf("%d units were sent on, over %.1f", drew, most)
	}
	for _, p := range []*process{now, heir} {
		p.signal(syscall.SIGTERM)
	}
	now.exit()
	heir.exit()
}

// TestAFaultyPeerMeansAnOrdinaryStart, in time.
func TestAFaultyPeerMeansAnOrdinaryStart(t *testing.T) {
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
			s := easy(t, settingsText)
			ln, err := net.Listen("unix", handover.Path(s.tmp, s.listen))
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					go func() { defer c.Close(); serve(c) }()
				}
			}()
			p := s.run(true)
			load := s.traffic()
			load.more(t, 10)
			load.end(t, 10)
			p.stop()
		})
	}
}

package whiteout

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
	"foxwood/internal/testing/standin"
	"foxwood/internal/waymark"
)

const (
	gatekeepers = 6
	cores       = 3
	workersEach = 3
	innerDock   = 7460
	frontPort   = 8080
)

// line is a log line of a process, with when it was read here: one clock for all.
type line struct {
	at      time.Time
	program string
	station string
	fields  map[string]any
}

// process is one of ours.
type process struct {
	name  string
	addr  string // for clients, or inner
	inner string
	cmd   *exec.Cmd
	stdin io.WriteCloser
	done  chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// cluster is the whole system on loopback addresses.
type cluster struct {
	dir, net  string
	mode      string
	book      *standin.Ledger
	workers   []*standin.Worker
	platform  *http.Server
	gates     []*process
	bothies   []*process
	cairns    []*process
	mu        sync.Mutex
	lines     []line
	processes []*process
	counted   [gatekeepers]waymark.Copies // what each last said of its copies
}

func (c *cluster) ip(part, n int) string { return fmt.Sprintf("%s.%d.%d", c.net, part, n+1) }

// start brings the system up with a configuration.
func (c *cluster) start(ctx context.Context) error {
	if err := c.startWorkers(); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(c.ip(4, 0), fmt.Sprint(frontPort)))
	if err != nil {
		return err
	}
	c.platform = &http.Server{Handler: http.HandlerFunc(c.roster)}
	go func() { _ = c.platform.Serve(ln) }()
	for i := range cores {
		for _, program := range []string{"cairn", "bothy"} {
			p, err := c.spawn(program, 2, i)
			if err != nil {
				return err
			}
			if program == "bothy" {
				c.bothies = append(c.bothies, p)
			} else {
				c.cairns = append(c.cairns, p)
			}
		}
	}
	for i := range gatekeepers {
		p, err := c.spawn("switchback", 1, i)
		if err != nil {
			return err
		}
		c.gates = append(c.gates, p)
	}
	if err := c.configure(ctx); err != nil {
		return err
	}
	return c.ready(ctx)
}

// spawn starts a child of this program.
func (c *cluster) spawn(program string, part, n int) (*process, error) {
	ip := c.ip(part, n)
	zone := []string{"a", "b"}[n%2]
	var seeds []string
	for i := range cores {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(c.ip(2, i), fmt.Sprint(frontPort))))
	}
	archive := filepath.Join(c.dir, fmt.Sprintf("%s-%d", program, n))
	if err := os.MkdirAll(archive, 0o755); err != nil {
		return nil, err
	}
	dock, gates := innerDock, fmt.Sprintf("counter = %q", net.JoinHostPort(ip, fmt.Sprint(frontPort)))
	switch program {
	case "bothy":
		gates = fmt.Sprintf("controlDesk = %q\ndirectoryDesk = %q", net.JoinHostPort(ip, fmt.Sprint(frontPort)), net.JoinHostPort(ip, fmt.Sprint(frontPort)))
	case "cairn":
		dock, gates = innerDock+1, ""
	}
	text := fmt.Sprintf("station = \"%s-%d\"\nrole = %q\nip = %q\nzone = %q\nregion = \"r\"\ninnerDocks = [%d,%d]\nfirstStations = [%s]\nfirstRun = true\narchiveDir = %q\n"+
		"[zones]\na = \"r\"\nb = \"r\"\n[gates]\n%s\n[sizeLimits]\ncpuShare = 1.0\nmemoryMb = 400\nhandles = 4000\n[carrierApi]\naddress = %q\nratePerS = 50.0\n",
		program, n, program, ip, zone, innerDock, innerDock+9, strings.Join(seeds, ","), archive, gates, net.JoinHostPort(c.ip(4, 0), fmt.Sprint(frontPort)))
	file := archive + ".toml"
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{name: fmt.Sprintf("%s-%d", program, n), addr: net.JoinHostPort(ip, fmt.Sprint(frontPort)),
		inner: net.JoinHostPort(ip, fmt.Sprint(dock)), done: make(chan struct{})}
	p.cmd = exec.Command(self, "child", program, c.mode)
	p.cmd.Env = append(os.Environ(), "FOXWOOD_BOOT="+file)
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go c.read(p, out)
	c.processes = append(c.processes, p)
	return p, nil
}

// read keeps the lines that tell of the level.
func (c *cluster) read(p *process, out io.Reader) {
	in := bufio.NewScanner(out)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		at := time.Now()
		if os.Getenv("WHITEOUT_LOGS") != "" {
			fmt.Fprintln(os.Stderr, at.Format("05.000"), p.name, in.Text())
		}
		if !bytes.Contains(in.Bytes(), []byte("shedding level")) {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(in.Bytes(), &fields) == nil {
			c.mu.Lock()
			c.lines = append(c.lines, line{at: at, program: strings.Split(p.name, "-")[0], station: p.name, fields: fields})
			c.mu.Unlock()
		}
	}
	_ = p.cmd.Wait()
	close(p.done)
}

// roster is the platform's list.
func (c *cluster) roster(w http.ResponseWriter, _ *http.Request) {
	rows := [][]any{}
	for _, k := range c.workers {
		rows = append(rows, k.Row())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"nextToken": nil, "roster": map[string]any{
		"columns": standin.RowColumns(), "rows": rows}})
}

// configure puts the configuration in force.
func (c *cluster) configure(ctx context.Context) error {
	var courses, dests, senders [][]any
	for _, s := range services {
		kind := "unsafe"
		if s.safe {
			kind = "safe"
		}
		courses = append(courses, []any{"route-" + s.name, "hut.example", "/" + s.name + "/", kind, deadline.Seconds(), s.aim.Seconds(), s.rank, s.name, 2})
		dests = append(dests, []any{s.name, "/health", 130})
	}
	for _, t := range tenants {
		senders = append(senders, []any{t.name, []string{t.key}, t.rank})
	}
	body, err := json.Marshal(map[string]any{"edition": "00000001",
		"courses":      map[string]any{"columns": []string{"name", "domain", "streetPrefix", "kind", "deadlineS", "targetS", "priority", "destination", "tries"}, "rows": courses},
		"destinations": map[string]any{"columns": []string{"name", "healthPath", "berthCap"}, "rows": dests},
		"senders":      map[string]any{"columns": []string{"name", "passes", "priority"}, "rows": senders},
		"sizeLimits":   map[string]any{"envelopeBytes": 16384, "bodyBytes": 1 << 20, "envelopeS": 3, "idleS": 30}})
	if err != nil {
		return err
	}
	return c.operate(ctx, http.MethodPut, "/timetable", body)
}

// operate is an operator's call at one control gatekeeper after the other, until it is taken.
func (c *cluster) operate(ctx context.Context, method, path string, body []byte) error {
	end := time.Now().Add(40 * time.Second)
	last := ""
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+c.bothies[n%cores].addr+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		res, err := (&http.Client{Timeout: 2 * time.Second}).Do(req)
		if err != nil {
			last = err.Error()
		} else {
			said, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Sprintf("%d %s", res.StatusCode, said)
			if res.StatusCode < 500 {
				return fmt.Errorf("%s %s was refused: %s", method, path, said)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s %s was not taken in time, at last: %s", method, path, last)
}

// ready waits until all gatekeepers serve and somebody has the duty.
func (c *cluster) ready(ctx context.Context) error {
	end := time.Now().Add(30 * time.Second)
	for time.Now().Before(end) && ctx.Err() == nil {
		n := 0
		for _, g := range c.gates {
			if s, err := ask(g.inner); err == nil && strings.Contains(s, "ready true") && strings.Contains(s, fmt.Sprintf("of %d members", gatekeepers)) {
				n++
			}
		}
		if n == gatekeepers && (c.mode != "alike" && c.mode != "whole" || c.holder() >= 0) {
			time.Sleep(2 * time.Second) // the first level's gathering
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the gatekeepers were not ready in time")
}

func ask(inner string) (string, error) {
	p := rpc.NewPeer(inner)
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := rpc.Call[waymark.AskStatus, waymark.Status](ctx, p, waymark.AskStatus{})
	return strings.Join(s.Lines, "\n"), err
}

// holder is the core machine with the duty, -1 for none.
func (c *cluster) holder() int {
	for i, b := range c.bothies {
		if s, err := ask(b.inner); err == nil && strings.Contains(s, "duty level held by "+b.inner) {
			return i
		}
	}
	return -1
}

// stop ends what was started, by its process.
func (c *cluster) stop() {
	for _, p := range c.processes {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range c.processes {
		<-p.done
	}
	for _, w := range c.workers {
		w.Stop()
	}
	if c.platform != nil {
		_ = c.platform.Close()
	}
}

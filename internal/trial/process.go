// Package trial measures gatekeepers as processes of their own, against each other on the
// same arrivals, interleaved, and keeps what it finds as tables.
package trial

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Process is a child process of the same program.
type Process struct {
	cmd   *exec.Cmd
	lines *bufio.Scanner
}

// start runs the program's own binary with other arguments.
func start(env []string, args ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	cmd := exec.Command(self, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	return &Process{cmd: cmd, lines: bufio.NewScanner(out)}, nil
}

// line is the next line that the process prints.
func (p *Process) line() (string, error) {
	if !p.lines.Scan() {
		return "", fmt.Errorf("trial: %s said nothing: %w", strings.Join(p.cmd.Args[1:], " "), p.lines.Err())
	}
	return p.lines.Text(), nil
}

// stop ends the process and waits for it.
func (p *Process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(5*time.Second, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	for p.lines.Scan() { // until its end of the pipe closes
	}
	_ = p.cmd.Wait()
}

// spent is what a process has used up to now.
type spent struct {
	cpu   time.Duration
	calls int64 // of read and write system calls
	rss   int64 // bytes resident at present
}

// tick is the kernel's USER_HZ, which is 100 on every Linux that Go runs on.
const tick = 10 * time.Millisecond

// spent reads /proc (proc(5)): utime and stime of stat, syscr and syscw of io.
func (p *Process) spent() (spent, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return spent{}, fmt.Errorf("trial: %w", err)
	}
	f := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+2:]) // from field 3 on
	var s spent
	for _, at := range [...]int{14 - 3, 15 - 3} {
		n, err := strconv.ParseInt(string(f[at]), 10, 64)
		if err != nil {
			return spent{}, fmt.Errorf("trial: stat: %w", err)
		}
		s.cpu += time.Duration(n) * tick
	}
	pages, err := strconv.ParseInt(string(f[24-3]), 10, 64)
	if err != nil {
		return spent{}, fmt.Errorf("trial: stat: %w", err)
	}
	s.rss = pages * int64(os.Getpagesize())
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		return spent{}, fmt.Errorf("trial: %w", err)
	}
	for line := range strings.Lines(string(io)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "syscr" || name == "syscw" {
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return spent{}, fmt.Errorf("trial: io: %w", err)
			}
			s.calls += n
		}
	}
	return s, nil
}

// established counts the connections to any of some ports on this machine, as the
// connecting side holds them (/proc/net/tcp, state 01).
func established(ports map[string]bool) (int, error) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, fmt.Errorf("trial: %w", err)
	}
	n := 0
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 4 || f[3] != "01" {
			continue
		}
		if _, port, ok := strings.Cut(f[2], ":"); ok && ports[port] {
			n++
		}
	}
	return n, nil
}

// hexPort is the port of an address as /proc/net/tcp writes it.
func hexPort(addr string) (string, error) {
	_, port, ok := strings.Cut(addr, ":")
	n, err := strconv.ParseUint(port, 10, 16)
	if !ok || err != nil {
		return "", fmt.Errorf("trial: address %q", addr)
	}
	return fmt.Sprintf("%04X", n), nil
}

// Package benchmark has the measurements behind the command "foxwood measure": it compares transports to workers by
// running a gateway process for each, side by side on the same arrivals and in interleaved runs, measures
// the cost of captures, and simulates restarts of gateways and faults of their shared counter. The results are
// Markdown tables. A gateway is a load balancer as package gatekeeper implements it; the tables
// call it a gatekeeper.
package benchmark

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
	cmd    *exec.Cmd
	stdout *bufio.Scanner
}

// startSelf starts the program's own binary with other arguments and additional environment variables.
func startSelf(env []string, args ...string) (*Process, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	cmd := exec.Command(executable, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	return &Process{cmd: cmd, stdout: bufio.NewScanner(stdout)}, nil
}

// readLine returns the next line that the process prints on its standard output.
func (p *Process) readLine() (string, error) {
	if !p.stdout.Scan() {
		return "", fmt.Errorf("trial: %s: expected a line on standard output, got none: %w", strings.Join(p.cmd.Args[1:], " "), p.stdout.Err())
	}
	return p.stdout.Text(), nil
}

// stop terminates the process, kills it if it is still running after 5 s, and waits for its end.
func (p *Process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(5*time.Second, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	for p.stdout.Scan() { // until the process closes its end of the pipe
	}
	_ = p.cmd.Wait()
}

// usage is the resources that a process has used so far.
type usage struct {
	cpu      time.Duration
	syscalls int64 // read and write system calls
	rssBytes int64 // resident memory at present
}

// clockTick is the unit of CPU times in /proc: 1/USER_HZ, where USER_HZ is 100 on every Linux that Go runs on.
const clockTick = 10 * time.Millisecond

// resourceUsage reads the process's usage from /proc, see proc(5): utime, stime and rss in stat, syscr and syscw in io.
func (p *Process) resourceUsage() (usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, fmt.Errorf("trial: %w", err)
	}
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+2:]) // fields[0] is field 3 of proc(5)
	var result usage
	for _, index := range [...]int{14 - 3, 15 - 3} {
		value, err := strconv.ParseInt(string(fields[index]), 10, 64)
		if err != nil {
			return usage{}, fmt.Errorf("trial: stat: %w", err)
		}
		result.cpu += time.Duration(value) * clockTick
	}
	pages, err := strconv.ParseInt(string(fields[24-3]), 10, 64)
	if err != nil {
		return usage{}, fmt.Errorf("trial: stat: %w", err)
	}
	result.rssBytes = pages * int64(os.Getpagesize())
	ioStats, err := os.ReadFile(dir + "io")
	if err != nil {
		return usage{}, fmt.Errorf("trial: %w", err)
	}
	for line := range strings.Lines(string(ioStats)) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "syscr" || name == "syscw" {
			value, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return usage{}, fmt.Errorf("trial: io: %w", err)
			}
			result.syscalls += value
		}
	}
	return result, nil
}

// countConnections counts the established connections on this machine to any of the given ports, from the side that
// connected (/proc/net/tcp, state 01).
func countConnections(ports map[string]bool) (int, error) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, fmt.Errorf("trial: %w", err)
	}
	count := 0
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 4 || fields[3] != "01" {
			continue
		}
		if _, port, ok := strings.Cut(fields[2], ":"); ok && ports[port] {
			count++
		}
	}
	return count, nil
}

// hexPort returns the port of an address in the form used by /proc/net/tcp.
func hexPort(addr string) (string, error) {
	_, port, ok := strings.Cut(addr, ":")
	n, err := strconv.ParseUint(port, 10, 16)
	if !ok || err != nil {
		return "", fmt.Errorf("trial: expected an address of the form HOST:PORT, got %q", addr)
	}
	return fmt.Sprintf("%04X", n), nil
}

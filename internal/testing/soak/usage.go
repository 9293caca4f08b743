package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerS is the unit of processor time in /proc.
const ticksPerS = 100

// usage is what the fleet's processes take of the machine.
type usage struct {
	memory, memoryMost   int64 // bytes that are not shared
	running, runningMost int
	processor            map[Program]time.Duration // since the first look
	from, to             time.Time
	last                 map[int]time.Duration // processor time by process id
}

// look brings the usage up to now.
func (u *usage) look(f *fleet) {
	now := time.Now()
	if u.processor == nil {
		u.processor, u.from = map[Program]time.Duration{}, now
	}
	seen := map[int]time.Duration{}
	u.to, u.memory, u.running = now, 0, 0
	for _, p := range f.processes() {
		pid, up := p.running()
		if !up {
			continue
		}
		u.running++
		u.memory += memoryOf(pid)
		seen[pid] = processorOf(pid)
		if before, known := u.last[pid]; known || u.last != nil {
			u.processor[p.program] += seen[pid] - before
		}
	}
	u.last = seen
	u.memoryMost, u.runningMost = max(u.memoryMost, u.memory), max(u.runningMost, u.running)
}

// cores is the processor time of a program's processes together, in cores.
func (u *usage) cores(p Program) float64 {
	return u.processor[p].Seconds() / max(u.to.Sub(u.from).Seconds(), 1)
}

// running is the id of the life that runs.
func (p *process) running() (pid int, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lives) == 0 || !p.lives[len(p.lives)-1].to.IsZero() {
		return 0, false
	}
	return p.cmd.Process.Pid, true
}

func memoryOf(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return 0
	}
	resident, _ := strconv.ParseInt(fields[1], 10, 64)
	shared, _ := strconv.ParseInt(fields[2], 10, 64)
	return (resident - shared) * int64(os.Getpagesize())
}

// The processor times in /proc/PID/stat, counted behind the name in brackets.
const (
	statUser   = 11
	statSystem = 12
)

func processorOf(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if err != nil || !ok || len(fields) <= statSystem {
		return 0
	}
	user, _ := strconv.ParseInt(fields[statUser], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystem], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerS
}

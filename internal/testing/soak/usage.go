package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicksPerS is the number of clock ticks per second, the unit of CPU times in /proc.
const clockTicksPerS = 100

// usage is the resource usage of the processes of a fleet.
type usage struct {
	memory, maxMemory       int64                     // resident bytes that are not shared
	running, maxRunning     int                       // number of processes
	cpuTime                 map[Program]time.Duration // since the first sample
	firstSample, lastSample time.Time
	previous                map[int]time.Duration // CPU time by process ID at the last sample
}

// sample updates the usage from /proc.
func (u *usage) sample(f *fleet) {
	now := time.Now()
	if u.cpuTime == nil {
		u.cpuTime, u.firstSample = map[Program]time.Duration{}, now
	}
	current := map[int]time.Duration{}
	u.lastSample, u.memory, u.running = now, 0, 0
	for _, p := range f.processes() {
		pid, up := p.runningPID()
		if !up {
			continue
		}
		u.running++
		u.memory += privateMemory(pid)
		current[pid] = cpuTimeOf(pid)
		if earlier, known := u.previous[pid]; known || u.previous != nil {
			u.cpuTime[p.program] += current[pid] - earlier
		}
	}
	u.previous = current
	u.maxMemory, u.maxRunning = max(u.maxMemory, u.memory), max(u.maxRunning, u.running)
}

// cpuCores returns the mean number of CPU cores that all processes of a program used together.
func (u *usage) cpuCores(p Program) float64 {
	return u.cpuTime[p].Seconds() / max(u.lastSample.Sub(u.firstSample).Seconds(), 1)
}

// runningPID returns the process ID if the process is running.
func (p *process) runningPID() (pid int, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.runs) == 0 || !p.runs[len(p.runs)-1].endedAt.IsZero() {
		return 0, false
	}
	return p.cmd.Process.Pid, true
}

// privateMemory returns the resident memory of a process that is not shared, in bytes, and 0 if it cannot be read.
func privateMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return 0
	}
	resident, _ := strconv.ParseInt(fields[1], 10, 64)
	shared, _ := strconv.ParseInt(fields[2], 10, 64)
	return (resident - shared) * int64(os.Getpagesize())
}

// The indexes of the CPU times in /proc/PID/stat, counted from the first field after the name in parentheses.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// cpuTimeOf returns the user and system CPU time of a process, and 0 if it cannot be read.
func cpuTimeOf(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if err != nil || !ok || len(fields) <= statSystemTime {
		return 0
	}
	user, _ := strconv.ParseInt(fields[statUserTime], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystemTime], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerS
}

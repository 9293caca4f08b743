package soak

import (
	"bufio"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEarlySignalIsNoEnd guards against a signal ending a process that has just started: a program asks for its signals before
// packages of other modules are initialized, and no signal from then on ends it by default.
func TestEarlySignalIsNoEnd(t *testing.T) {
	const starts = 20
	for _, program := range []Program{Proxy, Registry, ConfigStore} {
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			for range starts {
				command := exec.Command(filepath.Join(programsDir, string(program)), "serve")
				command.Env = append(os.Environ(), "FOXWOOD_BOOT=/nonexistent", "GODEBUG=inittrace=1") // a line for each package, as it is initialized
				output, err := command.StderrPipe()
				assert.NilError(t, err)
				assert.NilError(t, command.Start())
				received := false
				lines := bufio.NewScanner(output)
				for lines.Scan() {
					switch line := lines.Text(); {
					case strings.HasPrefix(line, "init foxwood/internal/processsignals "):
						received = true
						_ = command.Process.Signal(sig)
					case strings.HasPrefix(line, "init github.com/"):
						assert.Check(t, received, "%s initializes other modules first: %s", program, line)
					}
				}
				assert.Check(t, received, "%s never asked for its signals", program)
				if exit, ok := errors.AsType[*exec.ExitError](command.Wait()); ok {
					status := exit.Sys().(syscall.WaitStatus)
					assert.Check(t, !status.Signaled(), "%s was ended by %v", program, status)
				}
				if t.Failed() {
					return
				}
			}
		}
	}
}

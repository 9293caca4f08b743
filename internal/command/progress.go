package command

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

const (
	barWidth       = 40 // characters
	redrawInterval = 100 * time.Millisecond
	callsPerCheck  = 1024 // calls of step between two checks of the time
)

// progress is a progress bar on a terminal. A nil *progress shows nothing.
type progress struct {
	out       io.Writer
	position  func() (n, of int64)
	now       func() time.Time
	calls     int
	lastShown time.Time
}

// newProgress returns a bar if standard error is a terminal and the command doesn't print to a
// terminal as well. Otherwise it returns nil.
func newProgress(stderr io.Writer, printsToStdout bool, position func() (n, of int64)) *progress {
	if !isTerminal(stderr) || printsToStdout && isTerminal(os.Stdout) {
		return nil
	}
	return &progress{out: stderr, position: position, now: time.Now}
}

// isTerminal reports whether a writer is a character device.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// step is called for each record. It redraws the bar at most once per redrawInterval.
func (p *progress) step() {
	if p == nil {
		return
	}
	if p.calls++; p.calls%callsPerCheck != 1 {
		return
	}
	if now := p.now(); now.Sub(p.lastShown) >= redrawInterval {
		p.lastShown = now
		n, of := p.position()
		part := min(float64(n)/float64(max(of, 1)), 1)
		full := int(part * barWidth)
		fmt.Fprintf(p.out, "\r[%s%s] %3.0f%%", strings.Repeat("=", full), strings.Repeat(" ", barWidth-full), 100*part)
	}
}

// clear erases the bar.
func (p *progress) clear() {
	if p != nil && !p.lastShown.IsZero() {
		fmt.Fprintf(p.out, "\r%s\r", strings.Repeat(" ", barWidth+7))
	}
}

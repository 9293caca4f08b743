package command

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

const (
	progressWide  = 40
	progressEvery = 100 * time.Millisecond
	progressLooks = 1024 // calls between two looks at the time
)

// progress is a bar on a terminal. A nil one is none.
type progress struct {
	to    io.Writer
	read  func() (n, of int64)
	now   func() time.Time
	calls int
	shown time.Time
}

// newProgress makes a bar where standard error is a terminal and what is printed does not
// go to it as well.
func newProgress(stderr io.Writer, prints bool, read func() (n, of int64)) *progress {
	if !terminal(stderr) || prints && terminal(os.Stdout) {
		return nil
	}
	return &progress{to: stderr, read: read, now: time.Now}
}

func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// step is called with each record.
func (p *progress) step() {
	if p == nil {
		return
	}
	if p.calls++; p.calls%progressLooks != 1 {
		return
	}
	if now := p.now(); now.Sub(p.shown) >= progressEvery {
		p.shown = now
		n, of := p.read()
		part := min(float64(n)/float64(max(of, 1)), 1)
		full := int(part * progressWide)
		fmt.Fprintf(p.to, "\r[%s%s] %3.0f%%", strings.Repeat("=", full), strings.Repeat(" ", progressWide-full), 100*part)
	}
}

// end wipes the bar.
func (p *progress) end() {
	if p != nil && !p.shown.IsZero() {
		fmt.Fprintf(p.to, "\r%s\r", strings.Repeat(" ", progressWide+7))
	}
}

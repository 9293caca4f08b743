package command

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// TestProgressBar checks that the bar is redrawn at most ten times a second, reaches 100% and is
// erased at the end.
func TestProgressBar(t *testing.T) {
	var out bytes.Buffer
	read, now := int64(0), time.Unix(0, 0)
	p := &progress{out: &out, position: func() (int64, int64) { return read, 200 }, now: func() time.Time { return now }}
	for _, at := range []struct {
		read int64
		ms   int
		want string
	}{{0, 1000, "]   0%"}, {100, 1050, ""}, {100, 1100, "]  50%"}, {200, 1300, "] 100%"}} {
		out.Reset()
		read, now = at.read, time.UnixMilli(int64(at.ms))
		for range callsPerCheck {
			p.step()
		}
		if got := out.String(); at.want == "" && got != "" || !strings.HasSuffix(got, at.want) {
			t.Errorf("%d of 200 at %d ms: got %q, want the end %q", at.read, at.ms, got, at.want)
		}
	}
	out.Reset()
	if p.clear(); strings.Trim(out.String(), "\r ") != "" || out.Len() == 0 {
		t.Errorf("clear left %q", out.String())
	}
	if newProgress(&out, false, nil) != nil {
		t.Error("got a progress bar without a terminal")
	}
	(*progress)(nil).step()
	(*progress)(nil).clear()
}

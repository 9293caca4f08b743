package command

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// TestTheBarGoesToItsEnd, at most ten times a second, and is wiped.
func TestTheBarGoesToItsEnd(t *testing.T) {
	var out bytes.Buffer
	read, now := int64(0), time.Unix(0, 0)
	p := &progress{to: &out, read: func() (int64, int64) { return read, 200 }, now: func() time.Time { return now }}
	for _, at := range []struct {
		read int64
		ms   int
		want string
	}{{0, 1000, "]   0%"}, {100, 1050, ""}, {100, 1100, "]  50%"}, {200, 1300, "] 100%"}} {
		out.Reset()
		read, now = at.read, time.UnixMilli(int64(at.ms))
		for range progressLooks {
			p.step()
		}
		if got := out.String(); at.want == "" && got != "" || !strings.HasSuffix(got, at.want) {
			t.Errorf("%d of 200 at %d ms: %q", at.read, at.ms, got)
		}
	}
	out.Reset()
	if p.end(); strings.Trim(out.String(), "\r ") != "" || out.Len() == 0 {
		t.Errorf("the end leaves %q", out.String())
	}
	if newProgress(&out, false, nil) != nil {
		t.Error("a bar where there is no terminal")
	}
	(*progress)(nil).step()
	(*progress)(nil).end()
}

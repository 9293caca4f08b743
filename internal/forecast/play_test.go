package forecast

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	heading  = "day                  own/srv  score  worth served refused failed  weakest part\n"
	holds    = heading + "core-1                 14/34   0.89  0.894  0.983   0.002  0.000  worst class 0.95; prices 0.086\n\n  -0.0000  0.0 exits of its own\n"
	breaking = heading + "core-2                 14/34   0.00 -0.024  0.545   0.429  0.005  worst windows 0.00  BROKEN: CONFIG 1, RECOVER 1 (else 0.24)\n" +
		"rules broken: CONFIG 1, RECOVER 12\nRECOVER at 63.0 s: 0 of 608 requests were served\n\n  -0.0200  7.0 exits of its own\n  missed: config version 10, was never acked\n"
)

// TestJudge: the report is read as it is; what can't be read is no verdict.
func TestJudge(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{holds, "holds; worth 0.894"},
		{breaking, "CONFIG 1, RECOVER 12; worth -0.024; 1 orders missed; 7 exits"},
		{"no such site\n", "NOT PLAYED"},
		{"", "NOT PLAYED"},
	} {
		assert.Equal(t, judge(c.text).String(), c.want)
	}
	assert.Assert(t, judge(breaking).broken() && !judge(holds).broken() && !judge("").broken())
}

// TestPlay: a line for each day in their order, the report kept, the exit status for all.
func TestPlay(t *testing.T) {
	days, logs := t.TempDir(), filepath.Join(t.TempDir(), "logs")
	for _, name := range []string{"a", "b", "c", "d"} {
		assert.NilError(t, os.WriteFile(filepath.Join(days, name+".toml"), nil, 0o644))
	}
	report := func(text string) string {
		file := filepath.Join(t.TempDir(), "report")
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o644))
		return file
	}
	bench := script(t, "case $2 in */b.toml) cat "+report(breaking)+";; */d.toml) echo no such day; exit 2;; *) cat "+report(holds)+";; esac\n")
	files, err := filepath.Glob(filepath.Join(days, "*.toml"))
	assert.NilError(t, err)
	assert.NilError(t, os.Mkdir(logs, 0o755))
	var out bytes.Buffer
	broken, unplayed := playAll(t.Context(), &out, logs, files, []string{bench, "run"}, 3)
	assert.Equal(t, broken, 1)
	assert.Equal(t, unplayed, 1)
	got := regexp.MustCompile(`\(\d+ s\)`).ReplaceAllString(out.String(), "(s)")
	got = regexp.MustCompile(`NOT PLAYED: .*: exit`).ReplaceAllString(got, "NOT PLAYED: exit")
	assert.Equal(t, got, "a.toml: holds; worth 0.894 (s)\nb.toml: CONFIG 1, RECOVER 12; worth -0.024; 1 orders missed; 7 exits (s)\n"+
		"c.toml: holds; worth 0.894 (s)\nd.toml: NOT PLAYED: exit status 2 (s)\n4 days, 1 broken, 1 not played\n")
	text, err := os.ReadFile(filepath.Join(logs, "b.txt"))
	assert.NilError(t, err)
	assert.Equal(t, string(text), breaking)

	assert.Equal(t, Main([]string{"play", "-days", days, bench, "run"}), 1)
	assert.Equal(t, Main([]string{"verdict", bench, "run", "x/b.toml"}), 1)
	assert.Equal(t, Main([]string{"verdict", "-rule", "DRAIN", "-tries", "2", bench, "run", "x/b.toml"}), 0)
	assert.Equal(t, Main([]string{"verdict", bench, "run", "x/a.toml"}), 0)
	assert.Equal(t, Main([]string{"verdict", bench, "run", "x/d.toml"}), 3)
	assert.Equal(t, Main([]string{"verdict", filepath.Join(days, "none")}), 3)
}

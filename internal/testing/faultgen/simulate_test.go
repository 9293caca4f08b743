package faultgen

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// Reports of the simulator: of a scenario that holds, and of one that breaks rules.
const (
	reportHeading  = "day                  own/srv  score  worth served refused failed  weakest part\n"
	holdingReport  = reportHeading + "core-1                 14/34   0.89  0.894  0.983   0.002  0.000  worst class 0.95; prices 0.086; 27 exits of its own\n\n  -0.0000  0.0 exits of its own\n"
	breakingReport = reportHeading + "core-2                 14/34   0.00 -0.024  0.545   0.429  0.005  worst windows 0.00  BROKEN: CONFIG 1, RECOVER 1 (else 0.24)\n" +
		"rules broken: CONFIG 1, RECOVER 12\nRECOVER at 63.0 s: 0 of 608 requests were served\n\n  -0.0200  7.0 exits of its own\n  missed: config version 10, was never acked\n"
)

// TestParseReport checks the verdicts read from reports. An unreadable report gives no verdict.
func TestParseReport(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{holdingReport, "holds; worth 0.894; 27 exits"},
		{breakingReport, "CONFIG 1, RECOVER 12; worth -0.024; 1 orders missed; 7 exits"},
		{"no such site\n", "NOT PLAYED"},
		{"", "NOT PLAYED"},
	} {
		assert.Equal(t, parseReport(tc.text).String(), tc.want)
	}
	assert.Assert(t, parseReport(breakingReport).broken() && !parseReport(holdingReport).broken() && !parseReport("").broken())
}

// TestPlayFolder checks that each scenario gets a line in the order of the files, that reports are kept, and that
// the exit status covers all scenarios.
func TestPlayFolder(t *testing.T) {
	scenarioDir, reportDir := t.TempDir(), filepath.Join(t.TempDir(), "logs")
	for _, name := range []string{"a", "b", "c", "d"} {
		assert.NilError(t, os.WriteFile(filepath.Join(scenarioDir, name+".toml"), nil, 0o644))
	}
	reportFile := func(text string) string {
		file := filepath.Join(t.TempDir(), "report")
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o644))
		return file
	}
	simulator := script(t, "case $2 in */b.toml) cat "+reportFile(breakingReport)+";; */d.toml) echo no such day; exit 2;; *) cat "+reportFile(holdingReport)+";; esac\n")
	files, err := filepath.Glob(filepath.Join(scenarioDir, "*.toml"))
	assert.NilError(t, err)
	assert.NilError(t, os.Mkdir(reportDir, 0o755))
	var out bytes.Buffer
	broken, unplayed := simulateAll(t.Context(), &out, reportDir, files, []string{simulator, "run"}, 3)
	assert.Equal(t, broken, 1)
	assert.Equal(t, unplayed, 1)
	got := regexp.MustCompile(`\(\d+ s\)`).ReplaceAllString(out.String(), "(s)")
	got = regexp.MustCompile(`NOT PLAYED: .*: exit`).ReplaceAllString(got, "NOT PLAYED: exit")
	assert.Equal(t, got, "a.toml: holds; worth 0.894; 27 exits (s)\nb.toml: CONFIG 1, RECOVER 12; worth -0.024; 1 orders missed; 7 exits (s)\n"+
		"c.toml: holds; worth 0.894; 27 exits (s)\nd.toml: NOT PLAYED: exit status 2 (s)\n4 days, 1 broken, 1 not played\n")
	text, err := os.ReadFile(filepath.Join(reportDir, "b.txt"))
	assert.NilError(t, err)
	assert.Equal(t, string(text), breakingReport)

	assert.Equal(t, Main([]string{"play", "-days", scenarioDir, simulator, "run"}), 1)
	assert.Equal(t, Main([]string{"verdict", simulator, "run", "x/b.toml"}), 1)
	assert.Equal(t, Main([]string{"verdict", "-rule", "DRAIN", "-tries", "2", simulator, "run", "x/b.toml"}), 0)
	assert.Equal(t, Main([]string{"verdict", simulator, "run", "x/a.toml"}), 0)
	assert.Equal(t, Main([]string{"verdict", simulator, "run", "x/d.toml"}), 3)
	assert.Equal(t, Main([]string{"verdict", filepath.Join(scenarioDir, "none")}), 3)
}

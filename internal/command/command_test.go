package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestExitStatus guards the exit statuses that scripts rely on: 1 if a command failed, 2 if its
// arguments are wrong.
func TestExitStatus(t *testing.T) {
	invalidFile := filepath.Join(t.TempDir(), "faulty.yaml")
	text, err := os.ReadFile("../../deploy/calculadora.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(invalidFile, []byte(strings.ReplaceAll(string(text), "units:", "unids:")), 0o600); err != nil {
		t.Fatal(err)
	}
	configFile := filepath.Join(t.TempDir(), "c.hcl")
	hcl, err := os.ReadFile("../../deploy/operator.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(configFile, []byte(strings.Replace(string(hcl), "deploy/calculadora.yaml", invalidFile, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("EDGE_CONFIG", "")
	const capturePath = "../replay/testdata/kept/workers-that-fail"
	chart := filepath.Join(t.TempDir(), "chart.svg")
	for name, c := range map[string]struct {
		args   []string
		status int
		says   []string
	}{
		"help":                  {[]string{"--help"}, exitOK, []string{"run", "check", "import", "version"}},
		"version":               {[]string{"version"}, exitOK, []string{"foxwood, commit"}},
		"no configuration":      {nil, exitFailed, []string{"EDGE_CONFIG"}},
		"unknown command":       {[]string{"serve"}, exitUsage, []string{"serve", "--help"}},
		"unknown flag":          {[]string{"run", "--fast"}, exitUsage, []string{"--fast"}},
		"unknown log format":    {[]string{"version", "--log", "xml"}, exitUsage, []string{"neither text nor json"}},
		"no upstream":           {[]string{"import", "nginx", "f"}, exitUsage, []string{"--upstream"}},
		"invalid failure":       {[]string{"emulate", "counter", "--trouble", "10s:slow=3"}, exitUsage, []string{"a duration"}},
		"valid capture":         {[]string{"capture", "verify", capturePath}, exitOK, []string{"records"}},
		"truncated capture":     {[]string{"capture", "verify", "../replay/testdata/kept/killed-within-a-block"}, exitFailed, []string{"ends without its end block"}},
		"one request by name":   {[]string{"replay", capturePath, "--request", "simulacion-10"}, exitOK, []string{"named request=", `"simulacion-10"`, "class=1", "  send request=", "lives"}},
		"compare settings":      {[]string{"replay", capturePath, "--against", "recorded", "--chart", chart}, exitOK, []string{"requests", "refused: recorded"}},
		"chart without against": {[]string{"replay", capturePath, "--chart", chart}, exitUsage, []string{"--against"}},
		"two errors":            {[]string{"check", configFile}, exitFailed, []string{"faulty.yaml:13: GET /cuota", "faulty.yaml:22: POST /simulacion", "2 faults"}},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if got := Main(c.args, &out, &out); got != c.status {
				t.Errorf("status %d, want %d", got, c.status)
			}
			for _, s := range c.says {
				if !strings.Contains(out.String(), s) {
					t.Errorf("%q is missing in\n%s", s, out.String())
				}
			}
		})
	}
}

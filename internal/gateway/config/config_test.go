package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"foxwood/internal/dataplane/link"
	"foxwood/policy"
)

// readText reads a configuration from a text. Errors name the file without its directory.
func readText(t *testing.T, name, text string) (Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := Read(file)
	if err != nil {
		err = shortenedError{strings.ReplaceAll(err.Error(), filepath.Dir(file)+"/", "")}
	}
	return cfg, err
}

type shortenedError struct{ text string }

func (c shortenedError) Error() string { return c.text }

// TestHCLAndJSONExamplesAreEqual checks that the two example files in deploy give the same
// configuration.
func TestHCLAndJSONExamplesAreEqual(t *testing.T) {
	fromJSON, err := Read("../../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	fromHCL, err := Read("../../../deploy/operator.hcl")
	if err != nil {
		t.Fatal(err)
	}
	fromJSON.Seed = ""
	if diff := cmp.Diff(fromJSON, fromHCL, cmpopts.IgnoreUnexported(Config{}), cmpopts.IgnoreFields(Config{}, "Settings")); diff != "" {
		t.Error(diff)
	}
	settingsJSON, namesJSON, err := fromJSON.PolicySettings()
	if err != nil {
		t.Fatal(err)
	}
	settingsHCL, namesHCL, _ := fromHCL.PolicySettings()
	settingsJSON.ClockTick, settingsJSON.UseWeights = settingsHCL.ClockTick, settingsHCL.UseWeights // the JSON example has the platform's values
	if diff := cmp.Diff(settingsJSON, settingsHCL, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(namesJSON, namesHCL, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}

// minimalHCL is a configuration that lacks only a pool.
const minimalHCL = `name = "a"
listen = "127.0.0.1:0"
plan "p" {
  rate  = 1
  burst = 1
  price = 1
}
`

func TestErrorsNameFileAndLine(t *testing.T) {
	const worker = "  worker \"w\" {\n    address = \"127.0.0.1:1\"\n  }\n}\n"
	for name, c := range map[string]struct {
		file, text string
		want       []string
	}{
		"truncated JSON":  {"c.json", "{\n\"name\":\"a\",\n", []string{"c.json:3: unexpected end"}},
		"wrong JSON type": {"c.json", "{\n\"name\":\"a\",\n\"listen\":7}", []string{"c.json:3: json: cannot unmarshal number"}},
		"unknown key":     {"c.hcl", minimalHCL + "listne = 1\npool \"x\" {\n" + worker, []string{"c.hcl:8: Unsupported argument"}},
		"unclosed block":  {"c.hcl", minimalHCL + "pool \"x\" {\n", []string{"c.hcl:8: Unclosed configuration block"}},
		"no pool":         {"c.hcl", minimalHCL, []string{"no pool of workers"}},
		"several at once": {"c.hcl", minimalHCL + "pool \"x\" {\n  transport = \"carrier-pigeon\"\n" + worker +
			"class \"k\" {\n  aim_ms = 5\n  deadline_ms = 2\n  repeat = \"twice\"\n}\npool \"y\" {\n}\n",
			[]string{`c.hcl:8: pool "x": transport "carrier-pigeon"`, `c.hcl:14: class "k": repeat "twice"`, `c.hcl:14: class "k": aim_ms`, `c.hcl:19: pool "y": a gatekeeper has one pool`}},
		"gather for a pipeline": {"c.hcl", minimalHCL + "pool \"x\" {\n  transport = \"pipeline\"\n  gather_ms = 1\n" + worker, []string{"c.hcl:8", "belong to the transport batch"}},
		"keyed, no window":      {"c.hcl", minimalHCL + "class \"k\" {\n  aim_ms = 1\n  deadline_ms = 2\n  repeat = \"keyed\"\n}\npool \"x\" {\n" + worker, []string{`c.hcl:8: class "k" is keyed and states no window_ms`}},
		"removed keys": {"c.hcl", minimalHCL + "attempts {\n  most = 3\n  retry_after_most_ms = 1\n}\npool \"x\" {\n  worker \"w\" {\n    address = \"127.0.0.1:1\"\n    kind = \"k\"\n  }\n}\n",
			[]string{`c.hcl:10: Unsupported argument`, `c.hcl:15: Unsupported argument`}},
		"invalid address": {"c.hcl", minimalHCL + "pool \"x\" {\n  worker \"w\" {\n    address = \"nowhere\"\n  }\n}\n", []string{`c.hcl:9: worker "w"`}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readText(t, c.file, c.text)
			if err == nil {
				t.Fatal("the invalid file was accepted")
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q is missing in the error\n%v", w, err)
				}
			}
		})
	}
}

func TestPoolTransportAndClass(t *testing.T) {
	cfg, err := readText(t, "c.hcl", minimalHCL+`class "k" {
  aim_ms      = 100
  deadline_ms = 400
  repeat      = "keyed"
  window_ms   = 900
  group       = "cell"
}
pool "x" {
  transport = "batch"
  gather_ms = 1.5
  depth     = 16
  worker "w" {
    address = "127.0.0.1:1"
    weight  = 2
  }
}
`)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(link.Transport{Protocol: link.Batch, BatchDelayMS: 1.5, MaxInFlight: 16}, cfg.Transport); diff != "" {
		t.Error(diff)
	}
	settings, _, _ := cfg.PolicySettings()
	if !settings.UseWeights {
		t.Error("the worker's weight has no effect")
	}
	want := []policy.Class{{LatencyTarget: 100e3, Deadline: 400e3, RepeatWindow: 900e3, Value: 1, Repeat: policy.RepeatKeyed, Dedup: policy.DedupCell}}
	if diff := cmp.Diff(want, settings.Classes); diff != "" {
		t.Error(diff)
	}
}

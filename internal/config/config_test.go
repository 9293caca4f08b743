package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"foxwood/internal/link"
	"foxwood/policy"
)

func read(t *testing.T, name, text string) (Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Read(file)
	if err != nil {
		err = cleaned{strings.ReplaceAll(err.Error(), filepath.Dir(file)+"/", "")}
	}
	return c, err
}

type cleaned struct{ text string }

func (c cleaned) Error() string { return c.text }

// TestBothOperatorsFilesSayTheSame: the HCL example is the JSON one in other words.
func TestBothOperatorsFilesSayTheSame(t *testing.T) {
	one, err := Read("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	two, err := Read("../../deploy/operator.hcl")
	if err != nil {
		t.Fatal(err)
	}
	one.Seed = ""
	if diff := cmp.Diff(one, two, cmpopts.IgnoreUnexported(Config{}), cmpopts.IgnoreFields(Config{}, "Settings")); diff != "" {
		t.Error(diff)
	}
	s1, n1, err := one.Terms()
	if err != nil {
		t.Fatal(err)
	}
	s2, n2, _ := two.Terms()
	s1.Tick, s1.Weights = s2.Tick, s2.Weights // the example's are of the platform
	if diff := cmp.Diff(s1, s2, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(n1, n2, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}

const least = `name = "a"
listen = "127.0.0.1:0"
plan "p" {
  rate  = 1
  burst = 1
  price = 1
}
`

func TestEveryFaultIsNamedWithItsLine(t *testing.T) {
	const worker = "  worker \"w\" {\n    address = \"127.0.0.1:1\"\n  }\n}\n"
	for name, c := range map[string]struct {
		file, text string
		want       []string
	}{
		"JSON cut short":  {"c.json", "{\n\"name\":\"a\",\n", []string{"c.json:3: unexpected end"}},
		"JSON wrong kind": {"c.json", "{\n\"name\":\"a\",\n\"listen\":7}", []string{"c.json:3: json: cannot unmarshal number"}},
		"unknown key":     {"c.hcl", least + "listne = 1\npool \"x\" {\n" + worker, []string{"c.hcl:8: Unsupported argument"}},
		"no end":          {"c.hcl", least + "pool \"x\" {\n", []string{"c.hcl:8: Unclosed configuration block"}},
		"no pool":         {"c.hcl", least, []string{"no pool of workers"}},
		"several at once": {"c.hcl", least + "pool \"x\" {\n  transport = \"carrier-pigeon\"\n" + worker +
			"class \"k\" {\n  aim_ms = 5\n  deadline_ms = 2\n  repeat = \"twice\"\n}\npool \"y\" {\n}\n",
			[]string{`c.hcl:8: pool "x": transport "carrier-pigeon"`, `c.hcl:14: class "k": repeat "twice"`, `c.hcl:14: class "k": aim_ms`, `c.hcl:19: pool "y": a gatekeeper has one pool`}},
		"gather of a line": {"c.hcl", least + "pool \"x\" {\n  transport = \"pipeline\"\n  gather_ms = 1\n" + worker, []string{"c.hcl:8", "belong to the transport batch"}},
		"keyed, no window": {"c.hcl", least + "class \"k\" {\n  aim_ms = 1\n  deadline_ms = 2\n  repeat = \"keyed\"\n}\npool \"x\" {\n" + worker, []string{`c.hcl:8: class "k" is keyed and states no window_ms`}},
		"keys that are gone": {"c.hcl", least + "attempts {\n  most = 3\n  retry_after_most_ms = 1\n}\npool \"x\" {\n  worker \"w\" {\n    address = \"127.0.0.1:1\"\n    kind = \"k\"\n  }\n}\n",
			[]string{`c.hcl:10: Unsupported argument`, `c.hcl:15: Unsupported argument`}},
		"address of nobody": {"c.hcl", least + "pool \"x\" {\n  worker \"w\" {\n    address = \"nowhere\"\n  }\n}\n", []string{`c.hcl:9: worker "w"`}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := read(t, c.file, c.text)
			if err == nil {
				t.Fatal("taken")
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q is not in\n%v", w, err)
				}
			}
		})
	}
}

func TestAPoolNamesItsTransport(t *testing.T) {
	c, err := read(t, "c.hcl", least+`class "k" {
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
	if diff := cmp.Diff(link.Transport{Carrier: link.Batch, Gather: 1.5, Depth: 16}, c.Transport); diff != "" {
		t.Error(diff)
	}
	s, _, _ := c.Terms()
	if !s.Weights {
		t.Error("the worker's weight has no effect")
	}
	want := []policy.Class{{Aim: 100e3, Deadline: 400e3, Window: 900e3, Worth: 1, Repeat: policy.Keyed, Group: policy.GroupCell}}
	if diff := cmp.Diff(want, s.Classes); diff != "" {
		t.Error(diff)
	}
}

package forecast

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// table is a table of a day's file. What we don't know of it is kept as it is.
type table map[string]any

// day is a day of a deployment: its plan and faults apart from the rest, which stands in head.
type day struct {
	comment string
	head    table
	entries []entry
}

// entry is one trouble, or one planned work.
type entry struct {
	list string // plan or faults
	table
}

func (e entry) at() float64   { return number(e.table["at"]) }
func (e entry) forS() float64 { return number(e.table["for_s"]) }
func (e entry) kind() string  { s, _ := e.table["kind"].(string); return s }
func (e entry) how() string   { s, _ := e.table["how"].(string); return s }

func number(v any) float64 {
	switch v := v.(type) {
	case float64:
		return v
	case int64:
		return float64(v)
	case int:
		return float64(v)
	}
	return 0
}

// lists are where entries stand, in the order in which they are written.
var lists = []string{"plan", "faults"}

// keys that a reader looks for first; the others follow by name.
var first = []string{"name", "slot", "seed", "length_s", "closing", "at", "kind", "on", "class", "count", "share", "x", "for_s", "gap_s",
	"zone", "to_zone", "region", "service", "down_s", "how"}

func (t table) keys() []string {
	rank := func(k string) int {
		if i := slices.Index(first, k); i >= 0 {
			return i
		}
		return len(first)
	}
	return slices.SortedFunc(maps.Keys(t), func(a, b string) int {
		if n := rank(a) - rank(b); n != 0 {
			return n
		}
		return strings.Compare(a, b)
	})
}

// inline is a value as it stands on one line.
func inline(v any) string {
	switch v := v.(type) {
	case string:
		text, err := json.Marshal(v) // its escapes are TOML's too
		if err != nil {
			panic(err)
		}
		return string(text)
	case float64:
		text := strconv.FormatFloat(v, 'f', -1, 64)
		if !strings.Contains(text, ".") {
			text += ".0"
		}
		return text
	case []any:
		var parts []string
		for _, each := range v {
			parts = append(parts, inline(each))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case map[string]any:
		return table(v).inline()
	case table:
		return v.inline()
	}
	return fmt.Sprint(v)
}

func (t table) inline() string {
	var parts []string
	for _, k := range t.keys() {
		parts = append(parts, k+" = "+inline(t[k]))
	}
	return "{ " + strings.Join(parts, ", ") + " }"
}

// text is the day as a file.
func (d day) text() []byte {
	var b bytes.Buffer
	for line := range strings.Lines(d.comment) {
		fmt.Fprintf(&b, "# %s\n", strings.TrimRight(line, "\n"))
	}
	for _, k := range d.head.keys() {
		fmt.Fprintf(&b, "%s = %s\n", k, inline(d.head[k]))
	}
	for _, list := range lists {
		fmt.Fprintf(&b, "%s = [\n", list)
		for _, e := range d.entries {
			if e.list == list {
				fmt.Fprintf(&b, "  %s,\n", e.inline())
			}
		}
		fmt.Fprintln(&b, "]")
	}
	return b.Bytes()
}

// readDay reads what text has written, or what a person has.
func readDay(file string) (day, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return day{}, err
	}
	d := day{head: table{}}
	if err := toml.Unmarshal(text, (*map[string]any)(&d.head)); err != nil {
		return day{}, fmt.Errorf("%s: %w", file, err)
	}
	for line := range strings.Lines(string(text)) {
		rest, is := strings.CutPrefix(line, "# ")
		if !is {
			break
		}
		d.comment += rest
	}
	for _, list := range lists {
		all, _ := d.head[list].([]any)
		for _, each := range all {
			t, is := each.(map[string]any)
			if !is {
				return day{}, fmt.Errorf("%s: %s has an entry that is no table", file, list)
			}
			d.entries = append(d.entries, entry{list, t})
		}
		delete(d.head, list)
	}
	return d, nil
}

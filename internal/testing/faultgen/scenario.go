package faultgen

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

// tomlTable is a TOML table of a scenario file. Keys that this package doesn't know are kept unchanged.
type tomlTable map[string]any

// scenario is one simulated day of a deployment. The events of the plan and of the faults are held separately from all
// other settings, which are in the header.
type scenario struct {
	comment string // lines at the head of the file, without the leading "# "
	header  tomlTable
	events  []event
}

// event is one fault or one piece of planned work.
type event struct {
	section string // "plan" or "faults"
	tomlTable
}

// at returns the time of the event, in seconds from the start of traffic.
func (e event) at() float64 { return toFloat(e.tomlTable["at"]) }

// durationS returns the duration of the event in seconds, 0 if it has none.
func (e event) durationS() float64 { return toFloat(e.tomlTable["for_s"]) }

// kindName returns the name of the event's kind.
func (e event) kindName() string { s, _ := e.tomlTable["kind"].(string); return s }

// variant returns the variant of the kind, with modifiers; empty for the plain kind.
func (e event) variant() string { s, _ := e.tomlTable["how"].(string); return s }

// toFloat converts a decoded TOML number to a float64. It returns 0 for anything else.
func toFloat(v any) float64 {
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

// sections holds the names of the arrays that contain events, in the order in which they are written.
var sections = []string{"plan", "faults"}

// leadingKeys holds the keys that are written first, in this order. The others follow by name.
var leadingKeys = []string{"name", "slot", "seed", "length_s", "closing", "at", "kind", "on", "class", "count", "share", "x", "for_s", "gap_s",
	"zone", "to_zone", "region", "service", "down_s", "how"}

// orderedKeys returns the keys of the table in the order in which they are written.
func (t tomlTable) orderedKeys() []string {
	rank := func(key string) int {
		if i := slices.Index(leadingKeys, key); i >= 0 {
			return i
		}
		return len(leadingKeys)
	}
	return slices.SortedFunc(maps.Keys(t), func(a, b string) int {
		if n := rank(a) - rank(b); n != 0 {
			return n
		}
		return strings.Compare(a, b)
	})
}

// formatValue formats a value as TOML on one line.
func formatValue(v any) string {
	switch v := v.(type) {
	case string:
		formatted, err := json.Marshal(v) // TOML has the same escapes as JSON
		if err != nil {
			panic(err)
		}
		return string(formatted)
	case float64:
		formatted := strconv.FormatFloat(v, 'f', -1, 64)
		if !strings.Contains(formatted, ".") {
			formatted += ".0"
		}
		return formatted
	case []any:
		var parts []string
		for _, element := range v {
			parts = append(parts, formatValue(element))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case map[string]any:
		return tomlTable(v).formatInline()
	case tomlTable:
		return v.formatInline()
	}
	return fmt.Sprint(v)
}

// formatInline formats the table as an inline TOML table.
func (t tomlTable) formatInline() string {
	var parts []string
	for _, key := range t.orderedKeys() {
		parts = append(parts, key+" = "+formatValue(t[key]))
	}
	return "{ " + strings.Join(parts, ", ") + " }"
}

// encode encodes the scenario as TOML. The same scenario always gives the same bytes.
func (d scenario) encode() []byte {
	var b bytes.Buffer
	for line := range strings.Lines(d.comment) {
		fmt.Fprintf(&b, "# %s\n", strings.TrimRight(line, "\n"))
	}
	for _, key := range d.header.orderedKeys() {
		fmt.Fprintf(&b, "%s = %s\n", key, formatValue(d.header[key]))
	}
	for _, section := range sections {
		fmt.Fprintf(&b, "%s = [\n", section)
		for _, ev := range d.events {
			if ev.section == section {
				fmt.Fprintf(&b, "  %s,\n", ev.formatInline())
			}
		}
		fmt.Fprintln(&b, "]")
	}
	return b.Bytes()
}

// readScenario reads a scenario file, written by encode or by hand.
func readScenario(file string) (scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return scenario{}, err
	}
	result := scenario{header: tomlTable{}}
	if err := toml.Unmarshal(text, (*map[string]any)(&result.header)); err != nil {
		return scenario{}, fmt.Errorf("%s: %w", file, err)
	}
	for line := range strings.Lines(string(text)) {
		comment, ok := strings.CutPrefix(line, "# ")
		if !ok {
			break
		}
		result.comment += comment
	}
	for _, section := range sections {
		items, _ := result.header[section].([]any)
		for i, item := range items {
			fields, ok := item.(map[string]any)
			if !ok {
				return scenario{}, fmt.Errorf("%s: entry %d of %s: expected a table, got %T, which is no table", file, i+1, section, item)
			}
			result.events = append(result.events, event{section, fields})
		}
		delete(result.header, section)
	}
	return result, nil
}

// Package config reads what a gatekeeper is told: the platform's JSON file, an
// operator's JSON file, and an operator's HCL file. All three give the same Config;
// what is at fault is said with its file and line.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"foxwood/internal/link"
	"foxwood/internal/openapi"
	"foxwood/internal/platform"
	"foxwood/internal/settings"
	"foxwood/policy"
)

// Limits is what the process may hold.
type Limits struct {
	MemoryMB int `json:"memory_mb" hcl:"memory_mb,optional"`
	Sockets  int `json:"sockets" hcl:"sockets,optional"`
}

// Config is a gatekeeper's configuration.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // 64 bits in hexadecimal digits; drawn anew where empty
	Limits    Limits `json:"limits"`
	Counter   string `json:"counter"`
	// Control is the address of the operators' door; there is none if empty.
	Control string        `json:"control"`
	Known   platform.List `json:"known"`
	// Settings is the settings object as the simulator gives it. An HCL file states
	// the same in blocks, and leaves it empty.
	Settings json.RawMessage `json:"settings"`

	// OpenAPI is not on the platform: an operator's file sets the front up by it.
	OpenAPI *openapi.Config `json:"openapi"`
	// XDS is the address to hand decisions off at; nothing is served if empty.
	XDS string `json:"xds"`
	// Transport is how the workers are spoken to: one at a time, unless an HCL file
	// says otherwise.
	Transport link.Transport `json:"-"`

	// Capture is where what the module is told is kept; nothing is where it is nil.
	Capture *Capture `json:"-"`

	terms *terms // of an HCL file
	keys  keys   // of a JSON file
}

// Capture is how captures are kept.
type Capture struct {
	Folder    string  `hcl:"folder"`
	Key       string  `hcl:"key,optional"` // file with the key; ids stand as they are without
	SegmentMB int64   `hcl:"segment_mb,optional"`
	KeptMB    int64   `hcl:"kept_mb,optional"`
	KeptHours float64 `hcl:"kept_hours,optional"`
	Warm      bool    `hcl:"warm,optional"` // a start goes on from what the last life knew
}

// terms is what an HCL file says in the place of the settings object.
type terms struct {
	set   policy.Settings
	names settings.Names
}

// Terms is the settings for the decision module, and the names that go with them.
func (c *Config) Terms() (policy.Settings, settings.Names, error) {
	if c.terms != nil {
		return c.terms.set, c.terms.names, nil
	}
	return settings.Parse(c.Settings)
}

// SeedBits is the seed as a number; ok is false where none is stated.
func (c *Config) SeedBits() (seed uint64, ok bool, err error) {
	if c.Seed == "" {
		return 0, false, nil
	}
	if seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return 0, false, fmt.Errorf("configuration: seed: %w", err)
	}
	return seed, true, nil
}

// Read reads a configuration file: HCL where its name ends in .hcl, JSON else. The
// error joins every fault found, each with file and line.
func Read(file string) (Config, error) {
	if file == "" {
		return Config{}, errors.New("configuration: no file is named: give --config FILE, or set EDGE_CONFIG")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	if strings.EqualFold(filepath.Ext(file), ".hcl") {
		return parseHCL(file, text)
	}
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("configuration: %s: %w", place(file, text, err), err)
	}
	var shape any
	_ = json.Unmarshal(text, &shape) // it has just been read
	c.keys = keysOf(shape)
	return c, nil
}

// Replaces refuses a file in the place of the one in force that lacks what that has: it
// was cut short or written by hand in haste, and half of it must not take effect.
func (c *Config) Replaces(inForce *Config) error {
	if lacks := inForce.keys.without(c.keys, ""); len(lacks) > 0 {
		return fmt.Errorf("configuration: the file in force has %s, the new one does not", strings.Join(lacks, ", "))
	}
	return nil
}

// keys is the shape of a JSON text: the keys of an object, each with the shape behind it.
// Behind a list's key stands what all its elements have in common.
type keys map[string]keys

// optional keys may go: the platform's page says that they may be absent, or an operator
// sets a part up by them.
var optional = map[string]bool{"aim-stretch": true, "known": true, "control": true, "openapi": true, "xds": true, "seed": true}

func keysOf(v any) keys {
	switch v := v.(type) {
	case map[string]any:
		k := keys{}
		for name, in := range v {
			k[name] = keysOf(in)
		}
		return k
	case []any:
		var common keys
		for i, in := range v {
			k := keysOf(in)
			if i == 0 {
				common = k
			}
			maps.DeleteFunc(common, func(name string, _ keys) bool { _, ok := k[name]; return !ok })
		}
		return common
	}
	return nil
}

// without lists the paths of the keys that other lacks.
func (k keys) without(other keys, path string) (lacks []string) {
	for _, name := range slices.Sorted(maps.Keys(k)) {
		in, ok := other[name]
		switch {
		case optional[name]:
		case !ok:
			lacks = append(lacks, path+name)
		default:
			lacks = append(lacks, k[name].without(in, path+name+".")...)
		}
	}
	return lacks
}

// place names the line of a JSON text that an error is about, as far as it tells.
func place(file string, text []byte, err error) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	var offset int64
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
	default:
		return file
	}
	return fmt.Sprintf("%s:%d", file, 1+strings.Count(string(text[:min(offset, int64(len(text)))]), "\n"))
}

// Check refuses a configuration whose other parties can't be reached as it names them.
func (c *Config) Check(counts bool) error {
	if counts && c.Counter == "" {
		return errors.New("configuration: the settings allow a counter, but none is named")
	}
	for _, other := range [...]struct{ name, addr string }{{"counter", c.Counter}, {"discovery", c.Discovery}, {"control", c.Control}} {
		if other.addr == "" {
			continue
		}
		if _, err := net.ResolveTCPAddr("tcp", other.addr); err != nil {
			return fmt.Errorf("configuration: %s: %w", other.name, err)
		}
	}
	return nil
}

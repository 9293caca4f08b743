// Package config reads the configuration of a gatekeeper: the platform's JSON file, an
// operator's JSON file or an operator's HCL file. All three give a Config. Errors name the
// file and the line.
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

	"foxwood/internal/dataplane/link"
	"foxwood/internal/gateway/openapi"
	"foxwood/internal/gateway/platform"
	"foxwood/internal/gateway/settings"
	"foxwood/policy"
)

// Limits is the resource limits of the process.
type Limits struct {
	MemoryMB int `json:"memory_mb" hcl:"memory_mb,optional"` // unlimited if 0
	Sockets  int `json:"sockets" hcl:"sockets,optional"`     // file descriptors; the system's limit if 0
}

// Config is the configuration of a gatekeeper.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // 64 bits in hexadecimal digits; random if empty
	Limits    Limits `json:"limits"`
	Counter   string `json:"counter"`
	// AdminAddress is the address of the admin server; there is none if it is empty.
	AdminAddress string              `json:"control"`
	KnownWorkers platform.WorkerList `json:"known"`
	// Settings is the settings object in the platform's form. It is empty for an HCL file,
	// which has blocks instead.
	Settings json.RawMessage `json:"settings"`

	// OpenAPI configures the OpenAPI frontend. It is nil on the platform.
	OpenAPI *openapi.Config `json:"openapi"`
	// XDS is the address of the xDS server; there is none if it is empty.
	XDS string `json:"xds"`
	// Transport is the transport to workers. Only an HCL file can set it; the default is one
	// request at a time per connection.
	Transport link.Transport `json:"-"`

	// Capture configures the capture of the decision module's inputs; there is none if it is
	// nil.
	Capture *Capture `json:"-"`

	hclTerms *policyTerms // of an HCL file
	jsonKeys keyTree      // of a JSON file
}

// Capture configures where and how long captures are kept.
type Capture struct {
	Dir          string  `hcl:"folder"`
	KeyFile      string  `hcl:"key,optional"` // file with the key that hides ids; without it they are stored unchanged
	SegmentMB    int64   `hcl:"segment_mb,optional"`
	MaxTotalMB   int64   `hcl:"kept_mb,optional"`
	MaxAgeHours  float64 `hcl:"kept_hours,optional"`
	RecoverState bool    `hcl:"warm,optional"` // a start recovers the state at the end of the last run
}

// policyTerms is the settings from an HCL file, in place of the settings object.
type policyTerms struct {
	settings policy.Settings
	names    settings.Names
}

// PolicySettings returns the settings of the decision module, and the names of classes, plans and zones
// that belong to them.
func (c *Config) PolicySettings() (policy.Settings, settings.Names, error) {
	if c.hclTerms != nil {
		return c.hclTerms.settings, c.hclTerms.names, nil
	}
	return settings.Parse(c.Settings)
}

// ParseSeed returns the seed as a number; ok is false if there is none.
func (c *Config) ParseSeed() (seed uint64, ok bool, err error) {
	if c.Seed == "" {
		return 0, false, nil
	}
	if seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return 0, false, fmt.Errorf("configuration: seed: expected 64 bits in hexadecimal digits: %w", err)
	}
	return seed, true, nil
}

// Read reads a configuration file: HCL if its name ends in .hcl, otherwise JSON. The error
// joins all errors found, each with file and line.
func Read(file string) (Config, error) {
	if file == "" {
		return Config{}, errors.New("configuration: no file given: use --config FILE or set EDGE_CONFIG")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	if strings.EqualFold(filepath.Ext(file), ".hcl") {
		return parseHCL(file, text)
	}
	var cfg Config
	if err := json.Unmarshal(text, &cfg); err != nil {
		return cfg, fmt.Errorf("configuration: %s: %w", errorPosition(file, text, err), err)
	}
	var decoded any
	_ = json.Unmarshal(text, &decoded) // can't fail, the text was decoded above
	cfg.jsonKeys = keyTreeOf(decoded)
	return cfg, nil
}

// CheckReplacement returns an error if the configuration lacks keys that the active one has. Such a
// file was truncated or edited by mistake, and must not take effect partly.
func (c *Config) CheckReplacement(inForce *Config) error {
	if missing := inForce.jsonKeys.missingFrom(c.jsonKeys, ""); len(missing) > 0 {
		return fmt.Errorf("configuration: the new file lacks keys of the active one: %s", strings.Join(missing, ", "))
	}
	return nil
}

// keyTree is the keys of a JSON object, each with the keys of its value. For a list these are
// the keys that all its elements have.
type keyTree map[string]keyTree

// optionalKeys may be missing in a new file: the platform's documentation makes them optional,
// or an operator uses them to enable a component.
var optionalKeys = map[string]bool{"aim-stretch": true, "known": true, "control": true, "openapi": true, "xds": true, "seed": true}

// keyTreeOf returns the keys of a decoded JSON value.
func keyTreeOf(value any) keyTree {
	switch value := value.(type) {
	case map[string]any:
		tree := keyTree{}
		for name, child := range value {
			tree[name] = keyTreeOf(child)
		}
		return tree
	case []any:
		var common keyTree
		for i, child := range value {
			tree := keyTreeOf(child)
			if i == 0 {
				common = tree
			}
			maps.DeleteFunc(common, func(name string, _ keyTree) bool { _, ok := tree[name]; return !ok })
		}
		return common
	}
	return nil
}

// missingFrom lists the paths of the keys that other lacks, except optional ones.
func (k keyTree) missingFrom(other keyTree, path string) (missing []string) {
	for _, name := range slices.Sorted(maps.Keys(k)) {
		child, ok := other[name]
		switch {
		case optionalKeys[name]:
		case !ok:
			missing = append(missing, path+name)
		default:
			missing = append(missing, k[name].missingFrom(child, path+name+".")...)
		}
	}
	return missing
}

// errorPosition returns the file and, if the error tells it, the line of a JSON error.
func errorPosition(file string, text []byte, err error) string {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	var offset int64
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
	default:
		return file
	}
	return fmt.Sprintf("%s:%d", file, 1+strings.Count(string(text[:min(offset, int64(len(text)))]), "\n"))
}

// CheckAddresses returns an error if the address of the counter, of discovery or of the admin server
// can't be resolved, or if the settings use a counter that has no address.
func (c *Config) CheckAddresses(counterEnabled bool) error {
	if counterEnabled && c.Counter == "" {
		return errors.New("configuration: the settings use a counter, but its address is missing")
	}
	for _, party := range [...]struct{ name, addr string }{{"counter", c.Counter}, {"discovery", c.Discovery}, {"control", c.AdminAddress}} {
		if party.addr == "" {
			continue
		}
		if _, err := net.ResolveTCPAddr("tcp", party.addr); err != nil {
			return fmt.Errorf("configuration: %s: %w", party.name, err)
		}
	}
	return nil
}

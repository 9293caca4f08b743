// Package bootconfig reads the settings file of a process, whose path is in the environment variable FOXWOOD_BOOT.
// Errors name each invalid field.
package bootconfig

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// EnvVariable is the environment variable that holds the path of the settings file.
const EnvVariable = "FOXWOOD_BOOT"

// Settings are the settings of a process. Unknown fields of the file are ignored.
type Settings struct {
	Node           string            `toml:"station"` // name of the node
	Role           string            `toml:"role"`
	Grade          string            `toml:"grade"`
	Carries        []string          `toml:"carries"`
	IP             string            `toml:"ip"`
	Zone           string            `toml:"zone"`
	Region         string            `toml:"region"`
	InnerPorts     []int             `toml:"innerDocks"`    // first and last of the ports for calls between processes
	SeedNodes      []string          `toml:"firstStations"` // addresses of the seed nodes
	FirstRun       bool              `toml:"firstRun"`      // the deployment starts for the first time
	Counted        bool              `toml:"counted"`
	DataDir        string            `toml:"archiveDir"` // folder for stored state
	ReportS        float64           `toml:"reportS"`
	Clauses        []string          `toml:"clauses"`
	TimeBounds     []string          `toml:"timeBounds"` // NAME=VALUE each, see Bounds
	VersionMode    string            `toml:"editionMode"`
	Metrics        string            `toml:"metrics"` // PORT/PATH at which to serve metrics; empty for none
	Zones          map[string]string `toml:"zones"`   // region of each zone
	Addresses      ServiceAddresses  `toml:"gates"`
	ResourceLimits ResourceLimits    `toml:"sizeLimits"`
	Tolerance      Tolerance         `toml:"tolerance"`
	PlatformAPI    PlatformAPI       `toml:"carrierApi"`

	Bounds Bounds `toml:"-"` // parsed from TimeBounds
}

// ServiceAddresses are the addresses at which a process serves external clients.
type ServiceAddresses struct {
	Clients   string `toml:"counter"`
	Readiness string `toml:"readiness"`
	Control   string `toml:"controlDesk"`
	Resolver  string `toml:"directoryDesk"`
}

// ResourceLimits are the resources of the machine that the process may use.
type ResourceLimits struct {
	CPUCores     float64 `toml:"cpuShare"` // cores
	MemoryMB     int     `toml:"memoryMb"`
	MaxOpenFiles int     `toml:"handles"`  // file descriptors
	NetworkMbps  float64 `toml:"lineMbps"` // network bandwidth
	DiskMB       float64 `toml:"diskMb"`
}

// Tolerance is the number of machines, zones and regions that may fail at the same time.
type Tolerance struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// PlatformAPI is the API in which the platform lists workers.
type PlatformAPI struct {
	Address  string  `toml:"address"`
	RatePerS float64 `toml:"ratePerS"`
	DelayS   float64 `toml:"delayS"`
}

// Bounds are the limits that the platform's rules set. Fields whose names end with S are in seconds.
type Bounds struct {
	ContactS        float64
	ReceiptS        float64
	SyncS           float64
	DrainS          float64
	GraceS          float64 // duration of a graceful shutdown
	VersionS        float64
	RevertSlackS    float64
	RevocationFinal bool    // API keys may be accepted only under a lease of RevokeS
	RevokeS         float64 // duration of the lease, from when the configuration was last confirmed as current
	RetryRatio      float64 // retries per request in a window of RetryWindowS
	RetryWindowS    float64
	RetrySlack      float64 // retries in a window that are allowed beyond RetryRatio
	QuotaWindowS    float64
	QuotaExcess     float64 // part by which a quota may be exceeded in a window of QuotaWindowS
	QuotaSlack      float64 // requests in a window that are allowed beyond QuotaExcess
	SlowStartExcess float64 // factor by which a worker's slow start rate may be exceeded
	SlowStartSlack  float64 // requests that are allowed beyond SlowStartExcess
	EvacuateS       float64
	RecoveryS       float64
	TTLMaxS         float64 // maximum validity of an answer with the addresses of gatekeepers
}

// defaultBounds apply where the file does not set a bound.
var defaultBounds = Bounds{
	ContactS: 5, ReceiptS: 8, SyncS: 4, DrainS: 2.5, GraceS: 6, VersionS: 2.5, RevertSlackS: 0.25, RevokeS: 5,
	RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 20, QuotaWindowS: 5, QuotaExcess: 0.1, QuotaSlack: 10,
	SlowStartExcess: 1.5, SlowStartSlack: 5, EvacuateS: 5, RecoveryS: 15, TTLMaxS: 5,
}

// byName returns the numeric bounds by their names in the file.
func (b *Bounds) byName() map[string]*float64 {
	return map[string]*float64{
		"contactS": &b.ContactS, "receiptS": &b.ReceiptS, "syncS": &b.SyncS, "drainS": &b.DrainS, "graceS": &b.GraceS,
		"editionS": &b.VersionS, "revertSlackS": &b.RevertSlackS, "revokeS": &b.RevokeS, "retryRatio": &b.RetryRatio,
		"retryWindowS": &b.RetryWindowS, "retrySlack": &b.RetrySlack, "quotaWindowS": &b.QuotaWindowS,
		"quotaExcess": &b.QuotaExcess, "quotaSlack": &b.QuotaSlack, "coldExcess": &b.SlowStartExcess,
		"coldSlack": &b.SlowStartSlack, "evacuateS": &b.EvacuateS, "recoveryS": &b.RecoveryS, "ttl_max_s": &b.TTLMaxS,
	}
}

// Read reads the settings file that the environment variable names.
func Read() (*Settings, error) {
	path := os.Getenv(EnvVariable)
	if path == "" {
		return nil, fmt.Errorf("settings: environment variable %s is not set, expected the path of the settings file", EnvVariable)
	}
	return ReadFile(path)
}

// ReadFile reads and checks a settings file.
func ReadFile(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	settings, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return settings, nil
}

// Parse parses and checks settings. Its error names every invalid field.
func Parse(document []byte) (*Settings, error) {
	settings := &Settings{Bounds: defaultBounds}
	if err := toml.NewDecoder(bytes.NewReader(document)).Decode(settings); err != nil {
		return nil, err
	}
	var faults []error
	addFault := func(field, format string, args ...any) {
		faults = append(faults, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
	}
	if settings.Node == "" {
		addFault("station", "is missing")
	}
	if net.ParseIP(settings.IP).To4() == nil {
		addFault("ip", "%q is not an IPv4 address", settings.IP)
	}
	if settings.Zone == "" {
		addFault("zone", "is missing")
	}
	if len(settings.InnerPorts) != 2 || settings.InnerPorts[0] <= 0 || settings.InnerPorts[1] < settings.InnerPorts[0]+1 || settings.InnerPorts[1] > 65535 {
		addFault("innerDocks", "%v is not a range of two ports or more", settings.InnerPorts)
	}
	if len(settings.SeedNodes) == 0 {
		addFault("firstStations", "is empty, expected at least one address")
	}
	for i, host := range settings.SeedNodes {
		if _, _, err := net.SplitHostPort(host); err != nil {
			addFault(fmt.Sprintf("firstStations[%d]", i), "%q is not an address with a port", host)
		}
	}
	if settings.ResourceLimits.MemoryMB < 0 || settings.ResourceLimits.MaxOpenFiles < 0 {
		addFault("sizeLimits", "memoryMb is %d and handles is %d, expected no negative number", settings.ResourceLimits.MemoryMB, settings.ResourceLimits.MaxOpenFiles)
	}
	boundsByName := settings.Bounds.byName()
	for i, pair := range settings.TimeBounds {
		name, value, ok := strings.Cut(pair, "=")
		field := fmt.Sprintf("timeBounds[%d]", i)
		if name = strings.TrimSpace(name); !ok {
			addFault(field, "%q is not name=value", pair)
			continue
		}
		value = strings.TrimSpace(value)
		if name == "revocationFinal" {
			parsed, err := strconv.ParseBool(value)
			if err != nil {
				addFault(field, "%s: %q is neither true nor false", name, value)
			}
			settings.Bounds.RevocationFinal = parsed
			continue
		}
		bound := boundsByName[name]
		if bound == nil {
			continue // unknown bounds are ignored: the platform may add new ones
		}
		parsed, err := strconv.ParseFloat(value, 64)
		if err != nil || parsed < 0 || math.IsInf(parsed, 0) || math.IsNaN(parsed) {
			addFault(field, "%s: %q is not a finite number of at least 0", name, value)
			continue
		}
		*bound = parsed
	}
	return settings, errors.Join(faults...)
}

// InnerAddress returns the address for calls between processes of a program on this machine, by its number.
func (s *Settings) InnerAddress(program int) string { return s.InnerAddressOf(s.IP, program) }

// InnerAddressOf returns the address for calls between processes of a program on the machine with the IP.
func (s *Settings) InnerAddressOf(ip string, program int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InnerPorts[0]+program))
}

// SeedAddresses returns the addresses for calls between processes of a program on the seed nodes.
func (s *Settings) SeedAddresses(program int) []string {
	seeds := make([]string, 0, len(s.SeedNodes))
	for _, address := range s.SeedNodes {
		host, _, _ := net.SplitHostPort(address)
		seeds = append(seeds, s.InnerAddressOf(host, program))
	}
	return seeds
}

// RegionOf returns the region of a zone, or the zone itself if its region is unknown.
func (s *Settings) RegionOf(zone string) string {
	if region, ok := s.Zones[zone]; ok {
		return region
	}
	return zone
}

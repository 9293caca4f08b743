// Package bootconfig reads the settings file that a process of the system is told by
// FOXWOOD_BOOT, and says of each fault which field has it.
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

// Variable names the environment's variable that holds the file's path.
const Variable = "FOXWOOD_BOOT"

// Settings is what a process is told. Fields that are not known are ignored.
type Settings struct {
	Station       string            `toml:"station"`
	Role          string            `toml:"role"`
	Grade         string            `toml:"grade"`
	Carries       []string          `toml:"carries"`
	IP            string            `toml:"ip"`
	Zone          string            `toml:"zone"`
	Region        string            `toml:"region"`
	InnerDocks    []int             `toml:"innerDocks"`
	FirstStations []string          `toml:"firstStations"`
	FirstRun      bool              `toml:"firstRun"`
	Counted       bool              `toml:"counted"`
	ArchiveDir    string            `toml:"archiveDir"`
	ReportS       float64           `toml:"reportS"`
	Clauses       []string          `toml:"clauses"`
	TimeBounds    []string          `toml:"timeBounds"`
	EditionMode   string            `toml:"editionMode"`
	Metrics       string            `toml:"metrics"` // PORT/PATH where the process is to tell its figures; empty for nowhere
	Zones         map[string]string `toml:"zones"`
	Gates         Gates             `toml:"gates"`
	SizeLimits    SizeLimits        `toml:"sizeLimits"`
	Tolerance     Tolerance         `toml:"tolerance"`
	CarrierAPI    CarrierAPI        `toml:"carrierApi"`

	Bounds Bounds `toml:"-"` // what TimeBounds says
}

// Gates are the addresses that a process serves at.
type Gates struct {
	Counter       string `toml:"counter"`
	Readiness     string `toml:"readiness"`
	ControlDesk   string `toml:"controlDesk"`
	DirectoryDesk string `toml:"directoryDesk"`
}

// SizeLimits are what the machine allows the process.
type SizeLimits struct {
	CPUShare float64 `toml:"cpuShare"`
	MemoryMB int     `toml:"memoryMb"`
	Handles  int     `toml:"handles"`
	LineMbps float64 `toml:"lineMbps"`
	DiskMB   float64 `toml:"diskMb"`
}

// Tolerance is what may be lost at once.
type Tolerance struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// CarrierAPI is where the platform lists workers.
type CarrierAPI struct {
	Address  string  `toml:"address"`
	RatePerS float64 `toml:"ratePerS"`
	DelayS   float64 `toml:"delayS"`
}

// Bounds are the figures of the rules, times in seconds.
type Bounds struct {
	ContactS, ReceiptS, SyncS, DrainS, GraceS, EditionS, RevertSlackS float64
	RevocationFinal                                                   bool
	RevokeS                                                           float64
	RetryRatio, RetryWindowS, RetrySlack                              float64
	QuotaWindowS, QuotaExcess, QuotaSlack                             float64
	ColdExcess, ColdSlack                                             float64
	EvacuateS, RecoveryS, TTLMaxS                                     float64
}

// fallback holds where the file does not say.
var fallback = Bounds{
	ContactS: 5, ReceiptS: 8, SyncS: 4, DrainS: 2.5, GraceS: 6, EditionS: 2.5, RevertSlackS: 0.25, RevokeS: 5,
	RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 20, QuotaWindowS: 5, QuotaExcess: 0.1, QuotaSlack: 10,
	ColdExcess: 1.5, ColdSlack: 5, EvacuateS: 5, RecoveryS: 15, TTLMaxS: 5,
}

// figures are the names of the bounds.
func (b *Bounds) figures() map[string]*float64 {
	return map[string]*float64{
		"contactS": &b.ContactS, "receiptS": &b.ReceiptS, "syncS": &b.SyncS, "drainS": &b.DrainS, "graceS": &b.GraceS,
		"editionS": &b.EditionS, "revertSlackS": &b.RevertSlackS, "revokeS": &b.RevokeS, "retryRatio": &b.RetryRatio,
		"retryWindowS": &b.RetryWindowS, "retrySlack": &b.RetrySlack, "quotaWindowS": &b.QuotaWindowS,
		"quotaExcess": &b.QuotaExcess, "quotaSlack": &b.QuotaSlack, "coldExcess": &b.ColdExcess,
		"coldSlack": &b.ColdSlack, "evacuateS": &b.EvacuateS, "recoveryS": &b.RecoveryS, "ttl_max_s": &b.TTLMaxS,
	}
}

// Read reads the file that the environment names.
func Read() (*Settings, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return nil, fmt.Errorf("settings: %s is not set", Variable)
	}
	return File(path)
}

// File reads a settings file.
func File(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks settings. The error names every field that has a fault.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{Bounds: fallback}
	if err := toml.NewDecoder(bytes.NewReader(text)).Decode(s); err != nil {
		return nil, err
	}
	var faults []error
	wrong := func(field, format string, a ...any) {
		faults = append(faults, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, a...)))
	}
	if s.Station == "" {
		wrong("station", "is missing")
	}
	if net.ParseIP(s.IP).To4() == nil {
		wrong("ip", "%q is not an IPv4 address", s.IP)
	}
	if s.Zone == "" {
		wrong("zone", "is missing")
	}
	if len(s.InnerDocks) != 2 || s.InnerDocks[0] <= 0 || s.InnerDocks[1] < s.InnerDocks[0]+1 || s.InnerDocks[1] > 65535 {
		wrong("innerDocks", "%v is not a range of two ports or more", s.InnerDocks)
	}
	if len(s.FirstStations) == 0 {
		wrong("firstStations", "names nobody")
	}
	for i, a := range s.FirstStations {
		if _, _, err := net.SplitHostPort(a); err != nil {
			wrong(fmt.Sprintf("firstStations[%d]", i), "%q is not an address", a)
		}
	}
	if s.SizeLimits.MemoryMB < 0 || s.SizeLimits.Handles < 0 {
		wrong("sizeLimits", "below nothing")
	}
	figures := s.Bounds.figures()
	for i, pair := range s.TimeBounds {
		name, value, ok := strings.Cut(pair, "=")
		field := fmt.Sprintf("timeBounds[%d]", i)
		if name = strings.TrimSpace(name); !ok {
			wrong(field, "%q is not name=value", pair)
			continue
		}
		value = strings.TrimSpace(value)
		if name == "revocationFinal" {
			v, err := strconv.ParseBool(value)
			if err != nil {
				wrong(field, "%s is neither true nor false", name)
			}
			s.Bounds.RevocationFinal = v
			continue
		}
		at := figures[name]
		if at == nil {
			continue // new ones may be added
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || v < 0 || math.IsInf(v, 0) || math.IsNaN(v) {
			wrong(field, "%s: %q is not a figure", name, value)
			continue
		}
		*at = v
	}
	return s, errors.Join(faults...)
}

// Inner is the address at which the n-th program of this machine is called by others.
func (s *Settings) Inner(n int) string { return s.At(s.IP, n) }

// At is the address of the n-th program of the machine with an IP.
func (s *Settings) At(ip string, n int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InnerDocks[0]+n))
}

// Seeds are the addresses of the n-th program on the first stations.
func (s *Settings) Seeds(n int) []string {
	seeds := make([]string, 0, len(s.FirstStations))
	for _, a := range s.FirstStations {
		host, _, _ := net.SplitHostPort(a)
		seeds = append(seeds, s.At(host, n))
	}
	return seeds
}

// RegionOf is the region of a zone, the zone itself where it is not known.
func (s *Settings) RegionOf(zone string) string {
	if r, ok := s.Zones[zone]; ok {
		return r
	}
	return zone
}

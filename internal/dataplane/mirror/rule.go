package mirror

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"
)

// FlowSource says which part of a request holds the flow's name.
type FlowSource struct {
	Kind string // header, cookie, trace (W3C traceparent) or caller (tenant plus a header)
	Name string // of the header or cookie; empty for trace
}

// Target is a mirror target: a service that receives copies of one route or one destination.
type Target struct {
	Route       string // set if Destination is empty
	Destination string // set if Route is empty
	Address     string // ip:port in the format of netip.AddrPort
	Region      string // region of the target; empty means any
}

// Rule is an operator's mirroring rule. It is immutable, so it may be read by several goroutines.
type Rule struct {
	Number          uint64 // increases with each rule
	Stopped         bool   // mirroring is off
	Routes          []string
	Share           float64 // part of the flows to mirror, 0 to 1
	Key             string  // key of the flow hash
	FlowSource      FlowSource
	ExcludedTenants []string
	Targets         []Target
	CollectorRegion string // only members in this region collect flows; empty means any

	MaxBytesPerS, MaxRequestsPerS float64  // for all mirror targets together; 0 means no limit
	DeliverBroken                 bool     // otherwise broken flows are withheld
	ExcludedHeaders               []string // removed in addition to credentials and cookies
	KeptCookies                   []string // all other cookies are removed
	MaxBodyBytes                  int      // limit for a request body, in bytes
	IdleTimeoutS                  float64  // idle timeout: a flow ends after this time without a request
	MaxDurationS                  float64  // a flow that lasts longer is broken
	ResponseTimeoutS              float64  // how long a finished flow waits for gatekeepers that do not respond
	GoneAfterS                    float64  // an unlisted gatekeeper without response for this time is taken to be gone; 0 means never
	TargetTimeoutS                float64  // limit for a mirror target's answer

	raw        []byte
	scopeHash  uint64 // hash of all fields that affect flow IDs, collectors or targets, without the share
	threshold  uint64
	selectsAll bool
	seed       uint64
}

// ParseRule parses a mirroring rule in JSON and returns all faults with their fields. It does not
// keep the body.
//
//	{"number": 7, "routes": ["quotes"], "share": 0.1, "key": "...",
//	 "journey": {"from": "cookie", "name": "visit"},
//	 "shadows": [{"destination": "rates", "address": "10.0.0.9:8080", "region": "north"}],
//	 "tenantsOut": [], "region": "", "bytesPerS": 1e6, "requestsPerS": 100, "broken": "hold",
//	 "headersOut": [], "cookiesKept": [], "maxBody": 65536, "endS": 1800, "spanS": 86400,
//	 "patienceS": 600, "goneS": 0, "timeoutS": 5}
//
// A rule that stops mirroring is {"number": 8, "stopped": true}.
func ParseRule(body []byte) (*Rule, []Fault) {
	parser := ruleParser{}
	rule := parser.parse(body)
	if len(parser.faults) > 0 {
		return nil, parser.faults
	}
	rule.raw = slices.Clone(body)
	rule.precompute()
	return rule, nil
}

// Raw returns the JSON from which the rule was parsed.
func (o *Rule) Raw() []byte { return o.raw }

// CheckSuccessor returns nil if the rule may replace the previous one, which may be nil, and otherwise the
// reason why not.
func (o *Rule) CheckSuccessor(previous *Rule) *Fault {
	if previous != nil && o.Number <= previous.Number {
		return &Fault{StaleNumber, "number", fmt.Sprintf("%d is not above %d, the last order's", o.Number, previous.Number)}
	}
	return nil
}

// LiveTargetFaults returns a fault for each mirror target whose address belongs to a live worker.
func (o *Rule) LiveTargetFaults(liveAddresses map[string]bool) (faults []Fault) {
	for i, target := range o.Targets {
		for liveAddress := range liveAddresses {
			if !strings.HasSuffix(liveAddress, target.Address[strings.LastIndexByte(target.Address, ':'):]) {
				continue // different port
			}
			if sameAddress(liveAddress, target.Address) {
				faults = append(faults, Fault{LiveAddress, fmt.Sprintf("shadows[%d].address", i), target.Address + " is a live worker's"})
				break
			}
		}
	}
	return faults
}

// sameAddress reports whether two ip:port texts mean the same address. An IPv4-mapped IPv6 address
// equals the IPv4 address.
func sameAddress(a, b string) bool {
	if a == b {
		return true
	}
	x, err := netip.ParseAddrPort(a)
	y, err2 := netip.ParseAddrPort(b)
	return err == nil && err2 == nil && normalizeAddress(x) == normalizeAddress(y)
}

// normalizeAddress removes the IPv4-in-IPv6 mapping and the zone.
func normalizeAddress(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap().WithZone(""), a.Port())
}

// precompute sets the fields that are derived from the others for flow selection.
func (o *Rule) precompute() {
	if o.Stopped {
		return
	}
	o.threshold, o.selectsAll = thresholdOf(o.Share)
	o.seed = xxh3.HashString(o.Key)
	var encoded []byte
	add := func(texts ...string) {
		for _, text := range texts {
			encoded = binary.AppendUvarint(encoded, uint64(len(text)))
			encoded = append(encoded, text...)
		}
		encoded = append(encoded, 0xff)
	}
	add(o.Key, o.FlowSource.Kind, strings.ToLower(o.FlowSource.Name), o.CollectorRegion)
	add(slices.Sorted(slices.Values(o.Routes))...)
	add(slices.Sorted(slices.Values(o.ExcludedTenants))...)
	for _, target := range o.Targets {
		add(target.Route, target.Destination, target.Address, target.Region)
	}
	add(fmt.Sprint(o.IdleTimeoutS, o.MaxDurationS))
	o.scopeHash = max(xxh3.Hash(encoded), 1)
}

// thresholdOf returns the threshold of a share: flows with a smaller hash are selected.
func thresholdOf(share float64) (cut uint64, all bool) {
	if share >= 1 {
		return math.MaxUint64, true
	}
	return uint64(math.Ldexp(share, 64)), false
}

// target returns the mirror target of a request, or nil. A target for the route takes precedence
// over one for the destination.
func (o *Rule) target(route, destination string) *Target {
	for i := range o.Targets {
		if target := &o.Targets[i]; target.Route != "" && target.Route == route {
			return target
		}
	}
	for i := range o.Targets {
		if target := &o.Targets[i]; target.Route == "" && target.Destination == destination {
			return target
		}
	}
	return nil
}

// Package api holds the messages of the calls between the system's processes: a pair of types, question and answer,
// for each call. Times are durations in milliseconds, because the clocks of different machines don't agree.
package api

import (
	"foxwood/internal/control/membership"
	"foxwood/internal/dataplane/mirror"
)

// SessionRequest renews a gatekeeper's session at a registry and asks for updates. It is a long poll: the answer comes with the
// first update, or when WaitMS is over.
type SessionRequest struct {
	Member             membership.Member `cbor:"1,keyasint,omitempty"`
	ConfigVersion      uint64            `cbor:"2,keyasint,omitempty"` // configuration version held
	EvacuationNumber   uint64            `cbor:"3,keyasint,omitempty"` // number of the set of evacuated zones held
	EndpointsVersion   uint64            `cbor:"4,keyasint,omitempty"` // endpoint list version last announced to it
	MembersChecksum    uint64            `cbor:"5,keyasint,omitempty"` // checksum of the member list held
	RegistriesChecksum uint64            `cbor:"6,keyasint,omitempty"` // checksum of the registry list held
	WaitMS             float64           `cbor:"7,keyasint,omitempty"`
	Leaving            bool              `cbor:"8,keyasint,omitempty"`
	// WantConfig and WantEndpoints ask the registry for state that was announced and that the zone homes did not deliver: the
	// configuration, and endpoint lists by destination with the version held.
	WantConfig    bool              `cbor:"9,keyasint,omitempty"`
	WantEndpoints map[string]uint64 `cbor:"10,keyasint,omitempty"`

	MirrorOrderNumber uint64 `cbor:"11,keyasint,omitempty"` // number of the traffic mirroring order held
	// MirrorsTraffic reports that the gatekeeper mirrors traffic and so needs the seats of all members. SeatsChecksum is the checksum of
	// those it holds.
	MirrorsTraffic bool   `cbor:"12,keyasint,omitempty"`
	SeatsChecksum  uint64 `cbor:"13,keyasint,omitempty"`

	WithdrawnChecksum uint64 `cbor:"14,keyasint,omitempty"` // checksum of the withdrawn workers last received
}

// SessionResponse answers SessionRequest with updates. What has not changed is left out.
type SessionResponse struct {
	// AsOf is when the tail of the configuration store's chain was last asked, relative to the arrival of SessionRequest; it is
	// negative if that was earlier. The answer holds everything that was acknowledged by then.
	AsOf float64 `cbor:"1,keyasint,omitempty"`
	// Stale reports that the tail has not been reached for long, so that another registry may know more.
	Stale bool `cbor:"2,keyasint,omitempty"`

	// Settled reports that the member list is complete: all registries have been in contact for long enough.
	Settled bool `cbor:"3,keyasint,omitempty"`

	// RestartedRecently reports that an earlier incarnation of this gatekeeper started so recently that its initial tokens may still
	// count against the quotas.
	RestartedRecently bool `cbor:"15,keyasint,omitempty"`

	ConfigVersion uint64 `cbor:"4,keyasint,omitempty"`
	Config        []byte `cbor:"5,keyasint,omitempty"`  // a newer configuration, for its zone home and for callers that ask for it
	ConfigBytes   int    `cbor:"14,keyasint,omitempty"` // its length in bytes, if Config is left out

	EvacuationNumber uint64   `cbor:"6,keyasint,omitempty"`
	HasEvacuated     bool     `cbor:"7,keyasint,omitempty"`
	Evacuated        []string `cbor:"8,keyasint,omitempty"`
	// RevokedEvacuations holds the zones whose evacuation was revoked after the number held, even if the gatekeeper never received
	// the evacuation itself.
	RevokedEvacuations []string `cbor:"23,keyasint,omitempty"`

	EndpointChanges *EndpointChanges       `cbor:"9,keyasint,omitempty"`
	Endpoints       []DestinationEndpoints `cbor:"13,keyasint,omitempty"` // for the destinations' zone homes and for callers that ask for them

	Members *MemberView `cbor:"10,keyasint,omitempty"`

	Registries         []Registry `cbor:"11,keyasint,omitempty"` // all known registries
	RegistriesChecksum uint64     `cbor:"12,keyasint,omitempty"` // their checksum

	MirrorOrderNumber uint64 `cbor:"20,keyasint,omitempty"` // number of the newer traffic mirroring order in MirrorOrder
	MirrorOrder       []byte `cbor:"16,keyasint,omitempty"`

	Seats         []mirror.Member `cbor:"17,keyasint,omitempty"` // of all members, for gatekeepers that mirror traffic
	SeatsChecksum uint64          `cbor:"18,keyasint,omitempty"` // their checksum, set even if Seats is left out as unchanged
	// SeatsAsOf is the time, relative as AsOf, at which Seats held all members.
	SeatsAsOf float64 `cbor:"19,keyasint,omitempty"`

	Withdrawn         []WithdrawnWorker `cbor:"21,keyasint,omitempty"`
	WithdrawnChecksum uint64            `cbor:"22,keyasint,omitempty"` // checksum of the withdrawn workers
}

// MemberView is a gatekeeper's view of the other members.
type MemberView struct {
	Checksum        uint64   `cbor:"1,keyasint,omitempty"` // checksum
	MemberIndex     int      `cbor:"2,keyasint,omitempty"` // the gatekeeper's member index
	MemberCount     int      `cbor:"3,keyasint,omitempty"` // number of members
	Peers           []string `cbor:"4,keyasint,omitempty"` // inner addresses of the gatekeepers in its region, zone peers first
	ZonePeerIndexes []int    `cbor:"5,keyasint,omitempty"` // member indices of the zone peers, in the order of Peers
}

// Registry is a registry and its zone, which is empty until the registry has announced it.
type Registry struct {
	Addr string `cbor:"1,keyasint,omitempty"`
	Zone string `cbor:"2,keyasint,omitempty"`
}

// Worker is an endpoint on the platform's list.
type Worker struct {
	ID              string  `cbor:"1,keyasint,omitempty"`
	Destination     string  `cbor:"2,keyasint,omitempty"`
	Addr            string  `cbor:"3,keyasint,omitempty"`
	Zone            string  `cbor:"4,keyasint,omitempty"`
	Version         string  `cbor:"5,keyasint,omitempty"` // version that the worker runs
	Slots           int     `cbor:"6,keyasint,omitempty"` // concurrency slots
	Draining        bool    `cbor:"7,keyasint,omitempty"` // it is draining
	Removed         bool    `cbor:"8,keyasint,omitempty"` // in lists of changes: it is no longer listed
	SlowStartLeftMS float64 `cbor:"9,keyasint,omitempty"` // milliseconds of slow start that remain
}

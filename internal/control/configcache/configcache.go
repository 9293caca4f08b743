// Package configcache is a gatekeeper's cache of control data: the configuration, the evacuated
// zones, the traffic-mirroring order and the workers of each destination. It tracks what has been
// announced but not yet received, decides which zone peer to request it from, and answers the
// requests of zone peers. Versions only rise: older data is ignored, whoever sends it.
//
// Within a zone, each destination and the configuration have one owner, the zone home: the registry
// sends it the data, and the other gatekeepers of the zone request the data from it. Times are
// milliseconds of the caller's monotonic clock.
package configcache

import (
	"maps"
	"slices"

	"foxwood/internal/control/membership"
	"foxwood/internal/rpc/api"
)

// ConfigurationKey is the key that selects the zone home of the configuration, in the same key space as
// the destinations' names.
const ConfigurationKey = "timetable"

// ownerRetryDelayMs is how long no request goes to a zone home that failed, was late or held less
// than was announced. Without it, an owner that is down would delay every update.
const ownerRetryDelayMs = 1000

// Cache is the control data that one gatekeeper holds. It is not safe for concurrent use.
type Cache struct {
	edition          uint64
	body             []byte
	announcedEdition uint64 // highest version announced by a registry
	announcedBytes   int    // size of the announced configuration, 0 if unknown
	requestedEdition uint64 // version last requested from a zone home

	evacuationVersion uint64
	evacuatedZones    []string
	endedEvacuations  []string // zones whose evacuation ended, until Cache.TakeEndedEvacuations returns them

	mirrorOrderNumber uint64 // number of the traffic-mirroring order held
	mirrorOrder       []byte

	withdrawn     map[string]uint64 // workers withdrawn without the duty holder, with the endpoint version known to the registry that withdrew them
	withdrawnHash uint64            // hash of the list of withdrawn workers last received

	announcedVersion uint64 // endpoint version up to which all changes have been announced
	destinations     map[string]*destination
	avoidUntil       map[string]float64 // zone homes that get no request, and until when
}

// destination holds the workers of one destination, and which versions of them are known.
type destination struct {
	version, wantedVersion uint64 // version held, and lowest version that is sufficient
	requestedVersion       uint64 // version last requested from a zone home
	revision               uint64 // rises whenever the workers change
	changesSince           uint64 // all changes after this version are known
	workers                map[string]cachedWorker
	removed                map[string]removedWorker
}

// cachedWorker is a worker with the version at which it last changed.
type cachedWorker struct {
	api.Worker
	coldUntil      float64 // end of the cold period
	changedVersion uint64
}

// removedWorker is a worker that is no longer listed.
type removedWorker struct {
	removedAt      float64
	changedVersion uint64
}

// removedRetentionMs is how long the removal of a worker is remembered. A peer that asks for
// changes since an earlier version gets the full list.
const removedRetentionMs = 30_000

// New returns an empty cache.
func New() *Cache {
	return &Cache{destinations: map[string]*destination{}, avoidUntil: map[string]float64{}}
}

// destination returns the entry of a destination, which it creates if necessary.
func (c *Cache) destination(name string) *destination {
	d := c.destinations[name]
	if d == nil {
		d = &destination{workers: map[string]cachedWorker{}, removed: map[string]removedWorker{}}
		c.destinations[name] = d
	}
	return d
}

// FillHeartbeat fills the heartbeat's fields that state what is held. Data still missing is requested
// from the registry: by then the zone homes have been asked.
func (c *Cache) FillHeartbeat(heartbeat *api.SessionRequest) {
	heartbeat.ConfigVersion, heartbeat.EvacuationNumber, heartbeat.EndpointsVersion, heartbeat.WantConfig, heartbeat.WantEndpoints, heartbeat.MirrorOrderNumber = c.edition, c.evacuationVersion, c.announcedVersion, c.announcedEdition > c.edition, nil, c.mirrorOrderNumber
	heartbeat.WithdrawnChecksum = c.withdrawnHash
	for name, d := range c.destinations {
		if d.version < d.wantedVersion {
			if heartbeat.WantEndpoints == nil {
				heartbeat.WantEndpoints = map[string]uint64{}
			}
			heartbeat.WantEndpoints[name] = d.version
		}
	}
}

// ApplyAnswer applies a registry's answer, except for the configuration's body.
func (c *Cache) ApplyAnswer(now float64, answer *api.SessionResponse) {
	if answer.ConfigVersion > c.announcedEdition {
		c.announcedEdition, c.announcedBytes = answer.ConfigVersion, answer.ConfigBytes
	}
	if answer.HasEvacuated {
		if answer.EvacuationNumber > c.evacuationVersion {
			c.endedEvacuations = append(c.endedEvacuations, answer.RevokedEvacuations...)
		}
		c.SetEvacuatedZones(answer.EvacuationNumber, answer.Evacuated)
	}
	c.SetMirrorOrder(answer.MirrorOrderNumber, answer.MirrorOrder)
	defer c.withdraw(answer)
	marks := answer.EndpointChanges
	if marks != nil {
		for name, behind := range marks.VersionsBehind {
			d := c.destination(name)
			d.wantedVersion = max(d.wantedVersion, marks.Version-behind)
		}
		for name, d := range c.destinations {
			if _, named := marks.VersionsBehind[name]; marks.Complete && !named && d.version < marks.Version {
				d.apply(marks.Version, nil, true, now)
			}
		}
		c.announcedVersion = max(c.announcedVersion, marks.Version)
	}
	c.AddParts(now, answer.Endpoints)
	if marks != nil { // unchanged destinations are valid for the new version too
		for _, d := range c.destinations {
			if d.version >= d.wantedVersion {
				d.version = max(d.version, marks.Version)
			}
		}
	}
}

// AddParts adds workers of destinations. Changes relative to a version that is not held are ignored,
// as they would leave a gap.
func (c *Cache) AddParts(now float64, parts []api.DestinationEndpoints) {
	for _, part := range parts {
		if d := c.destination(part.Destination); part.Version > d.version && (part.Since == 0 || part.Since <= d.version) {
			d.apply(part.Version, part.Workers, part.Since == 0, now)
		}
	}
}

// apply applies the workers of a version: the full list, or the changes since the version held.
func (d *destination) apply(version uint64, workers []api.Worker, whole bool, now float64) {
	if whole { // changes between the old version and this one are unknown
		clear(d.workers)
		clear(d.removed)
		d.changesSince = version
	}
	for id, removed := range d.removed {
		if now-removed.removedAt > removedRetentionMs {
			d.changesSince = max(d.changesSince, removed.changedVersion)
			delete(d.removed, id)
		}
	}
	for _, worker := range workers {
		if worker.Removed {
			delete(d.workers, worker.ID)
			d.removed[worker.ID] = removedWorker{now, version}
			continue
		}
		delete(d.removed, worker.ID)
		cached := cachedWorker{Worker: worker, changedVersion: version}
		if worker.SlowStartLeftMS > 0 {
			cached.coldUntil = now + worker.SlowStartLeftMS
		}
		cached.Destination, cached.SlowStartLeftMS = "", 0
		d.workers[worker.ID] = cached
	}
	d.version, d.wantedVersion = version, max(d.wantedVersion, version)
	d.revision++
}

// SetConfiguration stores a configuration that was read, and reports whether it is newer than the one held.
func (c *Cache) SetConfiguration(edition uint64, body []byte) bool {
	if edition <= c.edition {
		return false
	}
	c.edition, c.body = edition, body
	c.announcedEdition = max(c.announcedEdition, edition)
	return true
}

// SetEvacuatedZones stores a newer list of evacuated zones.
func (c *Cache) SetEvacuatedZones(version uint64, zones []string) {
	if version > c.evacuationVersion {
		c.evacuationVersion, c.evacuatedZones = version, zones
	}
}

// SetMirrorOrder stores a newer traffic-mirroring order.
func (c *Cache) SetMirrorOrder(number uint64, body []byte) {
	if number > c.mirrorOrderNumber && len(body) > 0 {
		c.mirrorOrderNumber, c.mirrorOrder = number, body
	}
}

// MirrorOrder returns the traffic-mirroring order and its number, 0 if there never was one.
func (c *Cache) MirrorOrder() (uint64, []byte) { return c.mirrorOrderNumber, c.mirrorOrder }

// Edition returns the version of the configuration held.
func (c *Cache) Edition() uint64 { return c.edition }

// AnnouncedVersion returns the endpoint version last announced.
func (c *Cache) AnnouncedVersion() uint64 { return c.announcedVersion }

// EvacuatedZones returns the evacuated zones and the version of that list.
func (c *Cache) EvacuatedZones() (uint64, []string) { return c.evacuationVersion, c.evacuatedZones }

// TakeEndedEvacuations returns the zones whose evacuation has ended since the last call.
func (c *Cache) TakeEndedEvacuations() (zones []string) {
	zones, c.endedEvacuations = c.endedEvacuations, nil
	return zones
}

// Revisions returns, for each destination, a number that rises whenever its workers change.
func (c *Cache) Revisions() map[string]uint64 {
	revisions := make(map[string]uint64, len(c.destinations))
	for name, d := range c.destinations {
		revisions[name] = d.revision
	}
	return revisions
}

// withdraw removes from use the workers that registries withdrew while nobody held the duty of the
// endpoint list. Later data of a duty holder takes precedence; until it has been received here, the
// workers stay withdrawn.
func (c *Cache) withdraw(answer *api.SessionResponse) {
	if answer.WithdrawnChecksum != 0 {
		c.withdrawnHash = answer.WithdrawnChecksum
	}
	if c.withdrawn == nil {
		c.withdrawn = map[string]uint64{}
	}
	for _, withdrawal := range answer.Withdrawn {
		knownVersion, known := c.withdrawn[withdrawal.ID]
		c.withdrawn[withdrawal.ID] = max(knownVersion, withdrawal.ListVersion)
		for _, d := range c.destinations {
			if _, ok := d.workers[withdrawal.ID]; ok && !known {
				d.revision++
			}
		}
	}
	maps.DeleteFunc(c.withdrawn, func(id string, knownVersion uint64) bool {
		withdrawal := api.WithdrawnWorker{ListVersion: knownVersion}
		for _, d := range c.destinations {
			if worker, ok := d.workers[id]; ok {
				return withdrawal.Superseded(d.version, worker.changedVersion)
			}
		}
		return withdrawal.Superseded(c.announcedVersion, 0) // the worker's destination may not have been received yet
	})
}

// Workers returns a destination's workers as they are to be used: one that was withdrawn is marked
// as closing.
func (c *Cache) Workers(now float64, name string) []api.Worker {
	list := c.listedWorkers(now, name)
	for i := range list {
		if knownVersion, ok := c.withdrawn[list[i].ID]; ok {
			d := c.destinations[name]
			list[i].Draining = list[i].Draining || !(api.WithdrawnWorker{ListVersion: knownVersion}).Superseded(d.version, d.workers[list[i].ID].changedVersion)
		}
	}
	return list
}

// listedWorkers returns a destination's workers with the rest of their cold periods. The time spent
// in this cache is subtracted, so that passing a worker on never prolongs its cold period.
func (c *Cache) listedWorkers(now float64, name string) []api.Worker {
	d := c.destinations[name]
	if d == nil {
		return nil
	}
	list := make([]api.Worker, 0, len(d.workers))
	for _, id := range slices.Sorted(maps.Keys(d.workers)) {
		cached := d.workers[id]
		cached.SlowStartLeftMS = max(cached.coldUntil-now, 0)
		list = append(list, cached.Worker)
	}
	return list
}

// wholePart returns the full list of a destination's workers as a message part.
func (c *Cache) wholePart(now float64, name string) api.DestinationEndpoints {
	return api.DestinationEndpoints{Destination: name, Version: c.destinations[name].version, Workers: c.listedWorkers(now, name)}
}

// changesSince returns a destination's workers for a peer that holds heldVersion: only the changes
// since then if all of them are known, or else the full list.
func (c *Cache) changesSince(now float64, name string, heldVersion uint64) api.DestinationEndpoints {
	d := c.destinations[name]
	if heldVersion == 0 || heldVersion < d.changesSince {
		return c.wholePart(now, name)
	}
	part := api.DestinationEndpoints{Destination: name, Version: d.version, Since: heldVersion}
	for _, w := range c.listedWorkers(now, name) {
		if d.workers[w.ID].changedVersion > heldVersion {
			part.Workers = append(part.Workers, w)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.removed)) {
		if d.removed[id].changedVersion > heldVersion {
			part.Workers = append(part.Workers, api.Worker{ID: id, Removed: true})
		}
	}
	return part
}

// ZonePeers describes the gatekeepers of a zone that may be zone homes.
type ZonePeers struct {
	Name      string
	Self      string
	SelfReady bool     // whether this gatekeeper may be a zone home
	Peers     []string // the other ready gatekeepers of the zone
}

// PlanRequests returns what to request from which zone home, and the size of a configuration that may come
// with the answer. Each version is requested from a zone home once. The registry has to supply what
// is missing after that, and what has no other owner to ask: if this gatekeeper is the owner
// itself, if there is none, or if the owner has just failed.
func (c *Cache) PlanRequests(now float64, zone ZonePeers) (requests map[string]api.SubscribeRequest, bodyBytes int) {
	ready := zone.Peers
	if zone.SelfReady {
		ready = append(slices.Clone(ready), zone.Self)
	}
	requests = map[string]api.SubscribeRequest{}
	owner := func(service string) string {
		addr := membership.OwnerAmong(ready, zone.Name, service)
		if addr == zone.Self || now < c.avoidUntil[addr] {
			return ""
		}
		return addr
	}
	if c.announcedEdition > max(c.edition, c.requestedEdition) && c.edition > 0 {
		c.requestedEdition = c.announcedEdition
		if addr := owner(ConfigurationKey); addr != "" {
			requests[addr] = api.SubscribeRequest{ConfigVersion: c.announcedEdition}
			bodyBytes = c.announcedBytes
		}
	}
	for name, d := range c.destinations {
		if d.version >= d.wantedVersion || d.requestedVersion >= d.wantedVersion {
			continue
		}
		d.requestedVersion = d.wantedVersion
		if addr := owner(name); addr != "" {
			request := requests[addr]
			if request.EndpointVersions == nil {
				request.EndpointVersions, request.HeldVersions = map[string]uint64{}, map[string]uint64{}
			}
			request.EndpointVersions[name], request.HeldVersions[name] = d.wantedVersion, d.version
			requests[addr] = request
		}
	}
	return requests, bodyBytes
}

// RecordAnswer records how a zone home answered a request; err is not nil if it did not.
func (c *Cache) RecordAnswer(now float64, owner string, request *api.SubscribeRequest, err error) {
	maps.DeleteFunc(c.avoidUntil, func(_ string, until float64) bool { return until <= now })
	if err != nil || !c.CanAnswer(request) {
		c.avoidUntil[owner] = now + ownerRetryDelayMs
	}
}

// CanAnswer reports whether everything that a peer requests is held.
func (c *Cache) CanAnswer(request *api.SubscribeRequest) bool {
	for name, version := range request.EndpointVersions {
		if d := c.destinations[name]; d == nil || d.version < version {
			return false
		}
	}
	return c.edition >= request.ConfigVersion
}

// Answer returns what is held of a peer's request. Data older than requested is left out.
func (c *Cache) Answer(now float64, request *api.SubscribeRequest) (answer api.SubscribeResponse) {
	if request.ConfigVersion > 0 && c.edition >= request.ConfigVersion {
		answer.Config = c.body
	}
	for _, name := range slices.Sorted(maps.Keys(request.EndpointVersions)) {
		if d := c.destinations[name]; d != nil && d.version >= request.EndpointVersions[name] {
			answer.Endpoints = append(answer.Endpoints, c.changesSince(now, name, request.HeldVersions[name]))
		}
	}
	return answer
}

// HeldVersions returns the versions held, as the answer to a peer's offer.
func (c *Cache) HeldVersions() api.PeerSyncResponse {
	held := api.PeerSyncResponse{ConfigVersion: c.edition, EvacuationNumber: c.evacuationVersion, EndpointVersions: map[string]uint64{}, MirrorOrderNumber: c.mirrorOrderNumber}
	for name, d := range c.destinations {
		held.EndpointVersions[name] = d.version
	}
	return held
}

// Offer returns the versions that could be handed over.
func (c *Cache) Offer() api.PeerSyncRequest {
	held := c.HeldVersions()
	offer := api.PeerSyncRequest{ConfigVersion: held.ConfigVersion, EvacuationNumber: held.EvacuationNumber, EndpointVersions: held.EndpointVersions, EndpointsVersion: c.announcedVersion, MirrorOrderNumber: held.MirrorOrderNumber}
	for _, d := range c.destinations {
		if d.version < c.announcedVersion { // the destinations held are then not complete for that version
			offer.EndpointsVersion = 0
		}
	}
	return offer
}

// LacksAnyOf reports whether an offer contains data that is missing here.
func (c *Cache) LacksAnyOf(offer *api.PeerSyncRequest) bool {
	for name, version := range offer.EndpointVersions {
		if d := c.destinations[name]; d == nil || d.version < version {
			return true
		}
	}
	return offer.ConfigVersion > c.edition || offer.EvacuationNumber > c.evacuationVersion || offer.MirrorOrderNumber > c.mirrorOrderNumber
}

// HandOver returns the data that a peer lacks, and whether there is any.
func (c *Cache) HandOver(now float64, held *api.PeerSyncResponse) (handover api.PeerSyncRequest, nonEmpty bool) {
	handover = c.Offer()
	handover.HasState = true
	if handover.ConfigVersion > held.ConfigVersion {
		handover.Config, nonEmpty = c.body, true
	}
	if handover.EvacuationNumber > held.EvacuationNumber {
		handover.Evacuated, nonEmpty = c.evacuatedZones, true
	}
	if handover.MirrorOrderNumber > held.MirrorOrderNumber {
		handover.MirrorOrder, nonEmpty = c.mirrorOrder, true
	}
	for _, name := range slices.Sorted(maps.Keys(c.destinations)) {
		if v, ok := held.EndpointVersions[name]; !ok || c.destinations[name].version > v {
			handover.Endpoints, nonEmpty = append(handover.Endpoints, c.wholePart(now, name)), true
		}
	}
	return handover, nonEmpty
}

// AcceptHandover applies data that a peer hands over, except for the configuration's body. A cache to which
// nothing has been announced yet also adopts the sender's announced version: registries then send
// only newer data, and learn from that version which terms there have been.
func (c *Cache) AcceptHandover(now float64, handover *api.PeerSyncRequest) {
	c.SetEvacuatedZones(handover.EvacuationNumber, handover.Evacuated)
	c.SetMirrorOrder(handover.MirrorOrderNumber, handover.MirrorOrder)
	c.AddParts(now, handover.Endpoints)
	if c.announcedVersion > 0 {
		return
	}
	for name, version := range handover.EndpointVersions {
		if d := c.destinations[name]; d == nil || d.version < version || version < handover.EndpointsVersion {
			return
		}
	}
	c.announcedVersion = handover.EndpointsVersion
}

package registry

import (
	"maps"
	"slices"

	"foxwood/internal/control/configcache"
	"foxwood/internal/control/membership"
	"foxwood/internal/rpc/api"
)

// maxZoneHomeBodyBytes is the size of a compressed configuration up to which it is distributed
// through zone homes.
const maxZoneHomeBodyBytes = 8 << 10

// addConfigurationAndEndpoints adds the updates of the configuration and the endpoints to a
// heartbeat's answer, and reports whether there are any. Traffic between zones is expensive:
// configurations and workers go only to the zone homes, to a gatekeeper that holds nothing yet, and
// to one that did not get them from its zone homes. The lock is held.
func (b *Registry) addConfigurationAndEndpoints(now float64, members membership.MemberList, heartbeat *api.SessionRequest, answer *api.SessionResponse) (updated bool) {
	gatekeeper := &heartbeat.Member
	isOwnerOrNone := func(service string) bool {
		owner := membership.Owner(members, gatekeeper.Zone, service)
		return owner == "" || owner == gatekeeper.PeerAddr
	}
	answer.ConfigVersion = b.committed.Edition
	if b.committed.Edition > heartbeat.ConfigVersion {
		updated = true
		// A large configuration goes to each gatekeeper directly: its zone home would send copies
		// for seconds over a slow link, delaying answers to its own clients.
		if heartbeat.ConfigVersion == 0 || heartbeat.WantConfig || isOwnerOrNone(configcache.ConfigurationKey) || len(b.packedConfiguration) > maxZoneHomeBodyBytes {
			answer.Config = b.packedConfiguration
		} else {
			answer.ConfigBytes = len(b.packedConfiguration)
		}
	}
	answer.EndpointChanges = b.endpoints.marksSince(heartbeat.EndpointsVersion)
	for _, name := range slices.Sorted(maps.Keys(b.endpoints.destinationVersions)) {
		heldVersion, wanted := heartbeat.WantEndpoints[name]
		if !wanted {
			heldVersion = heartbeat.EndpointsVersion
			if b.endpoints.destinationVersion(name) <= heldVersion || heldVersion > 0 && !isOwnerOrNone(name) {
				continue
			}
		}
		if part := b.endpoints.partSince(now, name, heldVersion); part != nil {
			answer.Endpoints = append(answer.Endpoints, *part)
		}
	}
	return updated || answer.EndpointChanges != nil || len(answer.Endpoints) > 0
}

// destinationVersion returns the version at which a destination last changed.
func (l *endpointList) destinationVersion(name string) uint64 {
	return max(l.destinationVersions[name], l.termStart)
}

// marksSince returns which destinations have changed since a version, nil if none have.
func (l *endpointList) marksSince(heldVersion uint64) *api.EndpointChanges {
	if heldVersion >= l.version {
		return nil
	}
	marks := &api.EndpointChanges{Version: l.version, Complete: heldVersion < l.termStart || heldVersion == 0, VersionsBehind: map[string]uint64{}}
	for name := range l.destinationVersions {
		if version := l.destinationVersion(name); marks.Complete || version > heldVersion {
			marks.VersionsBehind[name] = l.version - version
		}
	}
	return marks
}

// partSince returns a destination's workers for a gatekeeper that holds heldVersion, nil if that is
// current.
func (l *endpointList) partSince(now float64, name string, heldVersion uint64) *api.DestinationEndpoints {
	if l.destinationVersion(name) <= heldVersion || l.destinationVersions[name] == 0 {
		return nil
	}
	part := &api.DestinationEndpoints{Destination: name, Version: l.version, Since: heldVersion}
	if heldVersion < max(l.termStart, l.destinationChangesSince[name]) {
		part.Since = 0
	}
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		listed := l.workers[id]
		if listed.Destination != name || part.Since == 0 && listed.Removed || part.Since > 0 && listed.changedVersion <= heldVersion {
			continue
		}
		worker := listed.Worker
		worker.Destination, worker.SlowStartLeftMS = "", max(listed.coldUntil-now, 0)
		part.Workers = append(part.Workers, worker)
	}
	return part
}

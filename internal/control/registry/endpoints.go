package registry

import (
	"maps"
	"math"
	"slices"

	"foxwood/internal/rpc/api"
)

// endpointList is the workers that the platform lists, with the version at which each last changed,
// so that a gatekeeper is sent only what it lacks. A version consists of the term of the duty that
// read the list and a counter: only the duty's holder creates versions, and those of a later term
// are higher.
type endpointList struct {
	version      uint64
	changesSince uint64 // changes after this version are known
	workers      map[string]*listedWorker

	// Per destination, for gatekeepers: the first version of the current term, as changes from
	// before it may be unknown; the version of each destination's last change; and the version
	// since which its changes are known.
	termStart               uint64
	destinationVersions     map[string]uint64
	destinationChangesSince map[string]uint64
}

// listedWorker is a worker on the platform's list, or one that has recently left it.
type listedWorker struct {
	api.Worker
	changedVersion uint64
	coldUntil      float64 // end of the cold period, by this process's clock
	goneAt         float64
	listedAt       float64 // when it was first listed after the first list, 0 if it was on that
	probedAt       float64 // time of the last probe
	coldReportedAt float64 // when a probe last answered how long it stays cold
}

const (
	termShift       = api.TermShift
	coldToleranceMs = 300.0   // milliseconds by which two readings of one cold period may differ
	goneRetentionMs = 30000.0 // milliseconds that a removed worker is remembered
)

func newEndpointList() *endpointList {
	return &endpointList{workers: map[string]*listedWorker{}, destinationVersions: map[string]uint64{}, destinationChangesSince: map[string]uint64{}}
}

// nextVersion returns the version of the next change in a term.
func (l *endpointList) nextVersion(term uint64) uint64 {
	if l.version>>termShift < term {
		return term<<termShift | 1
	}
	return l.version + 1
}

// applyPlatformList applies a complete list of the platform, and reports whether anything has
// changed.
func (l *endpointList) applyPlatformList(now float64, term uint64, list []api.Worker) bool {
	version := l.nextVersion(term)
	if l.version>>termShift < term { // the last changes of the previous holder may be unknown here
		l.changesSince, l.termStart = version, version
	}
	seen := make(map[string]bool, len(list))
	changed := false
	for _, worker := range list {
		seen[worker.ID] = true
		if l.apply(now, worker, version) {
			changed = true
		}
	}
	for id, worker := range l.workers {
		switch {
		case seen[id]:
		case !worker.Removed:
			worker.Removed, worker.changedVersion, worker.goneAt, changed = true, version, now, true
			l.destinationVersions[worker.Destination] = version
		case now-worker.goneAt > goneRetentionMs:
			delete(l.workers, id)
			l.changesSince = max(l.changesSince, worker.changedVersion)
			l.destinationChangesSince[worker.Destination] = max(l.destinationChangesSince[worker.Destination], worker.changedVersion)
		}
	}
	if changed || l.version>>termShift < term {
		l.version = version
		return true
	}
	return false
}

// apply records one worker, and reports whether that changes anything.
func (l *endpointList) apply(now float64, update api.Worker, version uint64) bool {
	coldUntil := 0.0 // not cold
	if update.SlowStartLeftMS > 0 {
		coldUntil = now + update.SlowStartLeftMS
	}
	worker := l.workers[update.ID]
	if worker == nil {
		l.workers[update.ID] = &listedWorker{Worker: update, changedVersion: version, coldUntil: coldUntil}
		if l.version > 0 {
			l.workers[update.ID].listedAt = now
		}
		l.destinationVersions[update.Destination] = version
		return true
	}
	if worker.coldReportedAt > 0 && now-worker.coldReportedAt < probeValidMs { // the worker's own answer to a probe is newer than the list
		coldUntil = max(coldUntil, worker.coldUntil)
	}
	known := worker.Worker
	known.SlowStartLeftMS = update.SlowStartLeftMS
	coldChanged := coldUntil > now && math.Abs(coldUntil-worker.coldUntil) > coldToleranceMs || coldUntil <= now && worker.coldUntil > now+coldToleranceMs
	if known == update && !coldChanged {
		return false
	}
	if worker.Destination != update.Destination { // whoever holds the worker under its old destination gets no removal
		l.destinationVersions[worker.Destination], l.destinationChangesSince[worker.Destination] = version, version
	}
	l.destinationVersions[update.Destination] = version
	worker.Worker, worker.changedVersion, worker.coldUntil, worker.goneAt = update, version, coldUntil, now
	return true
}

// since returns the changes since a version, nil if there are none.
func (l *endpointList) since(now float64, heldVersion uint64) *api.EndpointList {
	if heldVersion == l.version || l.version == 0 || heldVersion > l.version {
		return nil
	}
	answer := &api.EndpointList{Version: l.version, Complete: heldVersion < l.changesSince || heldVersion == 0}
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		listed := l.workers[id]
		if answer.Complete && listed.Removed || !answer.Complete && listed.changedVersion <= heldVersion {
			continue
		}
		worker := listed.Worker
		worker.SlowStartLeftMS = max(listed.coldUntil-now, 0)
		answer.Workers = append(answer.Workers, worker)
	}
	return answer
}

// merge applies a newer endpoint list of another registry.
func (l *endpointList) merge(now float64, update *api.EndpointList) bool {
	if update == nil || update.Version <= l.version {
		return false
	}
	if update.Complete {
		l.changesSince, l.termStart = update.Version, update.Version
		named := map[string]bool{}
		for _, worker := range update.Workers {
			named[worker.ID] = true
		}
		for id, listed := range l.workers {
			if !named[id] && !listed.Removed {
				listed.Removed, listed.changedVersion, listed.goneAt = true, update.Version, now
				l.destinationVersions[listed.Destination] = update.Version
			}
		}
	}
	for _, worker := range update.Workers {
		// A worker that was removed and came back in between looks unchanged here, but not to a
		// gatekeeper that learned of the removal from another registry.
		if !l.apply(now, worker, update.Version) && !update.Complete {
			l.workers[worker.ID].changedVersion, l.destinationVersions[worker.Destination] = update.Version, update.Version
		}
	}
	l.version = update.Version
	return true
}

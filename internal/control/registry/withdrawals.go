package registry

import (
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"foxwood/internal/rpc/api"
)

// The duty to read the platform's list needs a majority of the core. If there is none, perhaps for
// good, gatekeepers still reach registries and these reach the platform. Each registry then reads
// the list by itself, and announces only withdrawals: the workers that are closing or gone. New
// workers wait for the next holder of the duty.

const (
	vacantAfterMs      = 1500.0 // milliseconds without a holder of the duty, after which each registry reads the list
	vacantRateShare    = 0.5    // share of the platform's rate limit, for all registries that read the list
	maxElectionPauseMs = 500.0  // milliseconds between two election steps, beyond which the process must have been frozen
	maxListAgeMs       = 2000.0 // milliseconds since the reading began, beyond which the list is too old for withdrawals
)

// withdrawals is the workers that were withdrawn while nobody held the duty.
type withdrawals struct {
	versions      map[string]uint64 // by worker, the newest endpoint version known at its withdrawal
	missing       map[string]bool   // workers missing from the last list read
	nextRead      float64           // no reading before this time
	dutyHeldAt    float64           // when the duty was last known to be held
	checkedAt     float64
	newestVersion uint64 // newest endpoint version that any process has reported
}

// observeHolder records whether somebody holds the duty. After a freeze the duty counts as held,
// because messages of the other registries may still be unread.
func (w *withdrawals) observeHolder(now float64, holder string) {
	if holder != "" || now-w.checkedAt > maxElectionPauseMs {
		w.dutyHeldAt, w.missing = now, nil
	}
	w.checkedAt = now
}

// dutyVacant reports whether nobody has held the duty for long.
func (w *withdrawals) dutyVacant(now float64) bool {
	return w.checkedAt > 0 && now-w.checkedAt <= maxElectionPauseMs && now-w.dutyHeldAt > vacantAfterMs
}

// applyPlatformList withdraws workers by a complete list, and reports whether there are new ones. A
// list read while the platform changes may lack a worker, so a missing worker is withdrawn only
// when the second list in a row lacks it.
func (w *withdrawals) applyPlatformList(endpoints *endpointList, list []api.Worker) (added bool) {
	listed := make(map[string]api.Worker, len(list))
	for _, current := range list {
		listed[current.ID] = current
	}
	missing := map[string]bool{}
	version := max(endpoints.version, w.newestVersion)
	for id, known := range endpoints.workers {
		current, ok := listed[id]
		if !ok {
			missing[id] = true
		}
		if known.Draining || known.Removed || ok && !current.Draining || !ok && !w.missing[id] {
			continue
		}
		added = w.add(api.WithdrawnWorker{ID: id, ListVersion: version}) || added
	}
	w.missing = missing
	return added
}

// add records a withdrawal, and reports whether its worker had none before.
func (w *withdrawals) add(withdrawal api.WithdrawnWorker) bool {
	version, ok := w.versions[withdrawal.ID]
	if w.versions == nil {
		w.versions = map[string]uint64{}
	}
	w.versions[withdrawal.ID] = max(version, withdrawal.ListVersion)
	return !ok
}

// merge adds the withdrawals of another registry, and reports whether there are new ones.
func (w *withdrawals) merge(endpoints *endpointList, list []api.WithdrawnWorker) (added bool) {
	for _, withdrawal := range list {
		if !withdrawal.Superseded(endpoints.version, endpoints.workerVersion(withdrawal.ID)) {
			added = w.add(withdrawal) || added
		}
	}
	return added
}

// dropSuperseded drops the withdrawals that later data of a duty holder replaces.
func (w *withdrawals) dropSuperseded(endpoints *endpointList) {
	maps.DeleteFunc(w.versions, func(id string, version uint64) bool {
		return api.WithdrawnWorker{ID: id, ListVersion: version}.Superseded(endpoints.version, endpoints.workerVersion(id))
	})
}

// snapshot returns all withdrawals, and a hash of the list; 0 if there are none.
func (w *withdrawals) snapshot() (all []api.WithdrawnWorker, hash uint64) {
	if len(w.versions) == 0 {
		return nil, 0
	}
	ids := slices.Sorted(maps.Keys(w.versions))
	for _, id := range ids {
		all = append(all, api.WithdrawnWorker{ID: id, ListVersion: w.versions[id]})
	}
	return all, xxh3.HashString(strings.Join(ids, "\x00")) | 1
}

// workerVersion returns the version at which a worker last changed here, 0 if it is not known.
func (l *endpointList) workerVersion(id string) uint64 {
	if worker := l.workers[id]; worker != nil {
		return worker.changedVersion
	}
	return 0
}

// withdrawWithoutHolder applies a list that was read without the duty. The lock is held.
func (b *Registry) withdrawWithoutHolder(startedAt float64, version uint64, pages int, list []api.Worker) {
	now := b.now()
	w := &b.withdrawals
	if b.endpoints.version != version || now-startedAt > maxListAgeMs || !w.dutyVacant(now) {
		return // the duty was held meanwhile or this process was frozen: the list may be old
	}
	if rate := b.settings.PlatformAPI.RatePerS * vacantRateShare; rate > 0 {
		w.nextRead = now + float64(pages*(len(b.peers)+1))/rate*1000
	}
	if w.applyPlatformList(b.endpoints, list) {
		b.log.Info().Int("workers", len(w.versions)).Msg("workers withdrawn without a duty holder")
		b.notifyWaiters()
	}
}

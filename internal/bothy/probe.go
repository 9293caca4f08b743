package bothy

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Health probes are few, and part of the duty that has the workers' list: of those that have just
// come and of those that are cold, to know sooner than by the list, which is late, how long they
// stay cold. A probe takes a worker's slot, and is paid for: they are off unless asked for.

const (
	probeEvery = 250 * time.Millisecond
	probeMost  = 400 * time.Millisecond // for an answer
	probeAgain = 2000.0                 // milliseconds between two probes of one worker
	probeFresh = 5000.0                 // that a worker counts as one that has just come
	probeHolds = 2000.0                 // that a probe's word stands against the list's, which is older
	probesMost = 20.0                   // a second
	headWorker = "X-Foxwood-Worker-Id"
	headCold   = "X-Foxwood-Cold-Ms"
)

// Probe has this bothy probe so many workers a second, where it has the duty. Before it serves.
func (b *Bothy) Probe(perS float64) { b.probes = min(max(perS, 0), probesMost) }

// due is the workers to probe, those that were probed longest ago first. They count as probed.
func (r *roster) due(now float64, most int) (ids []string) {
	var found []*listed
	for _, l := range r.listed {
		cold, fresh := l.until > now, l.came > 0 && now-l.came < probeFresh
		if !l.Gone && !l.Closing && (cold || fresh) && (l.probed == 0 || now-l.probed >= probeAgain) {
			found = append(found, l)
		}
	}
	slices.SortFunc(found, func(x, y *listed) int { return cmp.Or(cmp.Compare(x.probed, y.probed), cmp.Compare(x.ID, y.ID)) })
	for _, l := range found[:min(len(found), max(most, 0))] {
		l.probed = now
		ids = append(ids, l.ID)
	}
	return ids
}

// told takes a worker's own word that it stays cold for so long, and tells whether that is news.
func (r *roster) told(now float64, term uint64, id string, cold float64) bool {
	l := r.listed[id]
	until := now + max(cold, 0)
	if l == nil || l.Gone || max(until-l.until, l.until-until) <= coldSlack || until <= now && l.until <= now {
		return false
	}
	version := r.next(term)
	l.until, l.changed, l.word = until, version, now
	r.marks[l.Destination], r.version = version, version
	return true
}

// probe probes what is due, where this bothy has the workers' list.
func (b *Bothy) probe(ctx context.Context) {
	b.mu.Lock()
	term, ok := b.election.Holds(b.now(), dutyRoster)
	b.probeRoom = min(b.probeRoom+b.probes*probeEvery.Seconds(), max(b.probes, 1))
	var at []string
	var ids []string
	if ok && b.parsed != nil {
		for _, id := range b.roster.due(b.now(), int(b.probeRoom)) {
			l := b.roster.listed[id]
			if d := b.parsed.Destinations[l.Destination]; d != nil && d.HealthPath != "" {
				ids, at = append(ids, id), append(at, "http://"+l.Addr+d.HealthPath)
			}
		}
	}
	b.probeRoom -= float64(len(ids))
	b.mu.Unlock()
	for i := range ids {
		cold, ok := ask(ctx, at[i], ids[i])
		b.mu.Lock()
		b.counts.Probes++
		if now, still := b.election.Holds(b.now(), dutyRoster); ok && still && now == term && b.roster.told(b.now(), term, ids[i], cold) {
			b.changed()
		}
		b.mu.Unlock()
	}
}

// ask asks a worker how long it stays cold. An answer of another worker, at an address that was
// given away, says nothing of it.
func ask(ctx context.Context, at, id string) (cold float64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, probeMost)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return 0, false
	}
	res, err := carrier.Do(req)
	if err != nil {
		return 0, false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 4<<10))
	if res.Header.Get(headWorker) != id || res.StatusCode != http.StatusOK {
		return 0, false
	}
	cold, err = strconv.ParseFloat(res.Header.Get(headCold), 64)
	if res.Header.Get(headCold) == "" {
		return 0, true
	}
	return cold, err == nil && cold >= 0 && cold < 600e3
}

package bothy

import (
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"foxwood/internal/waymark"
)

// The duty to read the platform's list needs a majority of the core. Where there is none, for good perhaps, gatekeepers
// still reach bothies and these the platform: each bothy then reads the list by itself, and passes on
// what only takes away, the workers that are closing or gone. New workers wait for the duty's next holder.

const (
	orphanAfter = 1500.0 // milliseconds without a holder of the duty, after which a bothy reads the list by itself
	orphanShare = 0.5    // of the platform's rate, for all bothies that read so
	wardGap     = 500.0  // milliseconds between two steps of the election after which the process stood still
	readMost    = 2000.0 // milliseconds from a reading's begin after which it is too old to take away by
)

// strikes is what was taken away without the duty.
type strikes struct {
	at      map[string]uint64 // by worker, the newest version of the roster known then
	missing map[string]bool   // in the last reading, of those that were listed
	next    float64           // no reading before
	held    float64           // when the duty was last known to be held
	looked  float64
	newest  uint64 // version of the roster that anybody has told of
}

// watch notes whether somebody has the duty. A process that stood still has not looked, and
// the others' words lie unread yet.
func (s *strikes) watch(now float64, holder string) {
	if holder != "" || now-s.looked > wardGap {
		s.held, s.missing = now, nil
	}
	s.looked = now
}

// orphaned tells whether nobody has had the duty for long.
func (s *strikes) orphaned(now float64) bool {
	return s.looked > 0 && now-s.looked <= wardGap && now-s.held > orphanAfter
}

// read takes a whole list, and tells whether it takes away something more. One page of it may miss a
// worker as another goes: what is missing counts at the second time.
func (s *strikes) read(r *roster, list []waymark.Worker) (news bool) {
	listed := make(map[string]waymark.Worker, len(list))
	for _, w := range list {
		listed[w.ID] = w
	}
	missing := map[string]bool{}
	version := max(r.version, s.newest)
	for id, l := range r.listed {
		w, ok := listed[id]
		if !ok {
			missing[id] = true
		}
		if l.Closing || l.Gone || ok && !w.Closing || !ok && !s.missing[id] {
			continue
		}
		news = s.add(waymark.Struck{ID: id, At: version}) || news
	}
	s.missing = missing
	return news
}

func (s *strikes) add(x waymark.Struck) bool {
	at, ok := s.at[x.ID]
	if s.at == nil {
		s.at = map[string]uint64{}
	}
	s.at[x.ID] = max(at, x.At)
	return !ok
}

// hear takes another bothy's, and tells whether there are more.
func (s *strikes) hear(r *roster, list []waymark.Struck) (news bool) {
	for _, x := range list {
		if !x.Void(r.version, r.changed(x.ID)) {
			news = s.add(x) || news
		}
	}
	return news
}

// settle drops those that a holder's word goes before.
func (s *strikes) settle(r *roster) {
	maps.DeleteFunc(s.at, func(id string, at uint64) bool {
		return waymark.Struck{ID: id, At: at}.Void(r.version, r.changed(id))
	})
}

// list is all, with a mark that changes with them; 0 for none.
func (s *strikes) list() (all []waymark.Struck, mark uint64) {
	if len(s.at) == 0 {
		return nil, 0
	}
	ids := slices.Sorted(maps.Keys(s.at))
	for _, id := range ids {
		all = append(all, waymark.Struck{ID: id, At: s.at[id]})
	}
	return all, xxh3.HashString(strings.Join(ids, "\x00")) | 1
}

// changed is the version at which a worker was last told of here.
func (r *roster) changed(id string) uint64 {
	if l := r.listed[id]; l != nil {
		return l.changed
	}
	return 0
}

// strike takes a list that was read without the duty. The lock is held.
func (b *Bothy) strike(began float64, version uint64, pages int, list []waymark.Worker) {
	now := b.now()
	s := &b.strikes
	if b.roster.version != version || now-began > readMost || !s.orphaned(now) {
		return // somebody had the duty meanwhile, or this process stood still: the list may be old
	}
	if per := b.set.CarrierAPI.RatePerS * orphanShare; per > 0 {
		s.next = now + float64(pages*(len(b.peers)+1))/per*1000
	}
	if s.read(b.roster, list) {
		b.log.Info().Int("workers", len(s.at)).Msg("taken away without a holder of the duty")
		b.changed()
	}
}

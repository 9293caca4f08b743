package switchback

import (
	"foxwood/internal/quota"
	"foxwood/internal/timetable"
)

// Which thin tenants this gatekeeper is the home of, and what becomes of what it holds when that changes.

// owned is the thin tenants whose home this gatekeeper is, by what they were found.
type owned struct {
	table   *timetable.Timetable
	members int
	mark    uint64
	names   []string
}

// homesMark changes with all that homes are found by. A crowd's mark is odd.
func (p *Proxy) homesMark() uint64 {
	if p.draining {
		return p.crowd.Mark + 1
	}
	return p.crowd.Mark
}

// homeOf is the thin tenants whose home this gatekeeper is. They are found anew where the
// configuration or the members have changed.
func (p *Proxy) homeOf() []string {
	o := &p.owned
	if mark := p.homesMark(); o.table != p.table || o.members != p.members || o.mark != mark {
		*o = owned{table: p.table, members: p.members, mark: mark}
		for name, terms := range quota.Limited(p.table) {
			if p.isThin(terms) && p.thinOf(name).homes[0] == p.set.Inner(0) {
				o.names = append(o.names, name)
			}
		}
	}
	return o.names
}

// becameHome tells whether this gatekeeper is a home of a tenant for which it has not asked yet.
func (p *Proxy) becameHome() bool {
	if p.table == nil {
		return false
	}
	for _, name := range p.homeOf() {
		if _, known := p.homed[name]; !known {
			return true
		}
	}
	return false
}

// moveHomes brings the tenants that this gatekeeper asks for as their home up to date. What it holds of those whose home it no longer is
// goes back, for the next home: left here it would be lost, and a small tenant's bucket takes seconds to fill anew.
// It goes once who does not know of the next home has had time to learn of it, and at once if this process is about to end.
func (p *Proxy) moveHomes() {
	now := p.clock.Now()
	homed := make(map[string]float64, len(p.homed))
	for _, name := range p.homeOf() {
		since, known := p.homed[name]
		if !known {
			since = now
		}
		homed[name] = since
		delete(p.formerly, name)
		delete(p.stoodIn, name)
	}
	for name := range p.homed {
		if _, still := homed[name]; !still {
			p.formerly[name] = now
		}
	}
	p.homed = homed
	for name, since := range p.formerly {
		if p.draining || now-since >= homeLinger {
			delete(p.formerly, name)
			p.giveUp(name)
		}
	}
	for name := range p.stoodIn {
		if p.draining || p.tenants.Idle(p.micros(), name, standsIn*1000) {
			delete(p.stoodIn, name)
			p.giveUp(name)
		}
	}
}

// giveUp gives back what is held of a tenant's quota, where that is thin and another gatekeeper is its home.
func (p *Proxy) giveUp(tenant string) {
	if terms, ok := p.termsOf(tenant); !ok || !p.isThin(terms) {
		return
	}
	if home := p.thinOf(tenant).homes[0]; home != "" && home != p.set.Inner(0) {
		p.tenants.Surrender(p.micros(), tenant)
	}
}

// termsOf is a tenant's quota by the configuration in force.
func (p *Proxy) termsOf(tenant string) (quota.Terms, bool) {
	for name, terms := range quota.Limited(p.table) {
		if name == tenant {
			return terms, true
		}
	}
	return quota.Terms{}, false
}

// homesOf finds a tenant's homes among the region's members.
func (p *Proxy) homesOf(tenant string) (homes [2]string) {
	var best [2]uint64
	consider := func(addr string) {
		h := hash(tenant+"\x00"+addr) | 1
		switch {
		case h > best[0]:
			best[1], homes[1] = best[0], homes[0]
			best[0], homes[0] = h, addr
		case h > best[1]:
			best[1], homes[1] = h, addr
		}
	}
	if !p.draining {
		consider(p.set.Inner(0))
	}
	for _, o := range p.crowd.Peers {
		consider(o)
	}
	return homes
}

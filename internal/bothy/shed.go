package bothy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"foxwood/internal/rpc"
	"foxwood/internal/snowline"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

// DutyLevel is the duty of the shedding level. Only bothies that shed stand for it.
const DutyLevel = "level"

const (
	levelEvery = 100 * time.Millisecond
	strainMost = 350 * time.Millisecond
	fixMost    = 24 * 3600e3
)

// Shed has this bothy agree on a shedding level, before it serves.
func (b *Bothy) Shed(o snowline.Options) {
	b.level = snowline.NewHolder(rand.Uint64() | 1)
	b.level.Never, b.level.Least, b.level.Caller, b.level.Whole = o.Never, o.Least, o.Caller, o.Whole
}

// serveLevel sets the handlers of the level.
func (b *Bothy) serveLevel(ctx context.Context, s *rpc.Server) {
	if b.level == nil {
		return
	}
	rpc.Handle(s, b.strain)
	rpc.Handle(s, b.fixLevel)
	go loop(ctx, levelEvery, nil, func(context.Context) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.stepLevel()
	})
}

// levelDuty takes the duty up or lays it down. The lock is held.
func (b *Bothy) levelDuty(duty string, term uint64, won bool) {
	switch {
	case b.level == nil || duty != DutyLevel:
	case won:
		b.level.Begin(b.now(), term)
	default:
		b.level.End()
	}
}

// stepLevel steps the level on where that is our duty, and says once what each change does.
// The lock is held.
func (b *Bothy) stepLevel() {
	now := b.now()
	if _, ok := b.election.Holds(now, DutyLevel); !ok || b.stopped {
		return
	}
	since := b.level.Since()
	if !b.level.Step(now, b.members) {
		return
	}
	l := b.level.Level()
	b.log.Info().Uint64("number", l.Number).Uint32("cut", l.Cut).Str("refused", snowline.DescribeAll(l.Cut, l.Cuts)).Str("why", l.Why).
		Uint64("turn", l.Turn).Float64("lastHeldMs", now-since).Float64("offered", b.level.Load().Sum()).Float64("fits", b.level.Rate()).
		Interface("fitsAt", b.level.Rates()).
		Msg("shedding level")
}

// strain takes a gatekeeper's report, here or at the bothy that has the duty.
func (b *Bothy) strain(ctx context.Context, q waymark.Strain) (a waymark.Eased, err error) {
	b.mu.Lock()
	now := b.now()
	if _, ok := b.election.Holds(now, DutyLevel); ok {
		defer b.mu.Unlock()
		b.level.Hear(now, q.Report)
		b.stepLevel()
		return waymark.Eased{Level: b.level.Level()}, nil
	}
	p := b.peers[b.election.Holder(now, DutyLevel)]
	b.mu.Unlock()
	if p == nil || q.Passed {
		return a, rpc.Errorf(rpc.Unavailable, "nobody has the duty")
	}
	q.Passed = true
	ctx, cancel := context.WithTimeout(ctx, strainMost)
	defer cancel()
	if a, err = rpc.Call[waymark.Strain, waymark.Eased](ctx, p, q); err == nil {
		b.mu.Lock()
		b.level.Note(a.Level)
		b.mu.Unlock()
	}
	return a, err
}

// fixLevel takes an operator's order. It has no number either: as one for a zone it is dropped where the tail is not
// reached, or its caller has left by then.
func (b *Bothy) fixLevel(ctx context.Context, q waymark.FixLevel) (a waymark.Eased, err error) {
	if q.Cut > policy.MarkOpen || !(q.ForMs >= 0 && q.ForMs <= fixMost) {
		return a, rpc.Errorf(rpc.Invalid, "no such cut, or not for a time up to a day")
	}
	b.mu.Lock()
	have := b.state.Last
	b.mu.Unlock()
	if !q.Passed {
		asked, cancel := context.WithTimeout(ctx, b.patience)
		_, err = b.tails(asked, have)
		cancel()
		if err == nil && ctx.Err() != nil {
			err = rpc.Errorf(rpc.Unavailable, "the caller has left")
		}
		if err != nil {
			return a, err
		}
	}
	b.mu.Lock()
	now := b.now()
	if _, ok := b.election.Holds(now, DutyLevel); ok {
		defer b.mu.Unlock()
		b.level.Fix(now, max(q.Cut, 1), q.ForMs)
		b.log.Info().Str("refused", snowline.Describe(q.Cut)).Float64("forMs", q.ForMs).Msg("an operator's order for the shedding level")
		return waymark.Eased{Level: b.level.Level()}, nil
	}
	p := b.peers[b.election.Holder(now, DutyLevel)]
	b.mu.Unlock()
	if p == nil || q.Passed {
		return a, rpc.Errorf(rpc.Unavailable, "nobody has the duty")
	}
	q.Passed = true
	ctx, cancel := context.WithTimeout(ctx, callMost)
	defer cancel()
	return rpc.Call[waymark.FixLevel, waymark.Eased](ctx, p, q)
}

// levelLines is the level's part of the status. The lock is held.
func (b *Bothy) levelLines() (lines []string) {
	if b.level == nil {
		return nil
	}
	now, l := b.now(), b.level.Level()
	say := func(format string, a ...any) { lines = append(lines, fmt.Sprintf(format, a...)) }
	say("duty %s held by %s", DutyLevel, b.election.Holder(now, DutyLevel))
	say("shedding level %d turn %d refuses %s, never shed: priority below %d, least of a tier %.2f, callers by %q",
		l.Number, l.Turn, snowline.DescribeAll(l.Cut, l.Cuts), l.Never, l.Least, l.Caller)
	if _, ok := b.election.Holds(now, DutyLevel); ok {
		say("shedding level stands for %.0f ms: %s; offered %.1f/s, fits %.1f/s (0: not known), at services %v", now-b.level.Since(), l.Why,
			b.level.Load().Sum(), b.level.Rate(), b.level.Rates())
	}
	return lines
}

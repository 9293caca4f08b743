package platform

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"

	"foxwood/gatekeeper"
	"foxwood/internal/settings"
	"foxwood/policy"
)

// List is discovery's list of workers, whole or as changes.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Instance is one worker of a list.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   float64 `json:"startedAtMs"`
}

// HostGroup passes every list on and remembers the version held.
type HostGroup struct {
	Core  *gatekeeper.Gatekeeper
	Fleet interface {
		// Place tells where a worker that takes work listens, and when its process started.
		Place(id policy.Server, addr string, since float64)
	}
	Names settings.Names

	version int64
	listed  map[policy.Server]Instance // draining ones too
}

// Address is where a listed worker listens, empty where it is not known.
func (g *HostGroup) Address(id policy.Server) string { return g.listed[id].Addr }

// List is what is held, whole.
func (g *HostGroup) List() List {
	l := List{Generation: g.version, Reset: true}
	for _, id := range slices.Sorted(maps.Keys(g.listed)) {
		l.Instances = append(l.Instances, g.listed[id])
	}
	return l
}

// Path asks for a watch of what comes after the version held.
func (g *HostGroup) Path() string {
	return fmt.Sprintf("/registry/instances?stream=1&index=%d", g.version)
}

// Line takes one line of the watch.
func (g *HostGroup) Line(text []byte) error {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("host group: %w", err)
	}
	kind := policy.Delta
	if l.Reset {
		kind = policy.FullList
	}
	g.Apply(kind, l)
	return nil
}

// Apply takes a list.
func (g *HostGroup) Apply(kind policy.ListKind, l List) {
	entries := make([]policy.Entry, 0, len(l.Instances))
	before := g.listed
	if kind != policy.Delta || g.listed == nil {
		g.listed = map[policy.Server]Instance{}
	}
	for _, it := range l.Instances {
		e := policy.Entry{
			Server: serverID(it.ID), State: lifecycle(it.Lifecycle), Weight: it.Weight,
			Zone: max(slices.Index(g.Names.Zones, it.Zone), 0), Cell: it.Cell,
			ReadyAt: policy.Micros(it.Started * 1000),
		}
		if e.State == policy.Gone {
			delete(g.listed, e.Server)
		} else {
			if old, ok := before[e.Server]; ok && old.Addr != it.Addr { // what is known of it is of another process
				left := e
				left.State = policy.Gone
				entries = append(entries, left)
			}
			g.listed[e.Server] = it
		}
		if e.State == policy.Ready {
			g.Fleet.Place(e.Server, it.Addr, it.Started)
		}
		entries = append(entries, e)
	}
	g.version = l.Generation
	g.Core.Workers(kind, entries)
	ready, listed := g.Core.Size()
	slog.Info("host group", "version", g.version, "ready", ready, "listed", listed)
}

// lifecycle reads a state. One that is not known is taken for draining: it gets
// nothing new and keeps what it has.
func lifecycle(s string) policy.State {
	switch s {
	case "ready":
		return policy.Ready
	case "gone":
		return policy.Gone
	}
	return policy.Draining
}

// serverID is the module's name of a worker, the same at every gatekeeper.
func serverID(id string) policy.Server {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return policy.Server(h.Sum64())
}

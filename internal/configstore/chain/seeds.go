package chain

import "slices"

// SetSeeds replaces the addresses of core machines that are contacted at first. They are used while no
// view is known, while this machine is outside the core, and while it hears no majority of the
// core.
func (m *Machine) SetSeeds(addrs []string) { m.config.Seeds = slices.Clone(addrs) }

package link

// Budget divides the descriptors that the process may hold.
type Budget struct {
	Clients, Servers, Counters int // the most open at once
	Openings                   int // server links being opened
}

const (
	reservedFDs       = 48 // the runtime, the loop, the listeners, standard files, discovery, a handover
	minReservedFDs    = 28 // of which so many are open at most; the rest is for what nobody thought of
	reservedFDDivisor = 8  // where descriptors are few, this part of them at most
	maxDialingConns   = 24 // server links being opened, each with two descriptors for a moment
	maxCounterConns   = 8  // of the 32 that the counter keeps

	dialingFDDivisor = 16 // where descriptors are few, this part of them is for links being opened,
	minDialingConns  = 6  // and so many at least
)

// NewBudget divides a limit, of which so many are set aside for parts beside the loop: a
// third of what is left after the reserve goes to server links, whose number the module's
// bound keeps far lower, the rest to clients.
func NewBudget(limit, aside int) *Budget {
	openings := max(min(maxDialingConns, limit/dialingFDDivisor), minDialingConns)
	kept := max(min(reservedFDs, limit/reservedFDDivisor), minReservedFDs)
	left := max(limit-aside-kept-2*openings-maxCounterConns, 16)
	return &Budget{Servers: left / 3, Clients: left - left/3, Counters: maxCounterConns, Openings: openings}
}

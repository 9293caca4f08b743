package link

// Budget divides the file descriptors that the process may hold between kinds of connections.
type Budget struct {
	MaxClients, MaxWorkers, MaxCounters int // limits on connections that are open at once
	MaxDialing                          int // limit on worker connections that are being dialed
}

const (
	reservedFDs       = 48 // runtime, event loop, listeners, standard files, service discovery and handover
	minReservedFDs    = 28 // known uses open at most this many at once; the rest of the reserve is a margin
	reservedFDDivisor = 8  // with a low limit, 1/8 of it is reserved, but at least minReservedFDs
	maxDialingConns   = 24 // worker connections being dialed; each briefly uses two descriptors
	maxCounterConns   = 8  // the counter service accepts 32

	dialingFDDivisor = 16 // with a low limit, 1/16 of it is for connections being dialed,
	minDialingConns  = 6  // but at least this many
)

// NewBudget divides a descriptor limit, of which aside descriptors are set aside for parts of
// the process other than the loop. A third of what is left after the reserve goes to worker
// connections, whose number the concurrency limit keeps far lower, and the rest to clients.
func NewBudget(limit, aside int) *Budget {
	dialing := max(min(maxDialingConns, limit/dialingFDDivisor), minDialingConns)
	reserved := max(min(reservedFDs, limit/reservedFDDivisor), minReservedFDs)
	available := max(limit-aside-reserved-2*dialing-maxCounterConns, 16)
	return &Budget{MaxWorkers: available / 3, MaxClients: available - available/3, MaxCounters: maxCounterConns, MaxDialing: dialing}
}

package link

// Budget divides the descriptors that the process may hold.
type Budget struct {
	Clients, Servers, Counters int // the most open at once
	Openings                   int // server links being opened
}

const (
	reserve      = 48 // the runtime, the loop, the listeners, standard files, discovery, a handover
	reserveLeast = 28 // of which so many are open at most; the rest is for what nobody thought of
	reservePart  = 8  // where descriptors are few, this part of them at most
	openingsMost = 24 // server links being opened, each with two descriptors for a moment
	countersMost = 8  // of the 32 that the counter keeps

	openingsPart  = 16 // where descriptors are few, this part of them is for links being opened,
	openingsLeast = 6  // and so many at least
)

// NewBudget divides a limit, of which so many are set aside for parts beside the loop: a
// third of what is left after the reserve goes to server links, whose number the module's
// bound keeps far lower, the rest to clients.
func NewBudget(limit, aside int) *Budget {
	openings := max(min(openingsMost, limit/openingsPart), openingsLeast)
	kept := max(min(reserve, limit/reservePart), reserveLeast)
	left := max(limit-aside-kept-2*openings-countersMost, 16)
	return &Budget{Servers: left / 3, Clients: left - left/3, Counters: countersMost, Openings: openings}
}

package fleet

import "github.com/pkg/errors"

// Cores is an amount of processor time in processor cores, such as 0.144.
type Cores float64

// maxCores bounds the processor share that a router reports.
const maxCores Cores = 1024

// maxRoomConnections bounds the numbers of connections that a router reports.
const maxRoomConnections = 1 << 20

// Room is a router's capacity for callers, and how much of it is used. The zero value means that the
// capacity is not known: routers of earlier releases do not report it.
type Room struct {
	// Connections is the number of callers' connections that the router takes; 0 means no limit.
	Connections int `json:"C,omitempty"`
	// Open is the number of callers' connections that are open and are not closed for new ones. It
	// may exceed Connections.
	Open int `json:"O,omitempty"`
	// Cores is the processor time that the router may use; 0 means no limit.
	Cores Cores `json:"P,omitempty"`
	// Reduction is the fraction of the router's usual callers that should use other routers because
	// its connections run out, 0 to 1.
	Reduction float64 `json:"R,omitempty"`
	// Crowded is true while the router rejects many of its callers.
	Crowded bool `json:"K,omitempty"`
}

// Check implements Checker.
func (r *Room) Check() error {
	if r.Connections < 0 || r.Connections > maxRoomConnections || r.Open < 0 || r.Open > maxRoomConnections {
		return errors.Errorf("%d of %d connections are open; both must be from 0 to %d", r.Open, r.Connections, maxRoomConnections)
	}
	if r.Cores < 0 || r.Cores > maxCores {
		return errors.Errorf("P is %g cores; it must be from 0 to %g", float64(r.Cores), float64(maxCores))
	}
	if r.Reduction < 0 || r.Reduction > 1 {
		return errors.Errorf("R is %g; it must be from 0 to 1", r.Reduction)
	}
	return nil
}

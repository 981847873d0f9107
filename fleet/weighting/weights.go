package weighting

// Capacities returns the capacities of the routers of a data centre. One whose processor time is
// not known counts as the mean of the others.
func Capacities(routers []Router) []Capacity { return capacities(pointers(routers)) }

func pointers(routers []Router) []*Router {
	out := make([]*Router, len(routers))
	for i := range routers {
		out[i] = &routers[i]
	}
	return out
}

func capacities(routers []*Router) []Capacity {
	sum, known := 0.0, 0
	for _, r := range routers {
		if r.Room.Cores > 0 {
			sum += float64(r.Room.Cores)
			known++
		}
	}
	out := make([]Capacity, len(routers))
	for i, r := range routers {
		out[i] = 1
		if r.Room.Cores > 0 {
			out[i] = Capacity(float64(r.Room.Cores) / (sum / float64(known)))
		}
	}
	return out
}

// Weights returns the weights of the routers of a data centre by their names, from 0 to 1.
func Weights(routers []Router) map[string]float64 {
	out := make(map[string]float64, len(routers))
	for _, c := range weigh(pointers(routers)) {
		out[c.Name] = c.weight
	}
	return out
}

// weigh returns the routers of a data centre with their weights: the processor time as a part of
// the largest one, times what the router can take as a part of what all can take. Routers that all
// reduce their callers alike thus keep them: moving callers would not help.
func weigh(routers []*Router) []candidate {
	sizes := capacities(routers)
	largest, sum, taken := Capacity(0), Capacity(0), Capacity(0)
	for i, c := range sizes {
		largest = max(largest, c)
		sum += c
		taken += c * Capacity(1-routers[i].Room.Reduction)
	}
	out := make([]candidate, len(routers))
	for i, r := range routers {
		c := candidate{Router: r, capacity: sizes[i], share: max(minWeight, float64(sizes[i]/largest))}
		remaining := 1 - r.Room.Reduction
		if mean := float64(taken / sum); remaining < mean-tolerance {
			c.weight = max(minWeight, c.share*remaining/mean)
		} else {
			c.weight = c.share
		}
		out[i] = c
	}
	return out
}

package dispatch

// indexedHeap is a binary heap that tracks the position of each item, so that any item can be
// moved or removed in logarithmic time.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// place stores the position of an item; -1 means that it is not in the heap.
	place func(x T, i int)
}

// Len returns the number of items.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Min returns the least item of a heap that is not empty.
func (h *indexedHeap[T]) Min() T { return h.items[0] }

// Push adds an item.
func (h *indexedHeap[T]) Push(x T) {
	h.items = append(h.items, x)
	h.place(x, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// Remove removes the item at position i.
func (h *indexedHeap[T]) Remove(i int) {
	last := len(h.items) - 1
	removed := h.items[i]
	h.items[i] = h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.place(h.items[i], i)
		h.Fix(i)
	}
	h.place(removed, -1)
}

// Fix restores the order after the item at position i changed.
func (h *indexedHeap[T]) Fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the item at position i down to its place and reports whether it moved.
func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return i != start
		}
		h.swap(i, least)
		i = least
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.place(h.items[i], i)
	h.place(h.items[j], j)
}

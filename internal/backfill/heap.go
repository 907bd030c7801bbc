package backfill

// heap is a binary min-heap. It reports each item's index through setIndex, so that an item whose
// order changed, or that is removed, needs no search.
type heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(x T, at int) // -1: not in the heap
}

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	h.setIndex(x, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// fix restores the order after the item at an index changed.
func (h *heap[T]) fix(at int) {
	if !h.down(at) {
		h.up(at)
	}
}

// remove removes and returns the item at an index.
func (h *heap[T]) remove(at int) T {
	x, last := h.items[at], len(h.items)-1
	h.swap(at, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if at < last {
		h.fix(at)
	}
	h.setIndex(x, -1)
	return x
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

func (h *heap[T]) up(i int) {
	for i > 0 && h.less(h.items[i], h.items[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

// down moves the item at index i towards the leaves, and reports whether it moved.
func (h *heap[T]) down(i int) bool {
	from := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > from
}

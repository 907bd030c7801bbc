package room

// heap is a binary heap, the least first, whose items know their places, so that one whose
// order changed or that left is found at once.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(x T, at int) // -1: not in the heap
}

func (h *heap[T]) put(x T) {
	h.items = append(h.items, x)
	h.place(x, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) fix(at int) {
	if !h.down(at) {
		h.up(at)
	}
}

func (h *heap[T]) remove(at int) T {
	x, last := h.items[at], len(h.items)-1
	h.swap(at, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if at < last {
		h.fix(at)
	}
	h.place(x, -1)
	return x
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.place(h.items[i], i)
	h.place(h.items[j], j)
}

func (h *heap[T]) up(i int) {
	for i > 0 && h.less(h.items[i], h.items[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h *heap[T]) down(i int) bool {
	from := i
	for {
		c := 2*i + 1
		if c >= len(h.items) {
			break
		}
		if c+1 < len(h.items) && h.less(h.items[c+1], h.items[c]) {
			c++
		}
		if !h.less(h.items[c], h.items[i]) {
			break
		}
		h.swap(i, c)
		i = c
	}
	return i > from
}

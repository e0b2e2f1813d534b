package queuer

// heap is a binary heap whose items know their place in it, so that any of
// them can be removed in logarithmic time.
type heap[T any] struct {
	items []T
	// less orders the items; the least one is at the top.
	less func(a, b T) bool
	// place returns where an item keeps its place; -1 stands for outside.
	place func(T) *int
}

func (h *heap[T]) top() (item T, found bool) {
	if len(h.items) == 0 {
		return item, false
	}
	return h.items[0], true
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	*h.place(item) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(item T) {
	at := *h.place(item)
	if at < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(at, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.place(item) = -1
	if at < last {
		h.down(at)
		h.up(at)
	}
}

// fix restores the order after the item's key changed.
func (h *heap[T]) fix(item T) {
	at := *h.place(item)
	h.down(at)
	h.up(*h.place(item))
}

func (h *heap[T]) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !h.less(h.items[at], h.items[parent]) {
			return
		}
		h.swap(at, parent)
		at = parent
	}
}

func (h *heap[T]) down(at int) {
	for {
		least := at
		for child := 2*at + 1; child <= 2*at+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == at {
			return
		}
		h.swap(at, least)
		at = least
	}
}

func (h *heap[T]) swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	*h.place(h.items[a]) = a
	*h.place(h.items[b]) = b
}

package queuer

// heap is a binary heap whose items store their index in it, so that any item can
// be removed in logarithmic time.
type heap[T any] struct {
	items []T
	// less orders the items; the least one is at the top.
	less func(a, b T) bool
	// index returns where an item stores its index; -1 means not in the heap.
	index func(T) *int
}

func (h *heap[T]) top() (item T, found bool) {
	if len(h.items) == 0 {
		return item, false
	}
	return h.items[0], true
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	*h.index(item) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

// remove removes an item; an item that is not in the heap is ignored.
func (h *heap[T]) remove(item T) {
	i := *h.index(item)
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(item) = -1
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// fix restores the order after the item's key changed.
func (h *heap[T]) fix(item T) {
	i := *h.index(item)
	h.down(i)
	h.up(*h.index(item))
}

// up moves an item up until its parent is not greater.
func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves an item down until none of its children is less.
func (h *heap[T]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

func (h *heap[T]) swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	*h.index(h.items[a]) = a
	*h.index(h.items[b]) = b
}

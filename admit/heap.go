package admit

// heap is a binary heap that reports the index of each element through setIndex,
// so that any element can be removed in O(log n).
type heap[T any] struct {
	list     []T
	less     func(a, b T) bool
	setIndex func(x T, at int)
}

func (h *heap[T]) len() int { return len(h.list) }

func (h *heap[T]) push(x T) {
	h.list = append(h.list, x)
	h.setIndex(x, len(h.list)-1)
	h.up(len(h.list) - 1)
}

func (h *heap[T]) remove(at int) T {
	last := len(h.list) - 1
	x := h.list[at]
	h.swap(at, last)
	var zero T
	h.list[last] = zero
	h.list = h.list[:last]
	if at < last {
		h.fix(at)
	}
	return x
}

func (h *heap[T]) fix(at int) {
	if !h.down(at) {
		h.up(at)
	}
}

func (h *heap[T]) rebuild() {
	for at := len(h.list)/2 - 1; at >= 0; at-- {
		h.down(at)
	}
}

func (h *heap[T]) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !h.less(h.list[at], h.list[parent]) {
			return
		}
		h.swap(at, parent)
		at = parent
	}
}

func (h *heap[T]) down(at int) bool {
	from := at
	for {
		child := 2*at + 1
		if child >= len(h.list) {
			break
		}
		if child+1 < len(h.list) && h.less(h.list[child+1], h.list[child]) {
			child++
		}
		if !h.less(h.list[child], h.list[at]) {
			break
		}
		h.swap(at, child)
		at = child
	}
	return at > from
}

func (h *heap[T]) swap(a, b int) {
	if a == b {
		return
	}
	h.list[a], h.list[b] = h.list[b], h.list[a]
	h.setIndex(h.list[a], a)
	h.setIndex(h.list[b], b)
}

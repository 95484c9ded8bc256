package connlimit

// list is a list whose nodes are parts of its elements, so that moving an element from one list to another, which happens
// several times for each request, allocates nothing.
type list[T any] struct {
	first, last *node[T]
	len         int
}

// node is the part of an element that one list at a time uses.
type node[T any] struct {
	prev, next *node[T]
	in         *list[T]
	value      *T
}

// pushBack adds a node that is in no list.
func (l *list[T]) pushBack(n *node[T], value *T) { l.insertAfter(l.last, n, value) }

// insertAfter adds a node that is in no list after another one; nil is the beginning.
func (l *list[T]) insertAfter(prev, n *node[T], value *T) {
	next := l.first
	if prev != nil {
		next = prev.next
	}
	n.in, n.value, n.prev, n.next = l, value, prev, next
	if prev == nil {
		l.first = n
	} else {
		prev.next = n
	}
	if next == nil {
		l.last = n
	} else {
		next.prev = n
	}
	l.len++
}

// remove removes a node from its list, if it is in one.
func (n *node[T]) remove() {
	l := n.in
	if l == nil {
		return
	}
	if n.prev == nil {
		l.first = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		l.last = n.prev
	} else {
		n.next.prev = n.prev
	}
	l.len--
	n.prev, n.next, n.in = nil, nil, nil
}

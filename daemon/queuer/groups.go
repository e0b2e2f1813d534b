package queuer

import "cmp"

// HeadOfKind returns the entry of a kind that has to start first, whatever its tier.
func (q *Queue[T]) HeadOfKind(kind string) (e *Entry[T], found bool) { return topOf(q.byKind, kind) }

// HeadOfOrganisation returns the entry of an organisation that has to start first,
// whatever its tier.
func (q *Queue[T]) HeadOfOrganisation(name string) (e *Entry[T], found bool) {
	return topOf(q.byOrganisation, name)
}

// WaitingOfKind returns the number of entries of a kind, skipped ones included.
func (q *Queue[T]) WaitingOfKind(kind string) int { return sizeOf(q.byKind, kind) }

// WaitingOfOrganisation returns the number of entries of an organisation, skipped ones
// included.
func (q *Queue[T]) WaitingOfOrganisation(name string) int { return sizeOf(q.byOrganisation, name) }

func sizeOf[T any](groups map[string]*heap[*Entry[T]], name string) int {
	if group := groups[name]; group != nil {
		return len(group.items)
	}
	return 0
}

func topOf[T any](groups map[string]*heap[*Entry[T]], name string) (e *Entry[T], found bool) {
	if group := groups[name]; group != nil {
		return group.top()
	}
	return nil, false
}

// addToGroups adds an entry to its kind and organisation.
func (q *Queue[T]) addToGroups(e *Entry[T]) {
	if q.byKind == nil {
		q.byKind, q.byOrganisation = map[string]*heap[*Entry[T]]{}, map[string]*heap[*Entry[T]]{}
	}
	e.kindIndex, e.memberIndex = -1, -1
	pushTo(q.byKind, e.Kind, e, func(e *Entry[T]) *int { return &e.kindIndex })
	pushTo(q.byOrganisation, e.Organisation, e, func(e *Entry[T]) *int { return &e.memberIndex })
}

func pushTo[T any](groups map[string]*heap[*Entry[T]], name string, e *Entry[T], index func(*Entry[T]) *int) {
	group := groups[name]
	if group == nil {
		group = &heap[*Entry[T]]{index: index}
		group.less = func(a, b *Entry[T]) bool {
			return cmp.Or(cmp.Compare(a.LatestStart, b.LatestStart), cmp.Compare(a.sequence, b.sequence)) < 0
		}
		groups[name] = group
	}
	group.push(e)
}

// removeFromGroups removes an entry from its kind and organisation.
func (q *Queue[T]) removeFromGroups(e *Entry[T]) {
	removeFrom(q.byKind, e.Kind, e)
	removeFrom(q.byOrganisation, e.Organisation, e)
}

// removeFrom removes an entry from a group, and the group if it is empty then.
func removeFrom[T any](groups map[string]*heap[*Entry[T]], name string, e *Entry[T]) {
	group := groups[name]
	group.remove(e)
	if len(group.items) == 0 {
		delete(groups, name)
	}
}

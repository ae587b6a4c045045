package lookup

// change sets or removes one block of a tree.
type change[K word] struct {
	key    K
	length uint8
	value  uint16
	remove bool
}

// last returns the last address of the changed block.
func (c change[K]) last() K { return c.key | ^mask(^K(0), c.length) }

// apply returns a copy of the tree with the changes, which must be sorted and
// distinct. The copy shares all pages that no change affects.
func (t *tree[K]) apply(changes []change[K]) *tree[K] {
	if len(changes) == 0 {
		return t
	}
	w := &writer[K]{}
	next := 0
	for len(changes) > 0 {
		from, to, n := t.pageSpan(changes)
		w.sharePages(t, next, from)
		w.rewritePages(t, from, to, changes[:n])
		next = to
		changes = changes[n:]
	}
	w.sharePages(t, next, len(t.pages))
	return w.finish()
}

// pageSpan returns the range of pages that must be rewritten together for the first n
// changes: those of the changed blocks and of all blocks that they enclose, whose
// parents may change.
func (t *tree[K]) pageSpan(changes []change[K]) (from, to, n int) {
	if t.size == 0 {
		return 0, 0, len(changes)
	}
	from = t.pageOf(changes[0].key, changes[0].length)
	for _, c := range changes {
		if n > 0 && t.pageOf(c.key, c.length) >= to {
			break
		}
		to = max(to, t.pageOf(c.last(), anyLength)+1)
		n++
	}
	return from, to, n
}

// ancestors returns the blocks that enclose the first block of a page, outermost first.
func (t *tree[K]) ancestors(at int) []enclosingBlock[K] {
	if at >= len(t.pages) {
		return nil
	}
	var chain []enclosingBlock[K]
	p, i := t.pages[at], 0
	for p.parents[i] != noParent {
		parent := enclosingBlock[K]{key: mask(p.keys[i], p.parents[i]), length: p.parents[i]}
		chain = append([]enclosingBlock[K]{parent}, chain...)
		p, i = t.find(parent.key, parent.length)
	}
	return chain
}

// enclosingBlock is a block that encloses the blocks being written.
type enclosingBlock[K word] struct {
	key    K
	length uint8
}

// writer builds a tree from blocks that are added in order.
type writer[K word] struct {
	result  tree[K]
	current *page[K]
	// pageLimit is the number of blocks at which the current page is complete.
	pageLimit int
	// enclosing holds the last block written and the blocks that enclose it, outermost first.
	enclosing []enclosingBlock[K]
}

func newWriter[K word]() *writer[K] { return &writer[K]{pageLimit: pageSize} }

// add appends one block.
func (w *writer[K]) add(key K, length uint8, value uint16) {
	if w.current == nil {
		w.current = new(page[K])
	}
	p, i := w.current, w.current.count
	if i%sampleEvery == 0 {
		p.samples[i/sampleEvery] = key
	}
	p.keys[i] = key
	p.lengths[i] = length
	p.parents[i] = w.parentOf(key)
	p.values[i] = value
	p.count++
	w.enclosing = append(w.enclosing, enclosingBlock[K]{key: key, length: length})
	if p.count == w.pageLimit {
		w.flush()
	}
}

// parentOf removes the blocks that do not enclose key from the end of w.enclosing and
// returns the length of the closest block that does, or noParent.
func (w *writer[K]) parentOf(key K) uint8 {
	for n := len(w.enclosing); n > 0; n-- {
		top := w.enclosing[n-1]
		if commonLength(top.key, key) >= int(top.length) {
			return top.length
		}
		w.enclosing = w.enclosing[:n-1]
	}
	return noParent
}

func (w *writer[K]) flush() {
	if w.current != nil {
		w.appendPage(w.current)
		w.current = nil
	}
}

func (w *writer[K]) appendPage(p *page[K]) {
	w.result.pages = append(w.result.pages, p)
	w.result.first = append(w.result.first, p.keys[0])
	w.result.firstLength = append(w.result.firstLength, p.lengths[0])
	w.result.size += p.count
}

// sharePages appends pages of another tree without copying them.
func (w *writer[K]) sharePages(t *tree[K], from, to int) {
	for _, p := range t.pages[from:to] {
		w.appendPage(p)
	}
}

// rewritePages merges pages of another tree with changes into new pages of about equal size.
func (w *writer[K]) rewritePages(t *tree[K], from, to int, changes []change[K]) {
	total := len(changes)
	for _, p := range t.pages[from:to] {
		total += p.count
	}
	pages := (total + pageSize - 1) / pageSize
	w.pageLimit = (total + pages - 1) / pages
	w.enclosing = t.ancestors(from)
	for _, p := range t.pages[from:to] {
		for i := range p.count {
			changes = w.writeChangesBefore(p.keys[i], p.lengths[i], changes)
			if len(changes) > 0 && changes[0].key == p.keys[i] && changes[0].length == p.lengths[i] {
				continue
			}
			w.add(p.keys[i], p.lengths[i], p.values[i])
		}
	}
	for _, c := range changes {
		w.writeChange(c)
	}
	w.flush()
}

// writeChangesBefore writes the changes that sort before a block and returns the
// remaining ones.
func (w *writer[K]) writeChangesBefore(key K, length uint8, changes []change[K]) []change[K] {
	for len(changes) > 0 && !precedes(key, length, changes[0].key, changes[0].length) {
		w.writeChange(changes[0])
		changes = changes[1:]
	}
	return changes
}

func (w *writer[K]) writeChange(c change[K]) {
	if !c.remove {
		w.add(c.key, c.length, c.value)
	}
}

func (w *writer[K]) finish() *tree[K] {
	w.flush()
	return &w.result
}

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

// apply returns a tree with the changes, which are in order and distinct. It
// shares the pages that no change touches.
func (t *tree[K]) apply(changes []change[K]) *tree[K] {
	if len(changes) == 0 {
		return t
	}
	w := &writer[K]{}
	kept := 0
	for len(changes) > 0 {
		from, to, n := t.span(changes)
		w.share(t, kept, from)
		w.rewrite(t, from, to, changes[:n])
		kept = to
		changes = changes[n:]
	}
	w.share(t, kept, len(t.pages))
	return w.tree()
}

// span returns the pages that must be written together for the first n changes:
// those that hold a block inside one of the changed ones.
func (t *tree[K]) span(changes []change[K]) (from, to, n int) {
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

// ancestors returns the blocks that enclose the first one of a page, outermost first.
func (t *tree[K]) ancestors(at int) []frame[K] {
	if at >= len(t.pages) {
		return nil
	}
	var chain []frame[K]
	p, i := t.pages[at], 0
	for p.parents[i] != noParent {
		parent := frame[K]{key: mask(p.keys[i], p.parents[i]), length: p.parents[i]}
		chain = append([]frame[K]{parent}, chain...)
		p, i = t.find(parent.key, parent.length)
	}
	return chain
}

// frame is a block that encloses the ones being written.
type frame[K word] struct {
	key    K
	length uint8
}

// writer makes a tree from blocks in order.
type writer[K word] struct {
	done tree[K]
	open *page[K]
	// limit is how many blocks the open page gets.
	limit int
	// enclosing is the chain of blocks around the last one written.
	enclosing []frame[K]
}

func newWriter[K word]() *writer[K] { return &writer[K]{limit: pageSize} }

// add appends one block.
func (w *writer[K]) add(key K, length uint8, value uint16) {
	if w.open == nil {
		w.open = newPage[K](w.limit)
	}
	p := w.open
	p.keys = append(p.keys, key)
	p.lengths = append(p.lengths, length)
	p.parents = append(p.parents, w.parentOf(key))
	p.values = append(p.values, value)
	w.enclosing = append(w.enclosing, frame[K]{key: key, length: length})
	if len(p.keys) == w.limit {
		w.flush()
	}
}

// parentOf drops the blocks that do not enclose key and returns the length of the closest that does.
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

func newPage[K word](n int) *page[K] {
	return &page[K]{keys: make([]K, 0, n), lengths: make([]uint8, 0, n), parents: make([]uint8, 0, n), values: make([]uint16, 0, n)}
}

func (w *writer[K]) flush() {
	if w.open != nil {
		w.append(w.open)
		w.open = nil
	}
}

func (w *writer[K]) append(p *page[K]) {
	w.done.pages = append(w.done.pages, p)
	w.done.first = append(w.done.first, p.keys[0])
	w.done.firstLength = append(w.done.firstLength, p.lengths[0])
	w.done.size += len(p.keys)
}

// share takes over pages of another tree as they are.
func (w *writer[K]) share(t *tree[K], from, to int) {
	for _, p := range t.pages[from:to] {
		w.append(p)
	}
}

// rewrite merges pages of another tree with changes, into pages of equal size.
func (w *writer[K]) rewrite(t *tree[K], from, to int, changes []change[K]) {
	most := len(changes)
	for _, p := range t.pages[from:to] {
		most += len(p.keys)
	}
	pages := (most + pageSize - 1) / pageSize
	w.limit = (most + pages - 1) / pages
	w.enclosing = t.ancestors(from)
	for _, p := range t.pages[from:to] {
		for i := range p.keys {
			changes = w.upTo(p.keys[i], p.lengths[i], changes)
			if len(changes) > 0 && changes[0].key == p.keys[i] && changes[0].length == p.lengths[i] {
				continue
			}
			w.add(p.keys[i], p.lengths[i], p.values[i])
		}
	}
	for _, c := range changes {
		w.change(c)
	}
	w.flush()
}

// upTo writes the changes that come before a block and returns the others.
func (w *writer[K]) upTo(key K, length uint8, changes []change[K]) []change[K] {
	for len(changes) > 0 && !precedes(key, length, changes[0].key, changes[0].length) {
		w.change(changes[0])
		changes = changes[1:]
	}
	return changes
}

func (w *writer[K]) change(c change[K]) {
	if !c.remove {
		w.add(c.key, c.length, c.value)
	}
}

func (w *writer[K]) tree() *tree[K] {
	w.flush()
	return &w.done
}

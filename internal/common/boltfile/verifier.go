package boltfile

import (
	"bytes"
	"encoding/binary"
)

// verifier checks the pages of a file. All pages that meta counts are in content.
type verifier struct {
	content []byte
	meta    meta
	seen    map[uint64]bool // pages that something refers to
}

// newVerifier returns a verifier of the state that a meta page describes.
func newVerifier(content []byte, m meta) *verifier {
	return &verifier{content: content, meta: m, seen: map[uint64]bool{0: true, 1: true}}
}

// verifyFile checks the list of free pages and all pages that the root bucket refers to.
func (v *verifier) verifyFile() error {
	if v.meta.freelist != noFreelist {
		if err := v.verifyFreelist(); err != nil {
			return err
		}
	}
	return v.verifyTree(v.meta.root, keyRange{})
}

// page is a page with the pages that continue it. Its content includes the header.
type page struct {
	id      uint64
	kind    uint16
	count   int
	content []byte
}

// readPage returns a page of the file, and marks it as one that something refers to.
func (v *verifier) readPage(id uint64) (page, error) {
	if id < 2 || id >= v.meta.pages {
		return page{}, damaged("page %d is not one of %d", id, v.meta.pages)
	}
	p := parsePage(v.content[id*v.meta.pageBytes:])
	end := id + 1 + uint64(binary.LittleEndian.Uint32(v.content[id*v.meta.pageBytes+12:]))
	if p.id != id || end > v.meta.pages {
		return page{}, damaged("page %d has the header of page %d and ends before page %d of %d", id, p.id, end, v.meta.pages)
	}
	for part := id; part < end; part++ {
		if v.seen[part] {
			return page{}, damaged("page %d comes twice", part)
		}
		v.seen[part] = true
	}
	p.content = v.content[id*v.meta.pageBytes : end*v.meta.pageBytes]
	return p, nil
}

// parsePage reads the header of a page. content is at least as long as the header.
func parsePage(content []byte) page {
	return page{id: binary.LittleEndian.Uint64(content), kind: binary.LittleEndian.Uint16(content[8:]),
		count: int(binary.LittleEndian.Uint16(content[10:])), content: content}
}

// verifyFreelist checks the page with the list of free pages. It marks no free page as seen: a page that the tree refers to too would be
// overwritten, and is found there.
func (v *verifier) verifyFreelist() error {
	p, err := v.readPage(v.meta.freelist)
	if err != nil {
		return err
	}
	const idBytes = 8
	if p.kind != freelistPage || p.count == manyFreePages || pageHeaderBytes+p.count*idBytes > len(p.content) {
		return damaged("page %d is no list of free pages", p.id)
	}
	last := uint64(1)
	for i := range p.count {
		id := binary.LittleEndian.Uint64(p.content[pageHeaderBytes+i*idBytes:])
		if id <= last || id >= v.meta.pages || v.seen[id] {
			return damaged("page %d lists page %d as free", p.id, id)
		}
		v.seen[id] = true
		last = id
	}
	return nil
}

// keyRange holds the bounds of the keys of a tree: from first, and below end. nil is no bound.
type keyRange struct{ first, end []byte }

// verifyTree checks the tree of a bucket from its page on.
func (v *verifier) verifyTree(id uint64, bounds keyRange) error {
	p, err := v.readPage(id)
	if err != nil {
		return err
	}
	switch p.kind {
	case branchPage:
		return v.verifyBranch(p, bounds)
	case leafPage:
		return v.verifyLeaf(p, bounds)
	}
	return damaged("page %d has the type %d", id, p.kind)
}

// verifyBranch checks a page that refers to pages, and these.
func (v *verifier) verifyBranch(p page, bounds keyRange) error {
	if p.count == 0 {
		return damaged("page %d refers to no page", p.id)
	}
	keys := make([][]byte, p.count)
	children := make([]uint64, p.count)
	for i := range keys {
		element, ok := p.element(i)
		if !ok {
			return damaged("page %d is shorter than its %d elements", p.id, p.count)
		}
		children[i] = binary.LittleEndian.Uint64(element[8:])
		keys[i], _, ok = cut(element, binary.LittleEndian.Uint32(element), binary.LittleEndian.Uint32(element[4:]), 0)
		if !ok {
			return damaged("page %d: element %d lies outside of it", p.id, i)
		}
	}
	if err := verifyOrder(p, keys, bounds); err != nil {
		return err
	}
	for i, child := range children {
		end := bounds.end
		if i+1 < len(keys) {
			end = keys[i+1]
		}
		if err := v.verifyTree(child, keyRange{keys[i], end}); err != nil {
			return err
		}
	}
	return nil
}

// verifyLeaf checks a page with keys and values, and the buckets among the values.
func (v *verifier) verifyLeaf(p page, bounds keyRange) error {
	keys := make([][]byte, p.count)
	for i := range keys {
		element, ok := p.element(i)
		if !ok {
			return damaged("page %d is shorter than its %d elements", p.id, p.count)
		}
		var value []byte
		keys[i], value, ok = leafElement(element)
		if !ok || len(keys[i]) == 0 {
			return damaged("page %d: element %d lies outside of it", p.id, i)
		}
		if isBucket(element) {
			if err := v.verifyBucket(value); err != nil {
				return err
			}
		}
	}
	return verifyOrder(p, keys, bounds)
}

// verifyBucket checks a bucket: its tree, or the page inside of the value.
func (v *verifier) verifyBucket(value []byte) error {
	if len(value) < bucketBytes {
		return damaged("a bucket of %d bytes", len(value))
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return v.verifyTree(root, keyRange{})
	}
	inline := value[bucketBytes:]
	if len(inline) < pageHeaderBytes {
		return damaged("a bucket of %d bytes without a page", len(value))
	}
	p := parsePage(inline)
	if p.id != 0 || p.kind != leafPage {
		return damaged("a bucket with a page of the type %d", p.kind)
	}
	return v.verifyLeaf(p, keyRange{})
}

// element returns the content of a page from one of its elements on.
func (p *page) element(i int) (content []byte, ok bool) {
	start := pageHeaderBytes + i*pageElementBytes
	if start+pageElementBytes > len(p.content) {
		return nil, false
	}
	return p.content[start:], true
}

// leafElement returns the key and the value of an element of a leaf page. ok is false if they are not in the page.
func leafElement(element []byte) (key, value []byte, ok bool) {
	return cut(element, binary.LittleEndian.Uint32(element[4:]), binary.LittleEndian.Uint32(element[8:]), binary.LittleEndian.Uint32(element[12:]))
}

// isBucket reports whether the value of an element of a leaf page is a bucket.
func isBucket(element []byte) bool { return binary.LittleEndian.Uint32(element)&bucketLeafFlag != 0 }

// cut returns the key and the value of an element, which lie at a distance from it. ok is false if they are not in the page.
func cut(element []byte, position, keyBytes, valueBytes uint32) (key, value []byte, ok bool) {
	start := uint64(position)
	middle := start + uint64(keyBytes)
	end := middle + uint64(valueBytes)
	if end > uint64(len(element)) {
		return nil, nil, false
	}
	return element[start:middle], element[middle:end], true
}

// verifyOrder checks that the keys of a page ascend and lie within the bounds of its tree.
func verifyOrder(p page, keys [][]byte, bounds keyRange) error {
	for i, key := range keys {
		inOrder := i == 0 || bytes.Compare(keys[i-1], key) < 0
		afterFirst := bounds.first == nil || bytes.Compare(bounds.first, key) <= 0
		beforeEnd := bounds.end == nil || bytes.Compare(key, bounds.end) < 0
		if !inOrder || !afterFirst || !beforeEnd {
			return damaged("page %d: key %d is out of order", p.id, i)
		}
	}
	return nil
}

package boltfile

import (
	"encoding/binary"
	"hash/fnv"
)

// The format of bbolt files, version 2: pages of one size, each with a header. The first two are meta pages, and the one with the higher
// transaction number is in force. All numbers are little-endian on the processors that the router is built for.
const (
	pageHeaderBytes     = 16
	pageElementBytes    = 16
	bucketBytes         = 16 // root page and sequence
	bucketSequenceStart = 8
	metaBytes           = 64
	metaPages           = 2

	boltMagic      = 0xED0CDAED
	boltVersion    = 2
	noFreelist     = ^uint64(0) // the list of free pages is not in the file
	minPageBytes   = 1 << 10
	maxPageBytes   = 1 << 24
	bucketLeafFlag = 1
	manyFreePages  = 0xFFFF // the count of a freelist page that has its real count in the first element
)

// The types of pages.
const (
	branchPage   = 1
	leafPage     = 2
	metaPage     = 4
	freelistPage = 16
)

// The offsets of fields in the header of a page, and in a meta page after its header. The checksum covers what comes before it.
const (
	pageKindStart    = 8
	versionStart     = 4
	pageBytesStart   = 8
	metaFlagsStart   = 12
	rootStart        = 16
	sequenceStart    = 24
	freelistStart    = 32
	pagesStart       = 40
	transactionStart = 48
	metaSumStart     = 56
)

// meta is the content of a meta page.
type meta struct {
	pageBytes   uint64
	flags       uint32
	root        uint64 // page of the root bucket
	sequence    uint64 // of the root bucket
	freelist    uint64
	pages       uint64 // number of pages
	transaction uint64
}

// noTransaction is the transaction number of a meta page that is not valid.
const noTransaction = ^uint64(0)

// currentMeta returns the valid meta page with the highest transaction number, and the transaction number of the other one.
func currentMeta(content []byte) (current meta, other uint64, err error) {
	first, firstOK := readMeta(content, 0)
	second, secondOK := secondMeta(content, first, firstOK)
	switch {
	case firstOK && secondOK && first.transaction > second.transaction:
		return first, second.transaction, nil
	case firstOK && secondOK:
		return second, first.transaction, nil
	case firstOK:
		return first, noTransaction, nil
	case secondOK:
		return second, noTransaction, nil
	}
	return meta{}, 0, damaged("no valid meta page in %d bytes", len(content))
}

// secondMeta returns the second meta page, whose offset is the size of a page: that of the first meta page if it is valid, or any that a
// file may have.
func secondMeta(content []byte, first meta, firstOK bool) (second meta, ok bool) {
	if firstOK {
		second, ok = readMeta(content, first.pageBytes)
		return second, ok && second.pageBytes == first.pageBytes
	}
	for size := uint64(minPageBytes); size <= maxPageBytes; size *= 2 {
		second, ok = readMeta(content, size)
		if ok && second.pageBytes == size {
			return second, true
		}
	}
	return meta{}, false
}

// readMeta returns the meta page at an offset. ok is false if it is not valid.
func readMeta(content []byte, offset uint64) (m meta, ok bool) {
	start := offset + pageHeaderBytes
	if start+metaBytes > uint64(len(content)) {
		return meta{}, false
	}
	text := content[start : start+metaBytes]
	m = meta{
		pageBytes:   uint64(binary.LittleEndian.Uint32(text[pageBytesStart:])),
		flags:       binary.LittleEndian.Uint32(text[metaFlagsStart:]),
		root:        binary.LittleEndian.Uint64(text[rootStart:]),
		sequence:    binary.LittleEndian.Uint64(text[sequenceStart:]),
		freelist:    binary.LittleEndian.Uint64(text[freelistStart:]),
		pages:       binary.LittleEndian.Uint64(text[pagesStart:]),
		transaction: binary.LittleEndian.Uint64(text[transactionStart:]),
	}
	ok = binary.LittleEndian.Uint32(text) == boltMagic && binary.LittleEndian.Uint32(text[versionStart:]) == boltVersion &&
		binary.LittleEndian.Uint64(text[metaSumStart:]) == metaSum(text) &&
		m.pageBytes >= minPageBytes && m.pageBytes <= maxPageBytes && m.pageBytes&(m.pageBytes-1) == 0
	return m, ok
}

// slot returns the page that holds this meta page.
func (m *meta) slot() uint64 { return m.transaction % metaPages }

// encode returns the page without the zeroes at its end.
func (m *meta) encode() []byte {
	page := make([]byte, pageHeaderBytes+metaBytes)
	binary.LittleEndian.PutUint64(page, m.slot())
	binary.LittleEndian.PutUint16(page[pageKindStart:], metaPage)
	text := page[pageHeaderBytes:]
	binary.LittleEndian.PutUint32(text, boltMagic)
	binary.LittleEndian.PutUint32(text[versionStart:], boltVersion)
	binary.LittleEndian.PutUint32(text[pageBytesStart:], uint32(m.pageBytes)) // at most maxPageBytes
	binary.LittleEndian.PutUint32(text[metaFlagsStart:], m.flags)
	binary.LittleEndian.PutUint64(text[rootStart:], m.root)
	binary.LittleEndian.PutUint64(text[sequenceStart:], m.sequence)
	binary.LittleEndian.PutUint64(text[freelistStart:], m.freelist)
	binary.LittleEndian.PutUint64(text[pagesStart:], m.pages)
	binary.LittleEndian.PutUint64(text[transactionStart:], m.transaction)
	binary.LittleEndian.PutUint64(text[metaSumStart:], metaSum(text))
	return page
}

// metaSum returns the checksum of the content of a meta page.
func metaSum(text []byte) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write(text[:metaSumStart]) // a hash returns no error
	return sum.Sum64()
}

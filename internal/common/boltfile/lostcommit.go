package boltfile

import (
	"bytes"
	"encoding/binary"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// LostCommit is the last transaction of a file, which is complete but for its meta page. bbolt syncs the pages of a transaction before it
// writes the meta page: a power failure in that write leaves a lost commit, and so does damage to the meta page later, when the
// transaction may have been acknowledged.
type LostCommit struct {
	path     string
	offset   int64 // of metaPage, in bytes
	metaPage []byte
}

// WriteCopy writes a copy of the file that has the transaction. The copy is not synced.
func (c *LostCommit) WriteCopy(path string) error {
	content, err := os.ReadFile(c.path)
	if err != nil {
		return err
	}
	if int64(len(content)) < c.offset+int64(len(c.metaPage)) {
		return damaged("%d bytes are fewer than before", len(content))
	}
	copy(content[c.offset:], c.metaPage)
	return os.WriteFile(path, content, 0o600)
}

// Restore writes the meta page to the file and syncs it. The error is ErrLocked if another process has the file open or has changed it since
// Verify; Verify may then be called again. Other errors are of the file system.
func (c *LostCommit) Restore() error {
	file, err := os.OpenFile(c.path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	if err := c.restore(file); err != nil {
		_ = file.Close() // the error of the write is returned
		return err
	}
	return file.Close()
}

// restore writes the meta page to the file, if the commit is still lost.
func (c *LostCommit) restore(file *os.File) error {
	if err := lock(file, unix.LOCK_EX); err != nil {
		return err
	}
	content, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	offset, page, err := verifyContent(content)
	if err != nil {
		return err
	}
	if offset != c.offset || !bytes.Equal(page, c.metaPage) {
		return ErrLocked
	}
	if _, err := file.WriteAt(c.metaPage, c.offset); err != nil {
		return err
	}
	return file.Sync()
}

// findLostCommit returns the meta page of the transaction after that of v, or nil if the file does not have that transaction. v has
// verified its file. Files that contain a list of free pages have none: it lists the pages of that transaction as free.
//
// A transaction that failed may have left pages too, which the next one with its number has overwritten in part.
func (v *verifier) findLostCommit() (*meta, error) {
	var complete, incomplete []meta
	pages := uint64(len(v.content)) / v.meta.pageBytes
	for id := uint64(metaPages); id < pages; id++ {
		if v.seen[id] || !v.hasNumber(id, v.meta.transaction+1) {
			continue
		}
		next := v.meta
		next.transaction++
		next.root, next.freelist, next.pages = id, noFreelist, pages
		if newVerifier(v.content, next).verifyFile() == nil {
			complete = append(complete, next)
		} else {
			incomplete = append(incomplete, next)
		}
	}
	switch {
	case len(complete) > 1:
		return nil, damaged("%d pages are the root of transaction %d", len(complete), v.meta.transaction+1)
	case len(complete) == 1:
		return &complete[0], nil
	case len(incomplete) > 0 || v.hasNumber(v.meta.root, v.meta.transaction) && v.nextMetaIsDamaged():
		return nil, damaged("transaction %d is not complete", v.meta.transaction+1)
	}
	return nil, nil
}

// nextMetaIsDamaged reports whether the meta page that is not valid still says that it is that of the transaction after v's.
func (v *verifier) nextMetaIsDamaged() bool {
	next := v.meta
	next.transaction++
	start := next.slot()*v.meta.pageBytes + pageHeaderBytes + transactionStart
	return binary.LittleEndian.Uint64(v.content[start:]) == next.transaction
}

// hasNumber reports whether a page is a root bucket with the number of a transaction.
func (v *verifier) hasNumber(id, transaction uint64) bool {
	content := v.content[id*v.meta.pageBytes : (id+1)*v.meta.pageBytes]
	p := parsePage(content)
	if p.id != id || p.kind != leafPage {
		return false
	}
	for i := range p.count {
		element, ok := p.element(i)
		if !ok {
			return false
		}
		_, value, ok := leafElement(element)
		if !ok || !isBucket(element) || len(value) < bucketBytes {
			continue
		}
		if binary.LittleEndian.Uint64(value[bucketSequenceStart:]) == transaction {
			return true
		}
	}
	return false
}

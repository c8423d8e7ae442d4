package storage

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// ErrRecordLogClosed is returned by Append before the first Replace, and after a failed one.
var ErrRecordLogClosed = errors.New("the record log has to be replaced first")

// recordSeparator ends a record. A record must not contain it.
const recordSeparator = '\n'

// RecordLog is an append-only file of small records, one a line: the CRC-32 (IEEE) of the record in hexadecimal, a space and
// the record. A damaged line does not make the lines after it unreadable.
//
// After any power failure ReadRecords returns the records of all calls for which Append or Replace returned nil. Records of
// a failed call may be there or not; after a failed Append the caller has to call Replace, because the file may end in the
// middle of a line. A RecordLog may be used by one goroutine at a time.
type RecordLog struct {
	folder, name string
	file         *os.File // opened for appending; nil before the first Replace and after a failed call
}

// NewRecordLog returns the log with a name in a folder. It does not open the file.
func NewRecordLog(folder, name string) *RecordLog { return &RecordLog{folder: folder, name: name} }

// ReadRecords returns the undamaged records of the log with a name in a folder, in their order, and the number of damaged
// lines. The last line counts as damaged if it is not complete. Its error is os.ErrNotExist if there is no file.
func ReadRecords(folder, name string) (records [][]byte, damaged int, err error) {
	stored, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		return nil, 0, errors.Wrapf(err, "storage: read log %s", name)
	}
	for len(stored) > 0 {
		line, rest, complete := bytes.Cut(stored, []byte{recordSeparator})
		stored = rest
		record, ok := decodeLine(line)
		if !complete || !ok {
			damaged++
			continue
		}
		records = append(records, record)
	}
	return records, damaged, nil
}

// decodeLine returns the record of a line. ok is false if the checksum does not match.
func decodeLine(line []byte) (record []byte, ok bool) {
	checksum, record, found := bytes.Cut(line, []byte{' '})
	if !found {
		return nil, false
	}
	sum, err := hex.DecodeString(string(checksum))
	if err != nil || len(sum) != checksumBytes || binary.BigEndian.Uint32(sum) != crc32.ChecksumIEEE(record) {
		return nil, false
	}
	return record, true
}

// encodeLines returns the lines of records.
func encodeLines(records [][]byte) []byte {
	var lines []byte
	for _, record := range records {
		lines = fmt.Appendf(lines, "%08x %s%c", crc32.ChecksumIEEE(record), record, recordSeparator)
	}
	return lines
}

// Append adds records with one write and one sync.
func (l *RecordLog) Append(records [][]byte) error {
	if l.file == nil {
		return ErrRecordLogClosed
	}
	_, err := l.file.Write(encodeLines(records))
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		return errors.CombineErrors(errors.Wrapf(err, "storage: append to log %s", l.name), l.Close())
	}
	return nil
}

// Replace replaces all records. After a power failure the file has either the records before or these.
func (l *RecordLog) Replace(records [][]byte) error {
	if err := l.Close(); err != nil {
		return err
	}
	path := filepath.Join(l.folder, l.name)
	if err := writeSynced(path+newSuffix, encodeLines(records)); err != nil {
		return errors.Wrapf(err, "storage: write log %s", l.name)
	}
	if err := os.Rename(path+newSuffix, path); err != nil {
		return errors.Wrapf(err, "storage: replace log %s", l.name)
	}
	if err := syncFolder(l.folder); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return errors.Wrapf(err, "storage: open log %s", l.name)
	}
	l.file = file
	return nil
}

// Close closes the file. Records that were acknowledged are already on the disk. The next call has to be Replace.
func (l *RecordLog) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	return errors.Wrapf(err, "storage: close log %s", l.name)
}

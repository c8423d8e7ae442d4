package storage

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// ErrDamaged says that a cache is not what was written last.
var ErrDamaged = errors.New("the cache is damaged")

const checksumBytes = 4

// WriteCache writes a file that is whole, or that ReadCache finds missing or damaged.
func WriteCache(folder, name string, content []byte) error {
	path := filepath.Join(folder, name)
	text := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(content))
	if err := writeSynced(path+".new", append(text, content...)); err != nil {
		return errors.Wrap(err, "storage: cache")
	}
	if err := os.Rename(path+".new", path); err != nil {
		return errors.Wrap(err, "storage: cache")
	}
	return syncFolder(folder)
}

func writeSynced(path string, text []byte) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Write(text); err != nil {
		return err
	}
	return f.Sync()
}

// ReadCache reads what WriteCache wrote.
func ReadCache(folder, name string) ([]byte, error) {
	text, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		return nil, errors.Wrap(err, "storage: cache")
	}
	if len(text) < checksumBytes || crc32.ChecksumIEEE(text[checksumBytes:]) != binary.BigEndian.Uint32(text) {
		return nil, errors.Wrapf(ErrDamaged, "storage: %s", name)
	}
	return text[checksumBytes:], nil
}

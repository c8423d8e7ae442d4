package storage

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// ErrCacheDamaged is returned for a cache whose content is not what was written last.
var ErrCacheDamaged = errors.New("the cache is damaged")

// checksumBytes precede the content: CRC-32 (IEEE), big-endian.
const checksumBytes = 4

// WriteCache replaces a file in a folder. After a loss of power ReadCache finds the old content, the new one, or
// damage. Calls for one file must not overlap.
func WriteCache(folder, name string, content []byte) error {
	path := filepath.Join(folder, name)
	checked := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(content))
	if err := writeSynced(path+newSuffix, append(checked, content...)); err != nil {
		return errors.Wrapf(err, "storage: write cache %s", name)
	}
	if err := os.Rename(path+newSuffix, path); err != nil {
		return errors.Wrapf(err, "storage: replace cache %s", name)
	}
	return syncFolder(folder)
}

func writeSynced(path string, content []byte) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	if _, err := f.Write(content); err != nil {
		return err
	}
	return f.Sync()
}

// ReadCache returns what WriteCache wrote. The error is os.ErrNotExist or ErrCacheDamaged where there is nothing that
// can be used.
func ReadCache(folder, name string) ([]byte, error) {
	checked, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		return nil, errors.Wrapf(err, "storage: read cache %s", name)
	}
	if len(checked) < checksumBytes || crc32.ChecksumIEEE(checked[checksumBytes:]) != binary.BigEndian.Uint32(checked) {
		return nil, errors.Wrapf(ErrCacheDamaged, "storage: read cache %s", name)
	}
	return checked[checksumBytes:], nil
}

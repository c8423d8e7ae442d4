package storage

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// ErrCacheDamaged is returned for a cache that is truncated or whose checksum does not match its content.
var ErrCacheDamaged = errors.New("the cache is damaged")

// checksumBytes is the size of the checksum before the content: CRC-32 (IEEE), big-endian.
const checksumBytes = 4

// WriteCache replaces a file in a folder. After a power failure ReadCache finds the old content, the new content, or a
// damaged file. Calls for the same file must not overlap.
func WriteCache(folder, name string, content []byte) error {
	path := filepath.Join(folder, name)
	stored := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(content))
	if err := writeSynced(path+newSuffix, append(stored, content...)); err != nil {
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

// ReadCache returns the content that WriteCache wrote. Its error is os.ErrNotExist if there is no file, and
// ErrCacheDamaged if the file is damaged.
func ReadCache(folder, name string) ([]byte, error) {
	stored, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		return nil, errors.Wrapf(err, "storage: read cache %s", name)
	}
	if len(stored) < checksumBytes || crc32.ChecksumIEEE(stored[checksumBytes:]) != binary.BigEndian.Uint32(stored) {
		return nil, errors.Wrapf(ErrCacheDamaged, "storage: read cache %s", name)
	}
	return stored[checksumBytes:], nil
}

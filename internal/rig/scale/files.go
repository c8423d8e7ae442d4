package scale

import (
	"io/fs"
	"path/filepath"
)

// sizeOf is the bytes of all files of a folder.
func sizeOf(dir string) (size int64, err error) {
	err = filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err == nil {
			size += info.Size()
		}
		return err
	})
	return size, err
}

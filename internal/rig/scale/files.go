package scale

import (
	"io/fs"
	"path/filepath"
)

// dirSize is the sum of the sizes of all files in a folder, in bytes.
func dirSize(dir string) (size int64, err error) {
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

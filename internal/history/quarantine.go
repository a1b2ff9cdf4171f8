package history

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// maxEmptyFile is the size below which a file has never held a row: the first four pages, at the smallest page size of any system.
const maxEmptyFile = 4*4096 + 1

// quarantineSuffix is followed by the time in microseconds since 1970.
const quarantineSuffix = ".damaged-"

// Quarantine renames a corrupt file, so that a new one can be created and the old one can be examined. A file that never held a row is
// removed instead, and so is a second corrupt file within a day, so that files don't accumulate on a disk that fails for a long time.
func (s *Store) Quarantine(now int64) error {
	quarantined, err := filepath.Glob(s.path + quarantineSuffix + "*")
	if err != nil {
		return err
	}
	recent := slices.ContainsFunc(quarantined, func(name string) bool {
		at, err := strconv.ParseInt(name[strings.LastIndexByte(name, '-')+1:], 10, 64)
		return err == nil && now-at < Day
	})
	if info, statErr := os.Stat(s.path); recent || statErr == nil && info.Size() < maxEmptyFile {
		err = os.Remove(s.path)
	} else {
		err = os.Rename(s.path, fmt.Sprintf("%s%s%d", s.path, quarantineSuffix, now))
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

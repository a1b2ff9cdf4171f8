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

// half is the size under which a file never held a row: that of its four first pages, the least that a system has.
const maxEmptyFile = 4*4096 + 1

// Aside moves a file that is damaged out of the way, so that a new one can begin; it is kept for whoever may mend it, but not
// one that was only half begun, nor more than one a day: a disk that fails for long fills with none.
func (s *Store) Quarantine(now int64) error {
	others, err := filepath.Glob(s.path + ".damaged-*")
	if err != nil {
		return err
	}
	lately := slices.ContainsFunc(others, func(name string) bool {
		at, err := strconv.ParseInt(name[strings.LastIndexByte(name, '-')+1:], 10, 64)
		return err == nil && now-at < Day
	})
	if info, statErr := os.Stat(s.path); lately || statErr == nil && info.Size() < maxEmptyFile {
		err = os.Remove(s.path)
	} else {
		err = os.Rename(s.path, fmt.Sprintf("%s.damaged-%d", s.path, now))
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

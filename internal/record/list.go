package record

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Files lists the segments that paths name: files as they are, folders with all that is in them.
func ExpandPaths(paths []string) ([]string, error) {
	var files []string
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, p)
			continue
		}
		in, err := ListSegments(p)
		if err != nil {
			return nil, err
		}
		if len(in) == 0 {
			return nil, fmt.Errorf("%s: no recordings there", p)
		}
		files = append(files, in...)
	}
	return files, nil
}

// Segments lists a folder's segments, oldest first: lives by the time of their first file, then by number.
func ListSegments(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	type found struct {
		name, life string
	}
	var fs []found
	begun := map[string]time.Time{}
	for _, e := range entries {
		name, ok := strings.CutSuffix(e.Name(), ".rec")
		if !ok || e.IsDir() {
			continue
		}
		life := name[:max(0, strings.LastIndexByte(name, '-'))]
		info, err := e.Info()
		if err != nil {
			continue
		}
		if at, known := begun[life]; !known || info.ModTime().Before(at) {
			begun[life] = info.ModTime()
		}
		fs = append(fs, found{e.Name(), life})
	}
	slices.SortFunc(fs, func(a, b found) int {
		return cmp.Or(begun[a.life].Compare(begun[b.life]), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(fs))
	for i, f := range fs {
		names[i] = filepath.Join(dir, f.name)
	}
	return names, nil
}

// makeRoom removes the oldest segments beyond the bound of all.
func (w *Writer) pruneSegments() {
	files, err := ListSegments(w.dir)
	if err != nil {
		return
	}
	total := int64(0)
	sizes := make([]int64, len(files))
	for i, f := range files {
		if info, err := os.Stat(f); err == nil {
			sizes[i] = info.Size()
			total += sizes[i]
		}
	}
	for i, f := range files {
		if total+w.limits.SegmentBytes <= w.limits.TotalBytes {
			break
		}
		if os.Remove(f) == nil {
			total -= sizes[i]
		}
	}
}

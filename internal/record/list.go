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

// segmentSuffix is the suffix of segments' file names, which consist of the incarnation, the segment's number and the suffix.
const segmentSuffix = ".rec"

// ExpandPaths returns the files that the paths name, with each directory replaced by the segments in it. A directory without segments is
// an error.
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
		segments, err := ListSegments(p)
		if err != nil {
			return nil, err
		}
		if len(segments) == 0 {
			return nil, fmt.Errorf("%s: directory contains no recordings", p)
		}
		files = append(files, segments...)
	}
	return files, nil
}

// ListSegments returns the segments in a directory, oldest first: incarnations are sorted by the modification time of their oldest file,
// and segments of an incarnation by number.
func ListSegments(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	type segmentFile struct {
		name, incarnation string
	}
	var files []segmentFile
	startedAt := map[string]time.Time{} // by incarnation
	for _, e := range entries {
		name, ok := strings.CutSuffix(e.Name(), segmentSuffix)
		if !ok || e.IsDir() {
			continue
		}
		incarnation := name[:max(0, strings.LastIndexByte(name, '-'))]
		info, err := e.Info()
		if err != nil {
			continue
		}
		if at, known := startedAt[incarnation]; !known || info.ModTime().Before(at) {
			startedAt[incarnation] = info.ModTime()
		}
		files = append(files, segmentFile{e.Name(), incarnation})
	}
	slices.SortFunc(files, func(a, b segmentFile) int {
		return cmp.Or(startedAt[a.incarnation].Compare(startedAt[b.incarnation]), cmp.Compare(a.name, b.name))
	})
	paths := make([]string, len(files))
	for i, f := range files {
		paths[i] = filepath.Join(dir, f.name)
	}
	return paths, nil
}

// pruneSegments removes the oldest segments until another full segment fits within TotalBytes.
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

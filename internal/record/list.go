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

// segmentSuffix ends the names of segments. Before it stand the incarnation and the segment's number.
const segmentSuffix = ".rec"

// ExpandPaths returns the segments that paths name: files as they are, directories with all segments in them. A directory without
// segments is an error.
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
			return nil, fmt.Errorf("%s: no recordings there", p)
		}
		files = append(files, segments...)
	}
	return files, nil
}

// ListSegments returns a directory's segments, oldest first: incarnations by the time of their first file, then by number.
func ListSegments(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	type segmentFile struct {
		name, incarnation string
	}
	var files []segmentFile
	begunAt := map[string]time.Time{} // by incarnation
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
		if at, known := begunAt[incarnation]; !known || info.ModTime().Before(at) {
			begunAt[incarnation] = info.ModTime()
		}
		files = append(files, segmentFile{e.Name(), incarnation})
	}
	slices.SortFunc(files, func(a, b segmentFile) int {
		return cmp.Or(begunAt[a.incarnation].Compare(begunAt[b.incarnation]), cmp.Compare(a.name, b.name))
	})
	paths := make([]string, len(files))
	for i, f := range files {
		paths[i] = filepath.Join(dir, f.name)
	}
	return paths, nil
}

// pruneSegments removes the oldest segments, so that another one fits within the bound of all.
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

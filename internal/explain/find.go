package explain

import (
	"errors"

	"hollymast/control"
	"hollymast/internal/record"
)

// RequestsNear returns the requests with decisions in the steps at most span before or after a time, in order and without duplicates.
func RequestsNear(files []string, at, span control.Micros) (requests []control.RequestID, err error) {
	seen := map[control.RequestID]bool{}
	err = forEachStep(files, func(step record.Step) {
		if step.Clock < at-span || step.Clock > at+span {
			return
		}
		for _, c := range step.Commands {
			if c.Request != 0 && !seen[c.Request] {
				seen[c.Request], requests = true, append(requests, c.Request)
			}
		}
	})
	return requests, err
}

// FindRequest returns the request whose client's id has the given record.KeyedHash. If an id was used several times, it returns the last
// request.
func FindRequest(files []string, clientIDHash uint64) (request control.RequestID, err error) {
	err = forEachStep(files, func(step record.Step) {
		for _, e := range step.Events {
			if e.Added != nil && e.ClientIDHash == clientIDHash {
				request = e.Added.ID
			}
		}
	})
	if err == nil && request == 0 {
		err = errors.New("the recording contains no request with this id (hashed with this name_key)")
	}
	return request, err
}

// forEachStep calls fn with the steps of all files. Corrupt files are read up to the first corrupt frame.
func forEachStep(files []string, fn func(record.Step)) error {
	for _, file := range files {
		s, err := record.OpenSegment(file)
		if err != nil {
			return err
		}
		err = s.ForEachStep(func(_ uint64, step record.Step) error {
			fn(step)
			return nil
		})
		s.Close()
		if err != nil && !errors.Is(err, record.ErrCorrupt) {
			return err
		}
	}
	return nil
}

package explain

import (
	"errors"

	"hollymast/control"
	"hollymast/internal/record"
)

// RequestsNear returns the requests that were decided about within a span round a time, in order, each once.
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

// FindRequest returns the request whose client's id has a record.Tag; the last one, where an id was used again.
func FindRequest(files []string, tag uint64) (request control.RequestID, err error) {
	err = forEachStep(files, func(step record.Step) {
		for _, e := range step.Events {
			if e.Added != nil && e.ClientIDHash == tag {
				request = e.Added.ID
			}
		}
	})
	if err == nil && request == 0 {
		err = errors.New("the recording holds no request of this id (under this key)")
	}
	return request, err
}

// forEachStep calls a function with the steps of all files. Damaged ones are read up to the damage.
func forEachStep(files []string, each func(record.Step)) error {
	for _, file := range files {
		s, err := record.OpenSegment(file)
		if err != nil {
			return err
		}
		err = s.ForEachStep(func(_ uint64, step record.Step) error {
			each(step)
			return nil
		})
		s.Close()
		if err != nil && !errors.Is(err, record.ErrCorrupt) {
			return err
		}
	}
	return nil
}

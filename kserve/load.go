package kserve

import (
	"fmt"
	"net/textproto"
	"strings"

	"github.com/tidwall/gjson"
)

// Copies reads from the answer to a load command how many replicas there are; -1: not given.
func Copies(body []byte) int {
	if n := gjson.GetBytes(body, "parameters.copies"); n.Type == gjson.Number && n.Num >= 0 && n.Num < 1<<16 {
		return int(n.Num)
	}
	return -1
}

// LoadBody returns the body of a command to have a number of replicas.
func LoadBody(copies int) []byte { return fmt.Appendf(nil, `{"parameters":{"copies":%d}}`, copies) }

// Load is a server's load report in ORCA's JSON form. A negative value was not given.
type Load struct {
	Util   float64 // cpu_utilization: share of its cores in use
	Loads  float64 // named metric "loads": models loading or waiting to
	Pinned float64 // named metric "pinned": share of its memory that can't be freed, 0 to 1
}

// ReadLoad reads a load report from the header of an answer; ok is false where there is none that is valid.
func ReadLoad(h textproto.MIMEHeader) (l Load, ok bool) {
	text := strings.TrimSpace(strings.TrimPrefix(h.Get(LoadMetrics), "JSON "))
	if text == "" || !gjson.Valid(text) {
		return l, false
	}
	read := func(path string) float64 {
		if v := gjson.Get(text, path); v.Type == gjson.Number && v.Num >= 0 {
			return v.Num
		}
		return -1
	}
	return Load{read("cpu_utilization"), read("named_metrics.loads"), read("named_metrics.pinned")}, true
}

// String returns the report as the header carries it.
func (l Load) String() string {
	return fmt.Sprintf(`JSON {"cpu_utilization":%.3f,"named_metrics":{"loads":%g,"pinned":%.3f}}`, l.Util, l.Loads, l.Pinned)
}

package kserve

import (
	"fmt"
	"net/textproto"
	"strings"

	"github.com/tidwall/gjson"
)

// Copies reads how many copies an answer to a load order says stand; -1 where it tells nothing.
func Copies(body []byte) int {
	if n := gjson.GetBytes(body, "parameters.copies"); n.Type == gjson.Number && n.Num >= 0 && n.Num < 1<<16 {
		return int(n.Num)
	}
	return -1
}

// LoadBody is the body of an order to hold copies.
func LoadBody(copies int) []byte { return fmt.Appendf(nil, `{"parameters":{"copies":%d}}`, copies) }

// Load is a server's load report as ORCA's JSON form carries it; a negative value was not told.
type Load struct {
	Util   float64 // cpu_utilization: share of its cores in use
	Loads  float64 // named metric "loads": under way or waiting
	Pinned float64 // named metric "pinned": share of its memory that can't be freed
}

// ReadLoad reads a load report; ok is false where there is none that can be read.
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

// String gives the report as the header carries it.
func (l Load) String() string {
	return fmt.Sprintf(`JSON {"cpu_utilization":%.3f,"named_metrics":{"loads":%g,"pinned":%.3f}}`, l.Util, l.Loads, l.Pinned)
}

package kserve

import (
	"fmt"
	"net/textproto"
	"strings"

	"github.com/tidwall/gjson"
)

// ParseReplicaCount reads from the answer to a load command how many replicas there are; -1: not given.
func ParseReplicaCount(body []byte) int {
	if n := gjson.GetBytes(body, "parameters.copies"); n.Type == gjson.Number && n.Num >= 0 && n.Num < 1<<16 {
		return int(n.Num)
	}
	return -1
}

// LoadCommandBody returns the body of a command to have a number of replicas.
func LoadCommandBody(copies int) []byte {
	return fmt.Appendf(nil, `{"parameters":{"copies":%d}}`, copies)
}

// LoadReport is a server's load report in ORCA's JSON form. A negative value was not given.
type LoadReport struct {
	Utilization  float64 // cpu_utilization: share of its cores in use
	PendingLoads float64 // named metric "loads": models loading or waiting to
	PinnedMemory float64 // named metric "pinned": share of its memory that can't be freed, 0 to 1
}

// ParseLoadReport reads a load report from the header of an answer; ok is false where there is none that is valid.
func ParseLoadReport(h textproto.MIMEHeader) (l LoadReport, ok bool) {
	text := strings.TrimSpace(strings.TrimPrefix(h.Get(LoadMetricsHeader), "JSON "))
	if text == "" || !gjson.Valid(text) {
		return l, false
	}
	read := func(path string) float64 {
		if v := gjson.Get(text, path); v.Type == gjson.Number && v.Num >= 0 {
			return v.Num
		}
		return -1
	}
	return LoadReport{read("cpu_utilization"), read("named_metrics.loads"), read("named_metrics.pinned")}, true
}

// String returns the report as the header carries it.
func (l LoadReport) String() string {
	return fmt.Sprintf(`JSON {"cpu_utilization":%.3f,"named_metrics":{"loads":%g,"pinned":%.3f}}`, l.Utilization, l.PendingLoads, l.PinnedMemory)
}

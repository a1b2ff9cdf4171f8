package kserve

import (
	"fmt"
	"net/textproto"
	"strings"

	"github.com/tidwall/gjson"
)

// ParseReplicaCount returns the number of replicas stated in the response to a load command, or -1 if it is not given.
func ParseReplicaCount(body []byte) int {
	if n := gjson.GetBytes(body, "parameters.copies"); n.Type == gjson.Number && n.Num >= 0 && n.Num < 1<<16 {
		return int(n.Num)
	}
	return -1
}

// LoadCommandBody returns the body of a load command that sets the number of replicas.
func LoadCommandBody(replicas int) []byte {
	return fmt.Appendf(nil, `{"parameters":{"copies":%d}}`, replicas)
}

// LoadReport is a server's load report in ORCA's JSON format. A negative value means that it was not given.
type LoadReport struct {
	Utilization  float64 // cpu_utilization: share of the server's cores in use
	PendingLoads float64 // named metric "loads": models that are loading or waiting to load
	PinnedMemory float64 // named metric "pinned": share of the server's memory that can't be freed, 0 to 1
}

// ParseLoadReport parses the load report in the header of a response; ok is false if there is no valid one.
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

// String formats the report as a header value.
func (l LoadReport) String() string {
	return fmt.Sprintf(`JSON {"cpu_utilization":%.3f,"named_metrics":{"loads":%g,"pinned":%.3f}}`, l.Utilization, l.PendingLoads, l.PinnedMemory)
}

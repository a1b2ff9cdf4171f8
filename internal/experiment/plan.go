package experiment

// Trial is one simulated run: its size, whose decisions it is made with, and the seed that load and faults are drawn from.
type Trial struct {
	Size string `cbor:"Size"`
	Arm  string `cbor:"Arm"`
	Seed uint64 `cbor:"Seed"`
}

// Result is what a trial showed. It is stored under the names in the tags.
type Result struct {
	Trial
	InTime         float64 `cbor:"InTime"` // share of calls that succeeded within their latency objective
	WeightedInTime float64 `cbor:"Worth"`  // the same, each call weighted with its importance
	Requests       int     `cbor:"Jobs"`
	Attempts       int     `cbor:"Executions"`
	Loads          int     `cbor:"Loads"`
	Violations     int     `cbor:"Broken"` // of invariants
	Hash           uint64  `cbor:"Hash"`   // of the run's records
}

// Measure names the figure of a result by which arms are compared.
type Measure string

// The measures, as an experiment's file writes them.
const (
	MeasureInTime             Measure = "in_time"
	MeasureWeightedInTime     Measure = "worth"
	MeasureAttemptsPerRequest Measure = "executions" // per request
	MeasureLoads              Measure = "loads"
)

// Measures lists all measures.
var Measures = []Measure{MeasureInTime, MeasureWeightedInTime, MeasureAttemptsPerRequest, MeasureLoads}

// value gives a result's figure.
func (r Result) value(m Measure) float64 {
	switch m {
	case MeasureWeightedInTime:
		return r.WeightedInTime
	case MeasureAttemptsPerRequest:
		return float64(r.Attempts) / float64(max(1, r.Requests))
	case MeasureLoads:
		return float64(r.Loads)
	}
	return r.InTime
}

// Plan is what an experiment asks.
type Plan struct {
	Sizes     []string
	Arms      []string // each one is compared with the first
	FirstSeed uint64
	MaxSeeds  int     // for each arm and size
	MinSeeds  int     // before a pair may be decided
	Tolerance float64 // a difference within this counts as none
	Measure   Measure
}

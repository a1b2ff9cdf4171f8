package experiment

// Trial is one simulated run. Size names the size of the deployment and the load, Arm the policy or program under test;
// load and faults are drawn at random from Seed. The tags are the names in stored data.
type Trial struct {
	Size string `cbor:"Size"`
	Arm  string `cbor:"Arm"`
	Seed uint64 `cbor:"Seed"`
}

// Result is the result of a trial. The tags are the names in stored data.
type Result struct {
	Trial
	InTime         float64 `cbor:"InTime"` // share of calls that succeeded within their latency objective
	WeightedInTime float64 `cbor:"Worth"`  // as InTime, with each call weighted by its importance
	Requests       int     `cbor:"Jobs"`
	Attempts       int     `cbor:"Executions"`
	Loads          int     `cbor:"Loads"`
	Violations     int     `cbor:"Broken"` // of invariants
	Hash           uint64  `cbor:"Hash"`   // of the run's records
}

// Measure names the value of a result by which arms are compared.
type Measure string

// The measures, under their names in an experiment's configuration file.
const (
	MeasureInTime             Measure = "in_time"
	MeasureWeightedInTime     Measure = "worth"
	MeasureAttemptsPerRequest Measure = "executions" // attempts per request
	MeasureLoads              Measure = "loads"
)

// Measures lists all measures.
var Measures = []Measure{MeasureInTime, MeasureWeightedInTime, MeasureAttemptsPerRequest, MeasureLoads}

// value returns the value of a measure.
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

// Plan describes an experiment.
type Plan struct {
	Sizes     []string
	Arms      []string // each one is compared with the first
	FirstSeed uint64
	MaxSeeds  int     // for each arm and size
	MinSeeds  int     // before a comparison may be decided
	Tolerance float64 // differences up to this are considered none
	Measure   Measure
}

package experiment

// Cell is one day to be played: a size of the day, whose decisions, and the seed that calls and troubles are drawn from.
type Trial struct {
	Size string `cbor:"Size"`
	Arm  string `cbor:"Arm"`
	Seed uint64 `cbor:"Seed"`
}

// Row is what a played day showed.
type Result struct {
	Trial
	InTime         float64 `cbor:"InTime"` // share of effects within their start target
	WeightedInTime float64 `cbor:"Worth"`  // the same, weighted with importance
	Requests       int     `cbor:"Jobs"`
	Attempts       int     `cbor:"Executions"`
	Loads          int     `cbor:"Loads"`
	Violations     int     `cbor:"Broken"` // breaches of rules
	Hash           uint64  `cbor:"Hash"`
}

// Measures are what arms can be held against each other by.
var Measures = []string{"in_time", "worth", "executions", "loads"}

// of gives a row's figure.
func (r Result) value(measure string) float64 {
	switch measure {
	case "worth":
		return r.WeightedInTime
	case "executions":
		return float64(r.Attempts) / float64(max(1, r.Requests))
	case "loads":
		return float64(r.Loads)
	}
	return r.InTime
}

// Plan is what is asked.
type Plan struct {
	Sizes, Arms        []string // each other arm is held against the first
	FirstSeed          uint64   // seed
	MaxSeeds, MinSeeds int      // seeds
	Tolerance          float64  // a difference within this is none: the interval may end there too
	Measure            string
}

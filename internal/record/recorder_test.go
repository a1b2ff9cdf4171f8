package record

import (
	"testing"

	"hollymast/control"
)

// BenchmarkSteps measures the cost of recording one request: two steps in the recorder, and their share of encoding a frame, which the
// writer goroutine does.
func BenchmarkSteps(b *testing.B) {
	var steps []Step
	recorder := &Recorder{OnStep: func(step Step) { steps = append(steps, step) }}
	report := &control.LoadReport{Utilization: 0.5}
	clock, size := control.Micros(1_796_133_869_057_624), 0
	request := control.Request{Function: 0x661936cc994fc, Lanes: 2}
	for b.Loop() {
		request.ID++
		clock += 431
		request.ArrivedAt, request.Deadline = clock, clock+2_000_000
		recorder.RequestAdded(request)
		recorder.Forward(&request, 0, 0x7f0000019a7b, 2_000_000)
		recorder.StepEnded(clock)
		recorder.AttemptEnded(request.ID, control.Outcome{Server: 0x7f0000019a7b, CacheStatus: control.CacheHit, Duration: 50_000,
			RequestDone: true, Report: report})
		recorder.StepEnded(clock + 211)
		if len(steps) >= 200 { // 100 ms of steps at 1000 requests per second
			frame, err := appendFrame(nil, stepBatch{First: 1, Steps: steps})
			if err != nil {
				b.Fatal(err)
			}
			size += len(frame)
			steps = steps[:0]
		}
	}
	b.ReportMetric(float64(size)/float64(b.N), "bytes/request")
}

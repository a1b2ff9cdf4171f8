package record

import (
	"testing"

	"hollymast/control"
)

// BenchmarkTurns is what a job costs: two turns on the tape, and their part of a frame, which is made outside turns.
func BenchmarkTurns(b *testing.B) {
	var turns []Step
	tape := &Recorder{OnStep: func(t Step) { turns = append(turns, t) }}
	report := &control.LoadReport{Utilization: 0.5}
	clock, size := control.Micros(1_796_133_869_057_624), 0
	j := control.Request{Function: 0x661936cc994fc, Lanes: 2}
	for b.Loop() {
		j.ID++
		clock += 431
		j.ArrivedAt, j.Deadline = clock, clock+2_000_000
		tape.RequestAdded(j)
		tape.Forward(&j, 0, 0x7f0000019a7b, 2_000_000)
		tape.StepEnded(clock)
		tape.AttemptEnded(j.ID, control.Outcome{Server: 0x7f0000019a7b, CacheStatus: control.CacheHit, Duration: 50_000, RequestDone: true, Report: report})
		tape.StepEnded(clock + 211)
		if len(turns) >= 200 { // 100 ms at 1000 jobs a second
			frame, err := appendFrame(nil, batch{First: 1, Turns: turns})
			if err != nil {
				b.Fatal(err)
			}
			size += len(frame)
			turns = turns[:0]
		}
	}
	b.ReportMetric(float64(size)/float64(b.N), "bytes/job")
}

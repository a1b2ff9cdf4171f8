package simadapter

import (
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"hollymast/internal/program"
	"hollymast/internal/record"
)

// recordingLimits are large enough to record a whole simulated day, in segments that hmreplay reads quickly. The
// simulation waits for the disk.
var recordingLimits = record.Limits{SegmentBytes: 64 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 40, BlockWhenFull: true}

// beginRecording begins a recording of a router that starts, if recording is enabled.
func (h *host) beginRecording(r *router) error {
	if h.recordDir == "" {
		return nil
	}
	h.recordings++
	header := record.Header{Build: program.BuildID(), Router: int(r.number), Incarnation: fmt.Sprintf("%d-%d", r.number, h.recordings)}
	writer, err := record.Open(h.recordDir, recordingLimits, header, r.core.Snapshot, zerolog.New(os.Stderr))
	if err != nil {
		return err
	}
	r.recording = writer
	r.core.SetRecorder(writer.Recorder())
	writer.BeginSegment(h.now)
	return nil
}

func (r *router) closeRecording() {
	if r.recording != nil {
		r.core.SetRecorder(nil)
		r.recording.Close()
	}
}

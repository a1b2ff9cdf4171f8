package gateway

import (
	"errors"

	"hollymast/control"
	"hollymast/internal/program"
	"hollymast/internal/record"
)

// Errors of startRecording. Their texts are part of the admin API.
var (
	errRecording   = errors.New("a recording is under way")
	errNoRecordDir = errors.New("no folder is named, here or in the settings")
)

// recordHeader returns the header for recordings of this process.
func (g *Gateway) recordHeader() record.Header {
	return record.Header{Build: program.BuildID(), Router: g.config.Deployment.RouterIndex, Incarnation: g.incarnation}
}

// startRecording starts a recording in a folder. It may wait for the disk within a step, which is acceptable because it
// happens only once, at an operator's request.
func (g *Gateway) startRecording(now control.Micros, dir string) error {
	if g.recordWriter != nil {
		return errRecording
	}
	if dir == "" {
		return errNoRecordDir
	}
	header := g.recordHeader()
	if g.recordingCount++; g.recordingCount > 1 { // file names begin with the incarnation: a suffix tells recordings apart
		header.Incarnation += "r" + string(rune('a'+g.recordingCount%26))
	}
	writer, err := record.Open(dir, g.config.RecordBounds, header, g.core.Snapshot, g.log)
	if err != nil {
		return err
	}
	g.recordWriter, g.recorder = writer, writer.Recorder()
	g.core.SetRecorder(g.recorder)
	writer.BeginSegment(now)
	return nil
}

// stopRecording stops the recording, if there is one, and returns its writer. The caller must close the writer outside
// the step, since that waits for the disk.
func (g *Gateway) stopRecording() *record.Writer {
	writer := g.recordWriter
	if writer != nil {
		g.core.SetRecorder(nil)
		g.recordWriter, g.recorder = nil, nil
	}
	return writer
}

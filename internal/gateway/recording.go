package gateway

import (
	"errors"
	"hollymast/control"
	"hollymast/internal/program"
	"hollymast/internal/record"
)

func (g *Gateway) recordHeader() record.Header {
	return record.Header{Build: program.BuildID(), Router: g.config.Deployment.Number, Incarnation: g.incarnation}
}

var errRecording = errors.New("a recording is under way")

// startRecording begins a recording in a folder. To open the folder may wait for a disk, once, at an operator's word.
func (g *Gateway) startRecording(now control.Micros, folder string) error {
	if g.recordWriter != nil {
		return errRecording
	}
	if folder == "" {
		return errors.New("no folder is named, here or in the settings")
	}
	header := g.recordHeader()
	if g.recordingCount++; g.recordingCount > 1 {
		header.Incarnation += "r" + string(rune('a'+g.recordingCount%26))
	}
	writer, err := record.Open(folder, g.config.RecordBounds, header, g.core.Snapshot, g.log)
	if err != nil {
		return err
	}
	g.recordWriter = writer
	g.recorder = writer.Recorder()
	g.core.SetRecorder(g.recorder)
	writer.BeginSegment(now)
	return nil
}

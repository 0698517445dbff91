package watcher

import (
	"context"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/recorder"
)

// crashReportTimeout bounds the sending of a crash report.
const crashReportTimeout = time.Second

// crashReporter sends one crash report to one keeper.
type crashReporter struct {
	keeper  *keeper
	process identifier.Incarnation
	version uint64
	report  encoder.CrashReport
}

// reportCrashes sends the sink's crash report to each connected keeper whose process has not
// acknowledged it. A report that is lost is sent again at the next call. Every keeper gets it, so
// that what it says outlives each of them.
func (w *Watcher) reportCrashes() {
	report, version := w.sink.CrashReport()
	if version == 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, k := range w.keepers {
		isKnown := k.reportedVersion == version && k.reportedTo == k.incarnation
		if isKnown || k.isReporting || k.lastReply.IsZero() || w.ctx.Err() != nil {
			continue
		}
		k.isReporting = true
		w.tasks.Add(1)
		go (&crashReporter{keeper: k, process: k.incarnation, version: version, report: report}).run()
	}
}

// run sends the report and records that the keeper acknowledged it.
func (c *crashReporter) run() {
	k := c.keeper
	w := k.watcher
	defer w.tasks.Done()
	ctx, cancel := context.WithTimeout(k.ctx, crashReportTimeout)
	defer cancel()
	_, err := linker.Call[encoder.CrashReport, encoder.CrashReportReply](ctx, w.pool.Link(k.address), encoder.KindCrashReport, c.report)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	k.isReporting = false
	if err != nil {
		w.log.Warn().Err(err).Stringer(recorder.FieldKeeper, k.address).Int(recorder.FieldCount, len(c.report.Crashes)).
			Msg(recorder.EventCrashReportLost)
		return
	}
	k.reportedVersion, k.reportedTo = c.version, c.process
}

package recorder

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// queueLines bounds the lines that wait for the writer.
	queueLines = 1024
	// bytesPerSecond bounds the volume of the log.
	bytesPerSecond = 48 << 10
	// burstBytes may be written at once after a quiet time.
	burstBytes = 256 << 10
	// ordinaryReserve is what ordinary lines leave of burstBytes for failures.
	ordinaryReserve = 128 << 10
	// closeTime bounds how long Close waits for a reader.
	closeTime = time.Second
	// reportInterval is how often dropped lines are reported.
	reportInterval = 10 * time.Second
)

// Writer passes log lines on in a goroutine of its own. Write never blocks. It is safe for
// concurrent use.
type Writer struct {
	// Set at creation.
	out     io.Writer
	clock   timekeeper.Clock
	queue   chan []byte
	limiter *rate.Limiter
	stop    chan struct{}
	// stopped is closed when run has ended.
	stopped chan struct{}

	dropped  atomic.Int64
	stopOnce sync.Once
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// NewWriter starts to pass lines on.
func NewWriter(out io.Writer, clock timekeeper.Clock) *Writer {
	w := &Writer{
		out:     out,
		clock:   clock,
		queue:   make(chan []byte, queueLines),
		limiter: rate.NewLimiter(bytesPerSecond, burstBytes),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a line without a level.
func (w *Writer) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel queues a line, or drops it if the queue or the volume is full. It never returns
// an error: there is nobody who could do anything about it.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if !w.admits(level, len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	// The logger reuses its buffer.
	copied := append([]byte(nil), line...)
	select {
	case w.queue <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// admits takes a line's bytes from the volume. Ordinary lines stop earlier than failures.
func (w *Writer) admits(level zerolog.Level, size int) bool {
	now := w.clock.Now()
	isOrdinary := level < zerolog.WarnLevel
	if isOrdinary && w.limiter.TokensAt(now) < ordinaryReserve {
		return false
	}
	return w.limiter.AllowN(now, size)
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close passes on what is queued, as long as the reader takes it, and stops.
func (w *Writer) Close() error {
	w.stopOnce.Do(func() { close(w.stop) })
	timer := w.clock.NewTimer(closeTime)
	defer timer.Stop()
	select {
	case <-w.stopped:
	case <-timer.C:
	}
	return nil
}

// run writes lines until Close.
func (w *Writer) run() {
	defer close(w.stopped)
	ticker := w.clock.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-w.queue:
			w.pass(line)
		case <-ticker.C:
			reported = w.report(reported)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// drain writes what is queued.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.queue:
			w.pass(line)
		default:
			return
		}
	}
}

// pass writes a line. If that fails the log is lost, which there is nowhere to tell.
func (w *Writer) pass(line []byte) { _, _ = w.out.Write(line) }

// report tells of lines that were dropped since the last report.
func (w *Writer) report(reported int64) int64 {
	dropped := w.dropped.Load()
	if dropped == reported {
		return reported
	}
	log := zerolog.New(w.out).With().Timestamp().Logger()
	log.Warn().Int64(FieldCount, dropped-reported).Msg(EventDropped)
	return dropped
}

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
	// maxQueuedLines limits the lines that wait for the writer goroutine.
	maxQueuedLines = 1024
	// bytesPerSecond limits the rate at which lines are queued.
	bytesPerSecond = 48 << 10
	// burstBytes is the capacity of the token bucket: the bytes that may be queued at once after a
	// period without log lines.
	burstBytes = 256 << 10
	// failureReserve is the part of burstBytes that lines below the warning level must leave for
	// failures.
	failureReserve = 128 << 10
	// closeTimeout limits how long Close waits for the log's reader.
	closeTimeout = time.Second
	// reportInterval is the interval at which dropped lines are reported.
	reportInterval = 10 * time.Second
)

// Writer writes log lines in its own goroutine. Write never blocks. Writer is safe for concurrent
// use.
type Writer struct {
	// Set at creation.
	out     io.Writer
	clock   timekeeper.Clock
	queue   chan []byte
	limiter *rate.Limiter
	stop    chan struct{}
	// stopped is closed when run has returned.
	stopped chan struct{}

	dropped  atomic.Int64
	stopOnce sync.Once
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// NewWriter returns a Writer to out and starts its goroutine, which runs until Close.
func NewWriter(out io.Writer, clock timekeeper.Clock) *Writer {
	w := &Writer{
		out:     out,
		clock:   clock,
		queue:   make(chan []byte, maxQueuedLines),
		limiter: rate.NewLimiter(bytesPerSecond, burstBytes),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a line at the info level. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel queues a line, or drops it if the queue is full or the rate limit is exceeded. It
// never returns an error, because no caller could handle it.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if !w.isAllowed(level, len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	// The line is copied because the logger reuses its buffer.
	copied := append([]byte(nil), line...)
	select {
	case w.queue <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// isAllowed takes a line's bytes from the rate limiter and reports whether the line may be queued.
// Lines below the warning level are rejected once only failureReserve is left.
func (w *Writer) isAllowed(level zerolog.Level, size int) bool {
	now := w.clock.Now()
	isOrdinary := level < zerolog.WarnLevel
	if isOrdinary && w.limiter.TokensAt(now) < failureReserve {
		return false
	}
	return w.limiter.AllowN(now, size)
}

// Dropped returns the number of lines dropped since the Writer was created.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the goroutine. It waits for at most closeTimeout, so that
// it also returns if the log's reader blocks. The error is always nil.
func (w *Writer) Close() error {
	w.stopOnce.Do(func() { close(w.stop) })
	timer := w.clock.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.stopped:
	case <-timer.C:
	}
	return nil
}

// run writes lines and reports dropped ones until Close is called.
func (w *Writer) run() {
	defer close(w.stopped)
	ticker := w.clock.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-ticker.C:
			reported = w.report(reported)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// drain writes the queued lines.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line. It ignores errors, because there is no other place to report them.
func (w *Writer) writeLine(line []byte) { _, _ = w.out.Write(line) }

// report writes the number of lines dropped since the last report, if there are any. It takes and
// returns the total number of reported lines.
func (w *Writer) report(reported int64) int64 {
	dropped := w.dropped.Load()
	if dropped == reported {
		return reported
	}
	log := zerolog.New(w.out).With().Timestamp().Logger()
	log.Warn().Int64(FieldCount, dropped-reported).Msg(EventDropped)
	return dropped
}

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what happens to a file, and notable lines also to standard output. It is safe for
// concurrent use.
type recorder struct {
	start time.Time
	file  *os.File
	mutex sync.Mutex
}

// newRecorder returns a recorder that writes to a new file.
func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f}, nil
}

// add records a line in the file and on standard output.
func (r *recorder) add(format string, values ...any) {
	line := r.write(time.Now(), format, values...)
	fmt.Print(line)
}

// trace records a line in the file only.
func (r *recorder) trace(at time.Time, format string, values ...any) {
	r.write(at, format, values...)
}

// write writes a line with the seconds since the start.
func (r *recorder) write(at time.Time, format string, values ...any) string {
	line := fmt.Sprintf("%8.3f  ", at.Sub(r.start).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// The record is lost if the disk is full; the exit code still tells the result.
	_, _ = r.file.WriteString(line)
	return line
}

// close closes the file.
func (r *recorder) close() {
	_ = r.file.Close()
}

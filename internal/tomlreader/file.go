package tomlreader

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// ReadFile returns the content of a file. It reads at most one byte beyond maxBytes, because the
// file may be a device without an end. Read refuses a text of that size.
func ReadFile(path string, maxBytes int) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "read file")
	}
	text, err := io.ReadAll(io.LimitReader(file, int64(maxBytes)+1))
	// An error of Close is ignored, because a file that was only read loses no data.
	_ = file.Close()
	if err != nil {
		return nil, eris.Wrap(err, "read file")
	}
	return text, nil
}

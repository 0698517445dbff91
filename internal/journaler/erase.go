package journaler

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// erasedSuffix marks a data folder that is being erased.
const erasedSuffix = ".erased"

// Erase removes a data folder for good. The member that opens it next is a new one. The folder
// loses its name in one step, so that a loss of power leaves it as it was or empty.
func Erase(path string) error {
	if err := FinishErase(path); err != nil {
		return err
	}
	if err := os.Rename(path, path+erasedSuffix); err != nil && !os.IsNotExist(err) {
		return eris.Wrap(err, "erase data folder")
	}
	if err := syncPath(filepath.Dir(path)); err != nil {
		return err
	}
	return FinishErase(path)
}

// FinishErase removes what an interrupted Erase left.
func FinishErase(path string) error {
	return eris.Wrap(os.RemoveAll(path+erasedSuffix), "remove erased data folder")
}

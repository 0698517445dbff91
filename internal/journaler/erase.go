package journaler

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// erasedSuffix is the suffix of a data folder that is being erased.
const erasedSuffix = ".erased"

// Erase deletes a data folder. The next process that opens the folder is a new member of the group.
// The folder is renamed atomically before its files are deleted, so that after a power loss it is
// either unchanged or absent. A folder that does not exist is not an error.
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

// FinishErase deletes the files that an interrupted Erase has left.
func FinishErase(path string) error {
	return eris.Wrap(os.RemoveAll(path+erasedSuffix), "remove erased data folder")
}

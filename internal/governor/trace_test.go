package governor_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/registrar"
)

// outFolder is where failed runs leave their histories, relative to this package.
const outFolder = "../../out/governor"

// committedCommand is a ledger command, when a keeper first applied it, and the reply of the state
// machine.
type committedCommand struct {
	index uint64
	at    time.Duration
	key   string
	text  string
}

// commandLog records the ledger commands of a run in the order of the replicated log. It tells a
// wrong ledger from a wrong model: the model is wrong if it rejects what the log explains.
type commandLog struct {
	start    time.Time
	commands map[uint64]committedCommand
}

// record adds a command that a keeper applied, unless another keeper did so before.
func (l *commandLog) record(index uint64, command, result []byte) {
	if _, ok := l.commands[index]; ok {
		return
	}
	decoded, err := registrar.DecodeCommand(command)
	if err != nil {
		return
	}
	c := committedCommand{index: index, at: time.Since(l.start)}
	switch d := decoded.(type) {
	case registrar.ClaimCommand:
		reply, _ := encoder.Decode[encoder.ClaimReply](result)
		c.key = d.Claim.Key
		c.text = fmt.Sprintf("claim of %d at %s, gone %v: %s", requestNumber(d.Claim.Request), d.Claim.Dock, d.Gone, reply.Outcome)
	case registrar.SettleCommand:
		reply, _ := encoder.Decode[encoder.SettleReply](result)
		c.key = d.Settle.Key
		c.text = fmt.Sprintf("settle of %d, released %v, in doubt %v: %s", requestNumber(d.Settle.Request), d.Settle.Released, d.Settle.InDoubt, reply.Outcome)
	default:
		return
	}
	l.commands[index] = c
}

// ofKey returns the commands of a key as text, in the order of the log.
func (l *commandLog) ofKey(key string) string {
	var last uint64
	for index := range l.commands {
		last = max(last, index)
	}
	var b strings.Builder
	for index := range last + 1 {
		if c, ok := l.commands[index]; ok && c.key == key {
			fmt.Fprintf(&b, "entry %d at %s: %s\n", c.index, c.at, c.text)
		}
	}
	return b.String()
}

// reportKeys logs the operations and the commands of each key whose history the model rejects, and
// writes porcupine's picture of that history.
func reportKeys(t *testing.T, model porcupine.NondeterministicModel, operations []porcupine.Operation, commands *commandLog) {
	t.Helper()
	for _, part := range model.Partition(operations) {
		single := model.ToModel()
		result, info := porcupine.CheckOperationsVerbose(single, part, checkTimeout)
		if result == porcupine.Ok {
			continue
		}
		key := part[0].Input.(ledgerInput).key
		t.Logf("key %s: %s", key, result)
		for _, o := range part {
			t.Logf("from %s to %s: %+v returns %v", time.Duration(o.Call), time.Duration(o.Return), o.Input, o.Output)
		}
		t.Logf("commands:\n%s", commands.ofKey(key))
		writePicture(t, key, single, info)
	}
}

// writePicture writes porcupine's picture of a history as a page.
func writePicture(t *testing.T, key string, model porcupine.Model, info porcupine.LinearizationInfo) {
	t.Helper()
	if err := os.MkdirAll(outFolder, 0o755); err != nil {
		t.Logf("no picture of the history: %v", err)
		return
	}
	path := filepath.Join(outFolder, strings.ReplaceAll(t.Name(), "/", "_")+"_"+key+".html")
	if err := porcupine.VisualizePath(model, info, path); err != nil {
		t.Logf("no picture of the history: %v", err)
		return
	}
	t.Logf("picture of the history: %s", path)
}

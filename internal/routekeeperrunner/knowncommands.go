package routekeeperrunner

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/broadcaster"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/replicator"
)

const (
	// askInterval is the time between two looks for members whose commands are not known, and reaskInterval
	// the time after which a member is asked again, because it may have been started with another release.
	askInterval   = time.Second
	reaskInterval = 30 * time.Second
	// askTimeout bounds one question. An order waits for it, within leaderCallTimeout.
	askTimeout = 100 * time.Millisecond
)

// knownCommand is the highest kind of command that a member knows.
type knownCommand struct {
	Member  identifier.Incarnation `msgpack:"m"`
	Command uint8                  `msgpack:"c"`
}

// knownCommands tells which commands of the replicated log the members of the group know. It is kept on disk:
// a failure domain must be evacuated also while the keeper there cannot be asked, and after a restart of all
// others. It is safe for concurrent use.
type knownCommands struct {
	// Set at creation.
	file *broadcaster.File[[]knownCommand]
	log  zerolog.Logger
	// ask returns the highest kind of command that a member knows.
	ask func(ctx context.Context, member netip.AddrPort) (uint8, error)

	// Guarded by mutex.
	mutex sync.Mutex
	known map[identifier.Incarnation]uint8
	asked map[identifier.Incarnation]time.Time
}

// newKnownCommands returns what the file holds. A file that cannot be read counts as empty, because the members
// are asked again.
func newKnownCommands(file *broadcaster.File[[]knownCommand], ask func(context.Context, netip.AddrPort) (uint8, error), log zerolog.Logger) *knownCommands {
	c := &knownCommands{file: file, log: log, ask: ask, known: map[identifier.Incarnation]uint8{}, asked: map[identifier.Incarnation]time.Time{}}
	stored, _ := file.Load()
	for _, k := range stored {
		c.known[k.Member] = k.Command
	}
	return c
}

// askDue asks the members that were not asked for reaskInterval, or all of them if isNow, and waits for the
// answers. It forgets members that are not listed.
func (c *knownCommands) askDue(ctx context.Context, now time.Time, members []replicator.Member, isNow bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var questions sync.WaitGroup
	for _, m := range c.takeDue(now, members, isNow) {
		questions.Go(func() {
			command, err := c.ask(ctx, m.Address)
			c.record(m.Incarnation, command, err)
		})
	}
	questions.Wait()
}

// takeDue returns the members that must be asked, and marks them as asked.
func (c *knownCommands) takeDue(now time.Time, members []replicator.Member, isNow bool) []replicator.Member {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isGone := func(i identifier.Incarnation) bool {
		return !slices.ContainsFunc(members, func(m replicator.Member) bool { return m.Incarnation == i })
	}
	maps.DeleteFunc(c.known, func(i identifier.Incarnation, _ uint8) bool { return isGone(i) })
	maps.DeleteFunc(c.asked, func(i identifier.Incarnation, _ time.Time) bool { return isGone(i) })
	due := []replicator.Member{}
	for _, m := range members {
		if _, isAnswered := c.known[m.Incarnation]; isNow || !isAnswered || now.Sub(c.asked[m.Incarnation]) >= reaskInterval {
			c.asked[m.Incarnation] = now
			due = append(due, m)
		}
	}
	return due
}

// record records a member's answer. A member that does not answer keeps what it answered last.
func (c *knownCommands) record(member identifier.Incarnation, command uint8, err error) {
	if err != nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if before, ok := c.known[member]; ok && before == command {
		return
	}
	c.known[member] = command
	stored := []knownCommand{}
	for _, i := range slices.Sorted(maps.Keys(c.known)) {
		stored = append(stored, knownCommand{Member: i, Command: c.known[i]})
	}
	if err := c.file.Save(stored); err != nil {
		c.log.Error().Err(err).Msg(recorder.EventCommandsUnsaved)
	}
}

// allKnow reports whether all voters know a command, and no learner is known not to. A voter that never
// answered counts as one that knows it if wasWritten, since the command was written before, when all voters
// knew it.
func (c *knownCommands) allKnow(command uint8, voters, learners []replicator.Member, wasWritten bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	lacks := func(m replicator.Member, isUnknownFine bool) bool {
		known, isAnswered := c.known[m.Incarnation]
		return isAnswered && known < command || !isAnswered && !isUnknownFine
	}
	isLacking := slices.ContainsFunc(voters, func(m replicator.Member) bool { return lacks(m, wasWritten) }) ||
		slices.ContainsFunc(learners, func(m replicator.Member) bool { return lacks(m, true) })
	return len(voters) > 0 && !isLacking
}

// commandAsker asks the other members at intervals which commands they know.
type commandAsker struct {
	*Keeper
}

// loop runs until the keeper closes.
func (a *commandAsker) loop() {
	defer a.tasks.Done()
	ticker := a.process.Clock.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
			voters, learners := a.otherMembers()
			a.commands.askDue(a.ctx, a.Now(), append(voters, learners...), false)
		}
	}
}

// otherMembers returns the other voters, including those that a change in progress removes, and the learners.
func (k *Keeper) otherMembers() (voters, learners []replicator.Member) {
	s := k.replicator.Status()
	for _, m := range append(slices.Clone(s.Voters), s.Outgoing...) {
		if m.Incarnation != s.Self.Incarnation && !slices.Contains(voters, m) {
			voters = append(voters, m)
		}
	}
	return voters, s.Learners
}

// askCommand asks a member for the highest kind of command that it knows.
func (k *Keeper) askCommand(ctx context.Context, member netip.AddrPort) (uint8, error) {
	reply, err := linker.Call[encoder.StatusRequest, encoder.StatusReply](ctx, k.pool.Link(member), encoder.KindStatus, encoder.StatusRequest{})
	return reply.NewestCommand, err
}

// allKnowEvacuations reports whether the group may write evacuations to its log. It asks the members anew,
// because one may have been started with an older release.
func (k *Keeper) allKnowEvacuations(ctx context.Context) bool {
	voters, learners := k.otherMembers()
	k.commands.askDue(ctx, k.Now(), append(slices.Clone(voters), learners...), true)
	_, version := k.state.Evacuations()
	if len(voters) == 0 {
		return k.replicator.Status().IsVoter
	}
	return k.commands.allKnow(registrar.NewestCommand, voters, learners, version > 0)
}

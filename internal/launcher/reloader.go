package launcher

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// reloadInterval is how often the settings file is looked at, since it may change without a
// signal.
const reloadInterval = 5 * time.Second

// reloader reads the settings file again after SIGHUP and when the file has changed.
type reloader[S Settings] struct {
	// Set at creation.
	process *Process
	path    string
	read    func(path string) (S, error)
	tasks   sync.WaitGroup

	// Owned by run.
	modified time.Time
}

// startReloader starts to look for changes until the context ends.
func startReloader[S Settings](ctx context.Context, p *Process, path string, read func(path string) (S, error)) *reloader[S] {
	r := &reloader[S]{process: p, path: path, read: read, modified: modifiedAt(path)}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	r.tasks.Add(1)
	go r.run(ctx, hangups)
	return r
}

// run reloads until the context ends. SIGHUP stays without its default effect after that,
// since the process may still be finishing its requests.
func (r *reloader[S]) run(ctx context.Context, hangups <-chan os.Signal) {
	defer r.tasks.Done()
	ticker := r.process.Clock.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.reload("signal")
		case <-ticker.C:
			if at := modifiedAt(r.path); !at.Equal(r.modified) {
				r.reload("file changed")
			}
		}
	}
}

// reload reads the file. Settings with faults are logged and change nothing.
func (r *reloader[S]) reload(cause string) {
	r.modified = modifiedAt(r.path)
	settings, err := r.read(r.path)
	if err != nil {
		r.process.Log.Error().Err(err).Str("cause", cause).Msg("settings not reloaded")
		return
	}
	r.process.Log.Info().Str("cause", cause).Msg("settings reloaded")
	r.process.notifyReload(settings)
}

// modifiedAt returns when a file was changed last, or the zero time if that is not known.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// OnReload calls a function with the settings each time they were read again.
func (p *Process) OnReload(f func(settings Settings)) {
	p.reloadMutex.Lock()
	defer p.reloadMutex.Unlock()
	p.onReload = append(p.onReload, f)
}

// notifyReload tells all who asked of new settings.
func (p *Process) notifyReload(settings Settings) {
	p.reloadMutex.Lock()
	hooks := p.onReload
	p.reloadMutex.Unlock()
	for _, f := range hooks {
		f(settings)
	}
}

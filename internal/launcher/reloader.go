package launcher

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// reloadInterval is the time between two checks whether the settings file has changed. The file may
// change without a signal.
const reloadInterval = 5 * time.Second

// reloader reloads the settings file after SIGHUP and when the file has changed.
type reloader[S Settings] struct {
	// Set at creation.
	process *Process
	path    string
	read    func(path string) (S, error)
	tasks   sync.WaitGroup

	// Used by run only.
	modified time.Time
}

// startReloader starts a reloader that runs until the context ends.
func startReloader[S Settings](ctx context.Context, p *Process, path string, read func(path string) (S, error)) *reloader[S] {
	r := &reloader[S]{process: p, path: path, read: read, modified: modifiedAt(path)}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	r.tasks.Add(1)
	go r.run(ctx, hangups)
	return r
}

// run reloads until the context ends. SIGHUP does not regain its default effect after that, because
// it would terminate a process that is still finishing its requests.
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

// reload reads the file and passes the settings to the hooks. If the settings are invalid, it logs
// the error and changes nothing.
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

// modifiedAt returns the modification time of a file, or the zero time if the file cannot be
// accessed.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// OnReload registers a hook that is called with the new settings after each reload.
func (p *Process) OnReload(f func(settings Settings)) {
	p.reloadMutex.Lock()
	defer p.reloadMutex.Unlock()
	p.onReload = append(p.onReload, f)
}

// notifyReload calls all hooks with the new settings.
func (p *Process) notifyReload(settings Settings) {
	p.reloadMutex.Lock()
	hooks := p.onReload
	p.reloadMutex.Unlock()
	for _, f := range hooks {
		f(settings)
	}
}

package commander

import (
	"context"
	"os"
	"runtime/pprof"
)

// settingsOptions are the options of subcommands that read a settings file.
type settingsOptions struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings in TOML"`
	LogLevel string `arg:"--log-level" default:"info" placeholder:"LEVEL" help:"debug, info, warn or error"`
	Profile  string `arg:"--cpu-profile" placeholder:"FILE" help:"write a profile of processor time"`
}

// runProfiled runs a subcommand and, if a profile file is set, writes a CPU profile of it.
func (o *settingsOptions) runProfiled(ctx context.Context, s streams, c command) error {
	if o.Profile == "" {
		return c.run(ctx, s)
	}
	f, err := os.Create(o.Profile)
	if err != nil {
		return err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return err
	}
	result := c.run(ctx, s)
	pprof.StopCPUProfile()
	if err := f.Close(); err != nil {
		return err
	}
	return result
}

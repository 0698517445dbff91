package commander

import (
	"context"

	"banyandock.example/banyandock/cmd/standin/internal/controller"
	"banyandock.example/banyandock/cmd/standin/internal/scatterer"
	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
	"banyandock.example/banyandock/cmd/standin/internal/supervisor"
)

// serveCommand runs backend servers until the context ends.
type serveCommand struct {
	settingsOptions
}

func (c *serveCommand) run(ctx context.Context, s streams) error {
	log, err := s.log(c.LogLevel)
	if err != nil {
		return err
	}
	settings, err := settingsreader.ReadServe(c.Settings)
	if err != nil {
		return err
	}
	servers, err := supervisor.Start(settings, log)
	if err != nil {
		return err
	}
	defer servers.Close()
	control, err := controller.Start(settings.Control, servers.Servers(), servers.Executions(), log)
	if err != nil {
		return err
	}
	defer control.Close()
	log.Info().Int("servers", len(servers.Servers())).Stringer("control", settings.Control).Msg("serving")
	<-ctx.Done()
	servers.Drain()
	return nil
}

// baselineCommand runs emulated entry hosts until the context ends.
type baselineCommand struct {
	settingsOptions
}

func (c *baselineCommand) run(ctx context.Context, s streams) error {
	log, err := s.log(c.LogLevel)
	if err != nil {
		return err
	}
	settings, err := settingsreader.ReadBaseline(c.Settings)
	if err != nil {
		return err
	}
	hosts, err := scatterer.Start(settings, log)
	if err != nil {
		return err
	}
	defer hosts.Close()
	log.Info().Int("hosts", settings.Hosts).Msg("serving")
	<-ctx.Done()
	return nil
}

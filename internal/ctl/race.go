package ctl

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"indigotack/internal/cli"
	"indigotack/internal/race"
)

type raceCommand struct {
	Connections []int         `help:"Closed-loop connections of each leg." default:"8,32,100,300,1000"`
	Servers     int           `help:"Stand-in servers." default:"2"`
	Takes       time.Duration `help:"What a request takes a server; 0 for as fast as it goes." default:"0s"`
	Cores       int           `help:"Requests that a server works on at once; 0 for any number."`
	Crowded     float64       `help:"Requests held a core, beyond which each further one slows the server down." default:"4"`
	Crowding    float64       `help:"By this part each."`
	Fixed       []int         `help:"Also race proxies that let each server have so many requests at once."`
	Duration    time.Duration `help:"Of each leg." default:"3s"`
	Rounds      int           `help:"In which the contestants take turns." default:"4"`
	Warm        time.Duration `help:"Before each leg's round, not counted." default:"200ms"`
	Idle        time.Duration `help:"Rest before the first leg."`
	Aim         time.Duration `help:"Aim of the node's class; 0 for the default."`
	Log         bool          `help:"Print the node's log as well."`
}

func (c *raceCommand) Run(o *cli.Output) error {
	if c.Servers < 1 || c.Servers > 64 || c.Duration <= 0 || slices.Min(append(c.Connections, c.Fixed...)) < 1 {
		return cli.Usage("want 1 to 64 servers, a duration, and connections and limits of at least 1")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options := race.Options{Servers: race.Servers{Count: c.Servers, Takes: c.Takes, Cores: c.Cores, Crowded: c.Crowded, Crowding: c.Crowding},
		Connections: c.Connections, Duration: c.Duration, Rounds: c.Rounds, Warm: c.Warm, Idle: c.Idle, Fixed: c.Fixed, Aim: c.Aim}
	if c.Log {
		options.Log = o.Err
	}
	legs, err := race.Run(ctx, options)
	race.Write(o.Out, legs)
	return err
}

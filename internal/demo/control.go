package demo

import (
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Timeline returns the events of instance n, counted from 0.
func (d *Demo) Timeline(n int) *timeline.Ring { return d.instances[n].Timeline() }

// Editor returns the configuration editor of instance n, counted from 0.
func (d *Demo) Editor(n int) config.Editor { return d.instances[n].Editor() }

// Abort stops instance n, counted from 0, at once and cuts off its requests in flight.
func (d *Demo) Abort(n int) { d.instances[n].Drain(true) }

package demo

import (
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Timeline returns the ring of an instance; the first is 0.
func (d *Demo) Timeline(n int) *timeline.Ring { return d.instances[n].Timeline() }

// Editor returns the operators' side of an instance; the first is 0.
func (d *Demo) Editor(n int) config.Editor { return d.instances[n].Editor() }

// Abort stops an instance at once and cuts off what it serves; the first is 0.
func (d *Demo) Abort(n int) { d.instances[n].Drain(true) }

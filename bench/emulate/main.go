// Command emulate runs load scenarios ("days") through the balancer and simulated
// engines in synthetic time, and prints a table of the callers' results with the
// balancer's policy and with baselines.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hawthornwick/hawthornwick/internal/balanceexp"
)

// options are the command's flags.
type options struct {
	Seed      uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Seeds     int           `long:"seeds" default:"1" description:"number of seeds, from the first on; a line each"`
	Length    time.Duration `long:"length" default:"45s" description:"synthetic time in which requests arrive"`
	Rate      float64       `long:"rate" default:"55" description:"requests a second"`
	Servers   int           `long:"servers" default:"12" description:"number of engines"`
	Instances int           `long:"instances" default:"8" description:"number of instances"`
	Days      []string      `long:"day" description:"day to play; may be repeated; all by default"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	days, err := selectDays(o.Days)
	if err != nil {
		return err
	}
	fmt.Println(balanceexp.Header)
	for _, d := range days {
		for _, p := range balanceexp.Policies() {
			for i := range o.Seeds {
				x := balanceexp.Experiment{
					Policy: p, Day: d, Seed: o.Seed + uint64(i), Length: o.Length,
					Rate: o.Rate, Servers: o.Servers, Instances: o.Instances,
				}
				fmt.Println(x.Run().Row())
			}
		}
	}
	return nil
}

// selectDays returns the named days, or all days if names is empty.
func selectDays(names []string) ([]balanceexp.Day, error) {
	if len(names) == 0 {
		return balanceexp.Days(), nil
	}
	var days []balanceexp.Day
	for _, name := range names {
		d, ok := balanceexp.DayNamed(name)
		if !ok {
			return nil, fmt.Errorf("unknown day %q", name)
		}
		days = append(days, d)
	}
	return days, nil
}

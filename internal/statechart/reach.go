package statechart

// checkReachability reports states that cannot be reached from the initial state and,
// if the chart has final states, states that cannot reach any of them.
func (c *checker) checkReachability() {
	forward, backward := make([][]int, len(c.file.States)), make([][]int, len(c.file.States))
	var finals []int
	for i, s := range c.file.States {
		if s.Final {
			finals = append(finals, i)
		}
		for _, t := range s.On {
			if next, ok := c.states[t.To]; ok {
				forward[i] = append(forward[i], next)
				backward[next] = append(backward[next], i)
			}
		}
	}
	if initial, ok := c.states[c.file.Initial]; ok {
		c.reportUnreached(reachableFrom(forward, initial), "state %q cannot be reached from the initial state")
	}
	if len(finals) > 0 {
		c.reportUnreached(reachableFrom(backward, finals...), "state %q cannot reach a final state")
	}
}

func (c *checker) reportUnreached(reached []bool, format string) {
	for i, ok := range reached {
		if !ok {
			c.doc.AddFault(elementPath("states", i)+".name", format, c.file.States[i].Name)
		}
	}
}

// reachableFrom reports for each node whether it can be reached from the start nodes.
func reachableFrom(edges [][]int, from ...int) []bool {
	reached := make([]bool, len(edges))
	for len(from) > 0 {
		next := from[len(from)-1]
		from = from[:len(from)-1]
		if !reached[next] {
			reached[next] = true
			from = append(from, edges[next]...)
		}
	}
	return reached
}

package statechart

// reachability reports states that the initial state cannot reach and, in a
// chart with final states, states that can reach no final state.
func (c *checker) reachability() {
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
		c.unreached(reach(forward, initial), "state %q cannot be reached from the initial state")
	}
	if len(finals) > 0 {
		c.unreached(reach(backward, finals...), "state %q cannot reach a final state")
	}
}

func (c *checker) unreached(reached []bool, format string) {
	for i, ok := range reached {
		if !ok {
			c.doc.AddFault(indexed("states", i)+".name", format, c.file.States[i].Name)
		}
	}
}

func reach(edges [][]int, from ...int) []bool {
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

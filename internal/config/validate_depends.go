package config

import "strings"

// visitState is the state of a service in the depth-first search for dependency
// cycles.
type visitState int

const (
	unvisited visitState = iota
	inProgress
	finished
)

// dependencySearch is a depth-first search for cycles of depends-on references.
type dependencySearch struct {
	services map[string]int // index in Config.Services
	visits   []visitState
	path     []string // services from the root of the search to the current one
}

// checkDependencyCycles reports each cycle once, at the reference that closes it.
func (v *validator) checkDependencyCycles() {
	s := dependencySearch{services: make(map[string]int), visits: make([]visitState, len(v.config.Services))}
	for i, service := range v.config.Services {
		s.services[service.Name] = i
	}
	for i := range v.config.Services {
		v.visitService(&s, i)
	}
}

func (v *validator) visitService(s *dependencySearch, i int) {
	if s.visits[i] != unvisited {
		return
	}
	s.visits[i] = inProgress
	service := &v.config.Services[i]
	s.path = append(s.path, service.Name)
	for j, name := range service.DependsOn {
		next, ok := s.services[name]
		if !ok {
			continue
		}
		if s.visits[next] == inProgress {
			reference := elementPath(elementPath("services", i)+".depends-on", j)
			v.doc.AddFaultOnce(reference, "services depend on each other: %s", s.cycle(name))
			continue
		}
		v.visitService(s, next)
	}
	s.path = s.path[:len(s.path)-1]
	s.visits[i] = finished
}

// cycle formats the cycle that starts and ends at the service, such as a → b → a.
func (s *dependencySearch) cycle(name string) string {
	start := 0
	for i, service := range s.path {
		if service == name {
			start = i
		}
	}
	return strings.Join(append(s.path[start:len(s.path):len(s.path)], name), " → ")
}

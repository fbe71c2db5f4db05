package config

import "strings"

// visit is the progress of the depth-first search through dependencies.
type visit int

const (
	unvisited visit = iota
	inProgress
	finished
)

// dependencySearch finds cycles among depends-on references.
type dependencySearch struct {
	services map[string]int // index in Config.Services
	visits   []visit
	path     []string
}

// dependencyCycles reports each cycle once, at the service that closes it.
func (v *validator) dependencyCycles() {
	s := dependencySearch{services: make(map[string]int), visits: make([]visit, len(v.config.Services))}
	for i, service := range v.config.Services {
		s.services[service.Name] = i
	}
	for i := range v.config.Services {
		v.searchFrom(&s, i)
	}
}

func (v *validator) searchFrom(s *dependencySearch, i int) {
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
			at := field(field("services", i)+".depends-on", j)
			v.doc.FaultOnce(at, "services depend on each other: %s", s.cycle(name))
			continue
		}
		v.searchFrom(s, next)
	}
	s.path = s.path[:len(s.path)-1]
	s.visits[i] = finished
}

// cycle formats the part of the path that starts and ends at the service.
func (s *dependencySearch) cycle(name string) string {
	start := 0
	for i, on := range s.path {
		if on == name {
			start = i
		}
	}
	return strings.Join(append(s.path[start:len(s.path):len(s.path)], name), " → ")
}

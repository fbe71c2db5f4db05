package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
)

// Change is one difference between two configurations.
type Change struct {
	// Field names the item and its field, such as classes[status].floor.
	Field string `json:"field"`
	// Before is the old value as YAML. Empty means that the item was added.
	Before string `json:"before,omitempty"`
	// After is the new value as YAML. Empty means that the item was removed.
	After string `json:"after,omitempty"`
}

// String formats the change as one line: + added, - removed, ~ changed.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Field, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Field, c.Before)
	}
	return fmt.Sprintf("~ %s: %s → %s", c.Field, c.Before, c.After)
}

// Diff returns the changes from a to b. Items are matched by name, and their
// order in a list is ignored. A default and the same value set explicitly are
// equal.
func Diff(a, b Config) []Change {
	return slices.Concat(
		diffItems("organisations", a.Organisations, b.Organisations, func(o Organisation) string { return o.Name }),
		diffItems("classes", a.Classes, b.Classes, func(c Class) string { return c.Name }),
		diffItems("models", a.Models, b.Models, func(m Model) string { return m.Name }),
		diffItems("services", a.Services, b.Services, func(s Service) string { return s.Name }),
		diffItems("zones", a.Zones, b.Zones, func(z Zone) string { return z.Name }),
	)
}

func diffItems[T any](list string, before, after []T, name func(T) string) []Change {
	var changes []Change
	old := make(map[string]T, len(before))
	for _, item := range before {
		old[name(item)] = item
	}
	kept := make(map[string]bool, len(after))
	for _, item := range after {
		path := fmt.Sprintf("%s[%s]", list, name(item))
		was, ok := old[name(item)]
		if !ok {
			changes = append(changes, Change{Field: path, After: flowYAML(item)})
			continue
		}
		kept[name(item)] = true
		changes = append(changes, diffFields(path, was, item)...)
	}
	for _, item := range before {
		if !kept[name(item)] {
			changes = append(changes, Change{Field: fmt.Sprintf("%s[%s]", list, name(item)), Before: flowYAML(item)})
		}
	}
	return changes
}

func diffFields[T any](path string, before, after T) []Change {
	var changes []Change
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		was, is := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(was, is) {
			continue
		}
		name := a.Type().Field(i).Tag.Get("yaml")
		changes = append(changes, Change{Field: path + "." + name, Before: flowYAML(was), After: flowYAML(is)})
	}
	return changes
}

// flowYAML formats a value as one line of YAML in flow style.
func flowYAML(v any) string {
	text, err := yaml.MarshalWithOptions(v, yaml.Flow(true))
	if err != nil {
		return fmt.Sprintf("%+v", v)
	}
	return strings.TrimSpace(string(text))
}

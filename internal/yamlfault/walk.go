package yamlfault

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// value decodes the node into v and records the position of the field.
func (d *Document) value(field string, n ast.Node, v reflect.Value) {
	d.positions[field] = positionOf(n)
	switch n.Type() {
	case ast.NullType:
		return
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		d.Fault(field, "anchors, aliases and merge keys are not supported")
		return
	case ast.TagType:
		d.Fault(field, "tags are not supported")
		return
	}
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(field, n, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.mapping(field, n, v)
	case reflect.Slice:
		d.sequence(field, n, v)
	default:
		d.scalar(field, n, v)
	}
}

func (d *Document) mapping(field string, n ast.Node, v reflect.Value) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		d.Fault(field, "expected fields, not %s", describe(n))
		return
	}
	seen := make(map[string]bool, len(m.Values))
	for _, entry := range m.Values {
		name := entry.Key.GetToken().Value
		path := join(field, name)
		at := positionOf(entry.Key)
		target, known := fieldByTag(v, name)
		switch {
		case entry.Key.IsMergeKey():
			d.faultAt(at, path, "anchors, aliases and merge keys are not supported")
		case !known:
			d.faultAt(at, path, "unknown field; known are %s", strings.Join(tags(v.Type()), ", "))
		case seen[name]:
			d.faultAt(at, path, "field appears twice")
		default:
			seen[name] = true
			d.value(path, entry.Value, target)
		}
	}
}

func (d *Document) sequence(field string, n ast.Node, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.Fault(field, "expected a list, not %s", describe(n))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values)))
	for i, item := range s.Values {
		d.value(fmt.Sprintf("%s[%d]", field, i), item, v.Index(i))
	}
}

func (d *Document) text(field string, n ast.Node, u encoding.TextUnmarshaler) {
	if _, ok := n.(ast.ScalarNode); !ok {
		d.Fault(field, "expected one value, not %s", describe(n))
		return
	}
	if err := u.UnmarshalText([]byte(n.GetToken().Value)); err != nil {
		d.Fault(field, "%v", err)
	}
}

func (d *Document) scalar(field string, n ast.Node, v reflect.Value) {
	want := ""
	switch v.Kind() {
	case reflect.String:
		want = "a text (in quotes if it looks like a number)"
	case reflect.Bool:
		want = "true or false"
	case reflect.Float64:
		want = "a number"
	default:
		want = "a whole number"
	}
	if !fits(n, v.Kind()) {
		d.Fault(field, "expected %s, not %s", want, describe(n))
		return
	}
	if err := decodeNode(n, v); err != nil {
		d.Fault(field, "expected %s: %s", want, message(err))
	}
}

// fits reports whether the node's own type suits the kind, so that no value is
// converted silently.
func fits(n ast.Node, k reflect.Kind) bool {
	switch n.Type() {
	case ast.StringType, ast.LiteralType:
		return k == reflect.String
	case ast.BoolType:
		return k == reflect.Bool
	case ast.IntegerType:
		return k != reflect.String && k != reflect.Bool
	case ast.FloatType:
		return k == reflect.Float64
	}
	return false
}

func decodeNode(n ast.Node, v reflect.Value) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v", r)
		}
	}()
	return yaml.NodeToValue(n, v.Addr().Interface())
}

func message(err error) string {
	var yerr yaml.Error
	if errors.As(err, &yerr) {
		return yerr.GetMessage()
	}
	return err.Error()
}

func describe(n ast.Node) string {
	switch n.Type() {
	case ast.MappingType:
		return "a set of fields"
	case ast.SequenceType:
		return "a list"
	}
	if t := n.GetToken(); t != nil {
		return fmt.Sprintf("%q", t.Value)
	}
	return "this value"
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func fieldByTag(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("yaml") == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func tags(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("yaml"))
	}
	return names
}

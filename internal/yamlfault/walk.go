package yamlfault

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// decodeValue decodes the node into v and records the position of the field. A null
// node leaves v unchanged.
func (d *Document) decodeValue(field string, n ast.Node, v reflect.Value) {
	d.positions[field] = positionOf(n)
	switch n.Type() {
	case ast.NullType:
		return
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		d.AddFault(field, "anchors, aliases and merge keys are not supported")
		return
	case ast.TagType:
		d.AddFault(field, "tags are not supported")
		return
	}
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(field, n, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeMapping(field, n, v)
	case reflect.Slice:
		d.decodeSequence(field, n, v)
	default:
		d.decodeScalar(field, n, v)
	}
}

func (d *Document) decodeMapping(field string, n ast.Node, v reflect.Value) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		d.AddFault(field, "expected fields, not %s", describeNode(n))
		return
	}
	seen := make(map[string]bool, len(m.Values))
	for _, entry := range m.Values {
		name := entry.Key.GetToken().Value
		path := joinPath(field, name)
		at := positionOf(entry.Key)
		target, known := fieldByTag(v, name)
		switch {
		case entry.Key.IsMergeKey():
			d.addFaultAt(at, path, "anchors, aliases and merge keys are not supported")
		case !known:
			d.addFaultAt(at, path, "unknown field; known are %s", strings.Join(fieldNames(v.Type()), ", "))
		case seen[name]:
			d.addFaultAt(at, path, "field appears twice")
		default:
			seen[name] = true
			d.decodeValue(path, entry.Value, target)
		}
	}
}

func (d *Document) decodeSequence(field string, n ast.Node, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.AddFault(field, "expected a list, not %s", describeNode(n))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values)))
	for i, item := range s.Values {
		d.decodeValue(field+"["+strconv.Itoa(i)+"]", item, v.Index(i))
	}
}

func (d *Document) decodeText(field string, n ast.Node, u encoding.TextUnmarshaler) {
	if _, ok := n.(ast.ScalarNode); !ok {
		d.AddFault(field, "expected one value, not %s", describeNode(n))
		return
	}
	if err := u.UnmarshalText([]byte(n.GetToken().Value)); err != nil {
		d.AddFault(field, "%v", err)
	}
}

func (d *Document) decodeScalar(field string, n ast.Node, v reflect.Value) {
	if !setScalar(n, v) {
		d.AddFault(field, "expected %s, not %s", expectedKind(v.Kind()), describeNode(n))
	}
}

func expectedKind(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a text (in quotes if it looks like a number)"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

// setScalar sets v if the YAML type of the node matches the type of v, and reports
// whether it did. No value is converted implicitly, such as a number to a string.
func setScalar(n ast.Node, v reflect.Value) bool {
	switch n := n.(type) {
	case *ast.StringNode:
		return setString(v, n.Value)
	case *ast.LiteralNode:
		return setString(v, n.Value.Value)
	case *ast.BoolNode:
		if v.Kind() != reflect.Bool {
			return false
		}
		v.SetBool(n.Value)
		return true
	case *ast.IntegerNode:
		return setInteger(v, n)
	case *ast.FloatNode:
		if v.Kind() != reflect.Float64 {
			return false
		}
		v.SetFloat(n.Value)
		return true
	}
	return false
}

func setString(v reflect.Value, text string) bool {
	if v.Kind() != reflect.String {
		return false
	}
	v.SetString(text)
	return true
}

// setInteger sets an integer field, or a float field, for which an integer is a valid
// value. It reports whether the value fits.
func setInteger(v reflect.Value, n *ast.IntegerNode) bool {
	value, ok := n.Value.(int64)
	if unsigned, is := n.Value.(uint64); is {
		value, ok = int64(unsigned), unsigned <= math.MaxInt64
	}
	switch {
	case !ok:
		return false
	case v.CanInt() && !v.OverflowInt(value):
		v.SetInt(value)
	case v.CanUint() && value >= 0 && !v.OverflowUint(uint64(value)):
		v.SetUint(uint64(value))
	case v.Kind() == reflect.Float64:
		v.SetFloat(float64(value))
	default:
		return false
	}
	return true
}

func describeNode(n ast.Node) string {
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

func joinPath(field, name string) string {
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

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("yaml"))
	}
	return names
}

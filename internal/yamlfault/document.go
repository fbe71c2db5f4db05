package yamlfault

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxTextBytes bounds the length of a text that Decode reads.
const MaxTextBytes = 8 << 20

type position struct{ line, column int }

// Document is a decoded text. It collects the faults that decoding and the
// later validation find, and knows the position of each field.
type Document struct {
	file      string
	positions map[string]position
	faults    []Fault
	faulty    map[string]bool // fields with a fault
}

// maxNesting bounds the brackets, and the list entries of one line, that are
// nested: the parser's time grows with the square of the depth.
const maxNesting = 64

// tooDeep returns the first token that is nested too deeply, nil when none is.
func tooDeep(tokens token.Tokens) *token.Token {
	brackets, entries, line := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, entries = t.Position.Line, 0
		}
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			brackets++
		case token.MappingEndType, token.SequenceEndType:
			brackets--
		case token.SequenceEntryType, token.MappingKeyType:
			entries++
		}
		if brackets > maxNesting || entries > maxNesting {
			return t
		}
	}
	return nil
}

// Decode decodes the text into the struct that into points to, using the
// `yaml` tags of its fields. It always returns a document; Err tells whether
// the text had faults. Fields that the text does not set keep their values.
// Anchors, aliases and merge keys are refused.
func Decode(file string, text []byte, into any) *Document {
	d := &Document{file: file, positions: make(map[string]position), faulty: make(map[string]bool)}
	if len(text) > MaxTextBytes {
		d.Fault("", "text has %d bytes, more than the limit of %d", len(text), MaxTextBytes)
		return d
	}
	body := d.parse(text)
	if body == nil {
		return d
	}
	d.value("", body, reflect.ValueOf(into).Elem())
	return d
}

// parse returns the text's only node, nil when it is empty or cannot be parsed.
func (d *Document) parse(text []byte) (body ast.Node) {
	defer func() {
		if r := recover(); r != nil {
			d.Fault("", "text cannot be parsed: %v", r)
			body = nil
		}
	}()
	tokens := lexer.Tokenize(string(text))
	if deep := tooDeep(tokens); deep != nil {
		d.faultAt(position{deep.Position.Line, deep.Position.Column}, "", "more than %d levels of nesting", maxNesting)
		return nil
	}
	f, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntaxFault(err)
		return nil
	}
	var bodies []ast.Node
	for _, doc := range f.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) == 0 {
		return nil
	}
	if len(bodies) > 1 {
		d.faultAt(positionOf(bodies[1]), "", "text holds %d documents, not one", len(bodies))
		return nil
	}
	return bodies[0]
}

func (d *Document) syntaxFault(err error) {
	var yerr yaml.Error
	if !errors.As(err, &yerr) || yerr.GetToken() == nil || yerr.GetToken().Position == nil {
		d.Fault("", "%v", err)
		return
	}
	p := yerr.GetToken().Position
	d.faultAt(position{p.Line, p.Column}, "", "%s", yerr.GetMessage())
}

// Fault adds a fault of the field. The position is that of the field or, when
// the text does not set it, of the nearest field around it.
func (d *Document) Fault(field, format string, args ...any) {
	d.faultAt(d.nearest(field), field, format, args...)
}

// FaultOnce is like Fault but adds nothing when the field, or a field around
// it, already has a fault.
func (d *Document) FaultOnce(field, format string, args ...any) {
	if !d.faultyAround(field) {
		d.Fault(field, format, args...)
	}
}

func (d *Document) faultAt(p position, field, format string, args ...any) {
	d.faulty[field] = true
	d.faults = append(d.faults, Fault{
		File: d.file, Line: p.line, Column: p.column,
		Field: field, Message: fmt.Sprintf(format, args...),
	})
}

func (d *Document) nearest(field string) position {
	for ; field != ""; field = around(field) {
		if p, ok := d.positions[field]; ok {
			return p
		}
	}
	return d.positions[""]
}

// around returns the field that contains the field, empty for the whole text.
func around(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

func (d *Document) faultyAround(field string) bool {
	for ; field != ""; field = around(field) {
		if d.faulty[field] {
			return true
		}
	}
	return false
}

// Has reports whether the text sets the field.
func (d *Document) Has(field string) bool {
	_, ok := d.positions[field]
	return ok
}

// Err returns a *FaultsError with all faults, nil when there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	sortFaults(d.faults)
	return &FaultsError{Faults: d.faults}
}

func positionOf(n ast.Node) position {
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 && !m.IsFlowStyle {
		return positionOf(m.Values[0].Key)
	}
	t := n.GetToken()
	if t == nil || t.Position == nil {
		return position{}
	}
	return position{t.Position.Line, t.Position.Column}
}

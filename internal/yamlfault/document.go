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

// MaxTextBytes is the maximum size of a text that Decode accepts.
const MaxTextBytes = 8 << 20

type position struct{ line, column int }

// Document collects the faults that decoding and validation of a text find, and
// holds the position of each field for error messages. It is not safe for concurrent
// use.
type Document struct {
	file      string
	positions map[string]position
	faults    []Fault
	faulty    map[string]bool // paths of the fields with a fault
}

// maxNesting bounds the nesting depth of brackets, and of list entries on one line,
// because the parser's run time grows with the square of the depth.
const maxNesting = 64

// firstTooDeep returns the first token that is nested deeper than maxNesting, or nil
// if there is none.
func firstTooDeep(tokens token.Tokens) *token.Token {
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

// Decode decodes the text into the struct that into points to, by the `yaml` tags of
// its fields. It always returns a document, whose Err method returns the faults of
// the text. Fields that the text does not set keep their values. Anchors, aliases,
// merge keys and tags are not supported and reported as faults.
func Decode(file string, text []byte, into any) *Document {
	d := &Document{file: file, positions: make(map[string]position), faulty: make(map[string]bool)}
	if len(text) > MaxTextBytes {
		d.AddFault("", "text has %d bytes, more than the limit of %d", len(text), MaxTextBytes)
		return d
	}
	body := d.parse(text)
	if body == nil {
		return d
	}
	d.decodeValue("", body, reflect.ValueOf(into).Elem())
	return d
}

// parse returns the root node of the text, or nil if the text is empty or cannot be
// parsed.
func (d *Document) parse(text []byte) (body ast.Node) {
	defer func() {
		if r := recover(); r != nil {
			d.AddFault("", "text cannot be parsed: %v", r)
			body = nil
		}
	}()
	tokens := lexer.Tokenize(string(text))
	if deep := firstTooDeep(tokens); deep != nil {
		d.addFaultAt(position{deep.Position.Line, deep.Position.Column}, "", "more than %d levels of nesting", maxNesting)
		return nil
	}
	f, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxFault(err)
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
		d.addFaultAt(positionOf(bodies[1]), "", "text holds %d documents, not one", len(bodies))
		return nil
	}
	return bodies[0]
}

func (d *Document) addSyntaxFault(err error) {
	var yerr yaml.Error
	if !errors.As(err, &yerr) || yerr.GetToken() == nil || yerr.GetToken().Position == nil {
		d.AddFault("", "%v", err)
		return
	}
	p := yerr.GetToken().Position
	d.addFaultAt(position{p.Line, p.Column}, "", "%s", yerr.GetMessage())
}

// AddFault adds a fault of the field. Its position is that of the field or, if the
// text does not set the field, of the closest enclosing field that is set.
func (d *Document) AddFault(field, format string, args ...any) {
	d.addFaultAt(d.nearestPosition(field), field, format, args...)
}

// AddFaultOnce is like AddFault but does nothing if the field or an enclosing field
// already has a fault.
func (d *Document) AddFaultOnce(field, format string, args ...any) {
	if !d.hasEnclosingFault(field) {
		d.AddFault(field, format, args...)
	}
}

func (d *Document) addFaultAt(p position, field, format string, args ...any) {
	d.faulty[field] = true
	d.faults = append(d.faults, Fault{
		File: d.file, Line: p.line, Column: p.column,
		Field: field, Message: fmt.Sprintf(format, args...),
	})
}

func (d *Document) nearestPosition(field string) position {
	for ; field != ""; field = enclosingField(field) {
		if p, ok := d.positions[field]; ok {
			return p
		}
	}
	return d.positions[""]
}

// enclosingField returns the path of the field that contains the given one. Empty
// means the whole text.
func enclosingField(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

func (d *Document) hasEnclosingFault(field string) bool {
	for ; field != ""; field = enclosingField(field) {
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

// Err returns a *FaultsError with all faults in order of position, or nil if there
// are none.
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

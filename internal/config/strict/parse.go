package strict

import (
	"bytes"
	"encoding/json"
	"io"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// maxDepth is the maximum nesting of a text. The deepest format in use has six levels.
const maxDepth = 16

// nodeKind is the kind of a JSON value.
type nodeKind int

const (
	kindNull nodeKind = iota
	kindBool
	kindNumber
	kindString
	kindArray
	kindObject
)

// String returns the name of the kind for problem texts.
func (k nodeKind) String() string {
	return [...]string{"null", "true or false", "a number", "a string", "a list", "an object"}[k]
}

// node is one JSON value and the line that it begins at. An object has all its keys, repeated ones included.
type node struct {
	kind   nodeKind
	line   int
	flag   bool
	text   string
	fields []field
	items  []*node
}

// field is one key of an object and its value.
type field struct {
	key   string
	line  int
	value *node
}

// parser builds the tree of one text and tracks the line number.
type parser struct {
	content []byte
	decoder *json.Decoder
	// lineOffset is the byte offset up to which lines are counted.
	lineOffset int
	// line is the line number at lineOffset, from 1.
	line int
}

// syntaxError is the error for a text that is not valid JSON, with the line where parsing stopped.
type syntaxError struct {
	error
	line int
}

// parse returns the tree of one JSON text, or the first error: text that is not UTF-8 or not valid JSON, nesting deeper
// than maxDepth, or more text after the value.
func parse(content []byte) (*node, *syntaxError) {
	p := &parser{content: content, decoder: json.NewDecoder(bytes.NewReader(content)), line: 1}
	p.decoder.UseNumber()
	if !utf8.Valid(content) {
		return nil, &syntaxError{error: errors.New("it is not UTF-8"), line: 1}
	}
	root, err := p.parseValue(0)
	if err == nil {
		err = p.expectEnd()
	}
	if err != nil {
		return nil, p.errorAtLine(err)
	}
	return root, nil
}

// expectEnd returns an error if anything but white space follows the parsed value.
func (p *parser) expectEnd() error {
	if _, err := p.decoder.Token(); err == nil {
		return errors.New("there is more after its end")
	} else if !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// errorAtLine returns err with the line at which it occurred. If the input ended before the value was complete, the
// error becomes "it ends too early", at the last line.
func (p *parser) errorAtLine(err error) *syntaxError {
	offset := int(p.decoder.InputOffset())
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = int(syntax.Offset)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		offset = len(p.content)
		err = errors.New("it ends too early")
	}
	p.advanceLine(offset)
	return &syntaxError{error: err, line: p.line}
}

// advanceLine sets the line to that of a byte offset. Offsets only grow, so each byte is scanned once.
func (p *parser) advanceLine(offset int) {
	offset = min(offset, len(p.content))
	if offset > p.lineOffset {
		p.line += bytes.Count(p.content[p.lineOffset:offset], []byte("\n"))
		p.lineOffset = offset
	}
}

// nextToken reads a token and advances the line to its end.
func (p *parser) nextToken() (json.Token, error) {
	token, err := p.decoder.Token()
	if err == nil {
		p.advanceLine(int(p.decoder.InputOffset()))
	}
	return token, err
}

// parseValue parses one value at the given nesting depth.
func (p *parser) parseValue(depth int) (*node, error) {
	if depth > maxDepth {
		return nil, errors.Newf("it is nested deeper than %d levels", maxDepth)
	}
	token, err := p.nextToken()
	if err != nil {
		return nil, err
	}
	n := &node{line: p.line}
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			n.kind = kindObject
			return n, p.parseObject(n, depth)
		}
		n.kind = kindArray
		return n, p.parseArray(n, depth)
	case bool:
		n.kind, n.flag = kindBool, t
	case json.Number:
		n.kind, n.text = kindNumber, t.String()
	case string:
		n.kind, n.text = kindString, t
	}
	return n, nil
}

// parseObject parses the fields of n up to the closing brace.
func (p *parser) parseObject(n *node, depth int) error {
	for p.decoder.More() {
		key, err := p.nextToken()
		if err != nil {
			return err
		}
		text, _ := key.(string)
		f := field{key: text, line: p.line}
		if f.value, err = p.parseValue(depth + 1); err != nil {
			return err
		}
		n.fields = append(n.fields, f)
	}
	_, err := p.nextToken()
	return err
}

// parseArray parses the items of n up to the closing bracket.
func (p *parser) parseArray(n *node, depth int) error {
	for p.decoder.More() {
		item, err := p.parseValue(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, item)
	}
	_, err := p.nextToken()
	return err
}

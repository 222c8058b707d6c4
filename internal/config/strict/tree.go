package strict

import (
	"bytes"
	"encoding/json"
	"io"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// maxDepth bounds the nesting of a text; the deepest format here needs six levels.
const maxDepth = 16

// nodeKind says which kind of JSON value a node is.
type nodeKind int

const (
	kindNull nodeKind = iota
	kindBool
	kindNumber
	kindString
	kindArray
	kindObject
)

// String gives the kind as problems name it.
func (k nodeKind) String() string {
	return [...]string{"null", "true or false", "a number", "a string", "a list", "an object"}[k]
}

// node is one JSON value with the line that it begins at, and with every key of an object, repeated ones included.
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

// parser reads the tokens of one text and counts lines.
type parser struct {
	content    []byte
	decoder    *json.Decoder
	lineOffset int
	line       int
}

// syntaxError is a text that is no JSON, with the line where reading stopped.
type syntaxError struct {
	error
	line int
}

// parse reads one text as a tree.
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

// expectEnd checks that nothing follows the text's value.
func (p *parser) expectEnd() error {
	if _, err := p.decoder.Token(); err == nil {
		return errors.New("there is more after its end")
	} else if !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// errorAtLine gives err with its line.
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

// advanceLine moves the line to that of an offset, which never goes back.
func (p *parser) advanceLine(offset int) {
	offset = min(offset, len(p.content))
	if offset > p.lineOffset {
		p.line += bytes.Count(p.content[p.lineOffset:offset], []byte("\n"))
		p.lineOffset = offset
	}
}

func (p *parser) nextToken() (json.Token, error) {
	token, err := p.decoder.Token()
	if err == nil {
		p.advanceLine(int(p.decoder.InputOffset()))
	}
	return token, err
}

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

// parseObject reads the fields up to the closing brace.
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

// parseArray reads the items up to the closing bracket.
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

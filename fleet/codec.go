package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// Parse reads a document from YAML. A default that the text leaves out has the
// value of the embedded default document. Unknown and repeated keys, aliases, and
// a second YAML document are errors.
func Parse(text []byte) (*Document, error) {
	return parseWithDefaults(defaultDocument.defaults, text)
}

func parseWithDefaults(base Settings, text []byte) (*Document, error) {
	if len(text) > MaxDocumentBytes {
		size := strconv.Itoa(len(text))
		return nil, invalid(Problem{Field: "document", Value: size, Permitted: fmt.Sprintf("at most %d bytes", MaxDocumentBytes)})
	}
	root, err := parseRoot(text)
	if err != nil {
		return nil, err
	}
	p := parser{doc: &Document{defaults: base}}
	p.document(root)
	return p.doc.validate(&p.report, p.lines)
}

func parseRoot(text []byte) (*yaml.Node, error) {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	var root yaml.Node
	if err := dec.Decode(&root); err != nil && !errors.Is(err, io.EOF) {
		return nil, invalid(Problem{Field: "document", Value: err.Error(), Permitted: "YAML"})
	}
	var second yaml.Node
	if err := dec.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, invalid(Problem{Field: "document", Value: "---", Permitted: "one YAML document"})
	}
	return &root, nil
}

// parser converts the YAML nodes to a Document and collects the problems.
type parser struct {
	report
	doc   *Document
	lines []int // line of each exception
}

func (p *parser) document(root *yaml.Node) {
	if root.Kind == 0 || len(root.Content) == 0 {
		return
	}
	p.mapping(root.Content[0], "document", func(key string, value *yaml.Node) bool {
		switch key {
		case "defaults":
			p.defaults(value)
		case "exceptions":
			p.exceptions(value)
		default:
			return false
		}
		return true
	})
}

// mapping calls visit for each key of n. Visit returns false if the key is
// unknown.
func (p *parser) mapping(n *yaml.Node, path string, visit func(key string, value *yaml.Node) bool) {
	if n.Kind != yaml.MappingNode {
		p.add(n.Line, path, n.Value, "a mapping")
		return
	}
	seen := make(map[string]bool, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if seen[key.Value] {
			p.add(key.Line, path, key.Value, "each key once")
			continue
		}
		seen[key.Value] = true
		if key.Kind != yaml.ScalarNode || !visit(key.Value, n.Content[i+1]) {
			p.add(key.Line, path, key.Value, "a known key")
		}
	}
}

func (p *parser) defaults(n *yaml.Node) {
	var o Overrides
	p.overrides(n, "defaults", &o)
	o.apply(&p.doc.defaults)
}

func (p *parser) overrides(n *yaml.Node, path string, o *Overrides) {
	p.mapping(n, path, func(key string, value *yaml.Node) bool {
		i, ok := fieldIndex[key]
		if !ok {
			return false
		}
		f := &fields[i]
		o.mask |= 1 << i
		if value.Kind != yaml.ScalarNode || !f.parse(&o.values, value.Value) {
			p.add(value.Line, path+"."+key, value.Value, f.permitted)
		}
		return true
	})
}

func (p *parser) exceptions(n *yaml.Node) {
	if n.Kind != yaml.SequenceNode {
		p.add(n.Line, "exceptions", n.Value, "a list")
		return
	}
	for i, item := range n.Content {
		var e Exception
		p.exception(item, fmt.Sprintf("exceptions[%d]", i), &e)
		p.doc.exceptions = append(p.doc.exceptions, e)
		p.lines = append(p.lines, item.Line)
	}
}

func (p *parser) exception(n *yaml.Node, path string, e *Exception) {
	p.mapping(n, path, func(key string, value *yaml.Node) bool {
		switch key {
		case "scope":
			p.scope(value, path+".scope", &e.Scope)
		case "set":
			p.overrides(value, path+".set", &e.Set)
		case "reason":
			e.Reason = p.scalar(value, path+".reason")
		case "author":
			e.Author = p.scalar(value, path+".author")
		case "expiry":
			e.Expiry = p.scalar(value, path+".expiry")
		default:
			return false
		}
		return true
	})
}

func (p *parser) scope(n *yaml.Node, path string, s *Scope) {
	p.mapping(n, path, func(key string, value *yaml.Node) bool {
		switch key {
		case "database":
			s.Database = p.scalar(value, path+".database")
		case "fingerprint":
			s.Fingerprint = p.fingerprint(value, path+".fingerprint")
		case "caller":
			s.Caller = p.scalar(value, path+".caller")
		default:
			return false
		}
		return true
	})
}

func (p *parser) scalar(n *yaml.Node, path string) string {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		p.add(n.Line, path, n.Value, "a text")
		return ""
	}
	return n.Value
}

func (p *parser) fingerprint(n *yaml.Node, path string) uint64 {
	fp, err := strconv.ParseUint(n.Value, 16, 64)
	if n.Kind != yaml.ScalarNode || err != nil || fp == 0 {
		p.add(n.Line, path, n.Value, "a hexadecimal number from 1 to ffffffffffffffff")
	}
	return fp
}

// YAML returns the document in its canonical form: all defaults, then the
// exceptions in order. Parse returns an equal document for it.
func (d *Document) YAML() []byte {
	root := mappingNode()
	setKey(root, "defaults", settingsNode(&d.defaults, func(int) bool { return true }))
	list := &yaml.Node{Kind: yaml.SequenceNode}
	for i := range d.exceptions {
		list.Content = append(list.Content, exceptionNode(&d.exceptions[i]))
	}
	if len(list.Content) > 0 {
		setKey(root, "exceptions", list)
	}
	var buf bytes.Buffer
	enc := yaml.NewEncoder(&buf)
	enc.SetIndent(2)
	if err := enc.Encode(root); err != nil {
		panic(err) // the tree has only nodes that can be encoded, and a buffer accepts all writes
	}
	return buf.Bytes()
}

func exceptionNode(e *Exception) *yaml.Node {
	scope := mappingNode()
	if e.Scope.Database != "" {
		setKey(scope, "database", stringNode(e.Scope.Database))
	}
	if e.Scope.Fingerprint != 0 {
		setKey(scope, "fingerprint", stringNode(fmt.Sprintf("%016x", e.Scope.Fingerprint)))
	}
	if e.Scope.Caller != "" {
		setKey(scope, "caller", stringNode(e.Scope.Caller))
	}
	n := mappingNode()
	setKey(n, "scope", scope)
	setKey(n, "set", settingsNode(&e.Set.values, e.Set.has))
	setKey(n, "reason", stringNode(e.Reason))
	setKey(n, "author", stringNode(e.Author))
	if e.Expiry != "" {
		setKey(n, "expiry", stringNode(e.Expiry))
	}
	return n
}

func settingsNode(s *Settings, has func(int) bool) *yaml.Node {
	n := mappingNode()
	for i := range fields {
		if has(i) {
			setKey(n, fields[i].name, &yaml.Node{Kind: yaml.ScalarNode, Value: fields[i].format(s)})
		}
	}
	return n
}

func mappingNode() *yaml.Node { return &yaml.Node{Kind: yaml.MappingNode} }

func stringNode(s string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Style: yaml.DoubleQuotedStyle, Value: s}
}

func setKey(n *yaml.Node, key string, value *yaml.Node) {
	n.Content = append(n.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: key}, value)
}

// Package manual parses the pages of the project's documentation, so that tests
// can compare them with the code.
//
// # Usage
//
//	pages, err := manual.Read("../..")
//	for _, p := range pages {
//		for _, link := range p.Links() {
//			...
//		}
//	}
package manual

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Page is one Markdown file.
type Page struct {
	// Path is relative to the root of the repository.
	Path string
	Text string
}

// Read returns README.md, CONTRIBUTING.md and all pages below docs of the
// repository at root.
func Read(root string) (pages []Page, err error) {
	defer func() { err = merry.Prepend(err, "reading the documentation") }()
	paths := []string{"README.md", "CONTRIBUTING.md"}
	err = filepath.WalkDir(filepath.Join(root, "docs"), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".md" {
			return err
		}
		relative, err := filepath.Rel(root, path)
		paths = append(paths, relative)
		return err
	})
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		text, err := os.ReadFile(filepath.Join(root, path))
		if err != nil {
			return nil, err
		}
		pages = append(pages, Page{Path: path, Text: string(text)})
	}
	return pages, nil
}

var (
	linkPattern      = regexp.MustCompile(`\[[^\]]*\]\(([^)\s]+)\)`)
	headingPattern   = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	codeSpanPattern  = regexp.MustCompile("`([^`]+)`")
	nonAnchorPattern = regexp.MustCompile(`[^\p{L}\p{N}\- _]`)
)

// Links returns the targets of the page's links to files and headings of the
// repository. Links with a URL scheme are left out.
func (p Page) Links() (targets []string) {
	for _, m := range linkPattern.FindAllStringSubmatch(p.prose(), -1) {
		if !strings.Contains(m[1], "://") {
			targets = append(targets, m[1])
		}
	}
	return targets
}

// Anchors returns the anchors of the page's headings: their text in lower case
// without punctuation, with hyphens in place of spaces.
func (p Page) Anchors() map[string]struct{} {
	anchors := make(map[string]struct{})
	for _, m := range headingPattern.FindAllStringSubmatch(p.prose(), -1) {
		name := nonAnchorPattern.ReplaceAllString(strings.ToLower(m[1]), "")
		anchors[strings.ReplaceAll(name, " ", "-")] = struct{}{}
	}
	return anchors
}

// CodeSpans returns the contents of code spans. Line breaks become spaces, and
// a pipe escaped for a table is unescaped.
func (p Page) CodeSpans() (spans []string) {
	for _, m := range codeSpanPattern.FindAllStringSubmatch(p.prose(), -1) {
		span := strings.Join(strings.Fields(m[1]), " ")
		spans = append(spans, strings.ReplaceAll(span, `\|`, "|"))
	}
	return spans
}

// Commands returns the lines of code blocks and the code spans that begin with
// prefix and a space. A shell prompt is removed.
func (p Page) Commands(prefix string) (commands []string) {
	for _, candidate := range append(p.codeLines(), p.CodeSpans()...) {
		candidate = strings.TrimPrefix(strings.TrimSpace(candidate), "$ ")
		if strings.HasPrefix(candidate, prefix+" ") {
			commands = append(commands, candidate)
		}
	}
	return commands
}

// prose returns the page without its fenced code blocks.
func (p Page) prose() string {
	var b strings.Builder
	p.visitLines(func(line string, fenced bool) {
		if !fenced {
			b.WriteString(line + "\n")
		}
	})
	return b.String()
}

// codeLines returns the lines of fenced and indented code blocks.
func (p Page) codeLines() (lines []string) {
	p.visitLines(func(line string, fenced bool) {
		if fenced || strings.HasPrefix(line, "    ") {
			lines = append(lines, line)
		}
	})
	return lines
}

// visitLines calls visit for each line, with fenced set if the line is in a
// fenced code block. A line that ends in a backslash is joined with the next.
func (p Page) visitLines(visit func(line string, fenced bool)) {
	fenced := false
	text := strings.ReplaceAll(p.Text, "\\\n", " ")
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "```") {
			fenced = !fenced
			continue
		}
		visit(line, fenced)
	}
}

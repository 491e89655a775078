// Package manual reads the pages of the project's documentation, so that tests
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

// Page is one page in Markdown.
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
	linkPattern    = regexp.MustCompile(`\[[^\]]*\]\(([^)\s]+)\)`)
	headingPattern = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	spanPattern    = regexp.MustCompile("`([^`]+)`")
	anchorDropped  = regexp.MustCompile(`[^\p{L}\p{N}\- _]`)
)

// Links returns the targets of the page's links to other files and headings of
// the repository. Links to other sites are left out.
func (p Page) Links() (targets []string) {
	for _, m := range linkPattern.FindAllStringSubmatch(p.prose(), -1) {
		if !strings.Contains(m[1], "://") {
			targets = append(targets, m[1])
		}
	}
	return targets
}

// Anchors returns the names by which links refer to the page's headings.
func (p Page) Anchors() map[string]struct{} {
	anchors := make(map[string]struct{})
	for _, m := range headingPattern.FindAllStringSubmatch(p.prose(), -1) {
		name := anchorDropped.ReplaceAllString(strings.ToLower(m[1]), "")
		anchors[strings.ReplaceAll(name, " ", "-")] = struct{}{}
	}
	return anchors
}

// Spans returns the contents of code spans. Line breaks in them are spaces.
func (p Page) Spans() (spans []string) {
	for _, m := range spanPattern.FindAllStringSubmatch(p.prose(), -1) {
		span := strings.Join(strings.Fields(m[1]), " ")
		spans = append(spans, strings.ReplaceAll(span, `\|`, "|"))
	}
	return spans
}

// Commands returns the lines of code blocks and the code spans that begin with
// the given words.
func (p Page) Commands(words string) (commands []string) {
	for _, candidate := range append(p.blockLines(), p.Spans()...) {
		candidate = strings.TrimPrefix(strings.TrimSpace(candidate), "$ ")
		if strings.HasPrefix(candidate, words+" ") {
			commands = append(commands, candidate)
		}
	}
	return commands
}

// prose returns the page without its fenced code blocks.
func (p Page) prose() string {
	var b strings.Builder
	p.lines(func(line string, block bool) {
		if !block {
			b.WriteString(line + "\n")
		}
	})
	return b.String()
}

func (p Page) blockLines() (lines []string) {
	p.lines(func(line string, block bool) {
		if block || strings.HasPrefix(line, "    ") {
			lines = append(lines, line)
		}
	})
	return lines
}

// lines calls visit for each line, and tells whether it is in a fenced block.
// A line that ends in a backslash is joined with the next.
func (p Page) lines(visit func(line string, block bool)) {
	block := false
	text := strings.ReplaceAll(p.Text, "\\\n", " ")
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "```") {
			block = !block
			continue
		}
		visit(line, block)
	}
}
